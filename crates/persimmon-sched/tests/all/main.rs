//! Tests of the scheduler.

mod backlog;
mod commit_order;
mod engine;
mod id;
mod instance_list;
mod interference;
mod late_ends;
mod policy;
mod runner_backoff;
mod simulation;
mod spec;
mod stalled;
mod support;
mod waiting_tasks;
