//! Tests of the scheduler.

mod backlog;
mod best_effort;
mod capacity;
mod commit_order;
mod crashes;
mod engine;
mod evacuations;
mod failing_jobs;
mod full_reports;
mod id;
mod instance_list;
mod interference;
mod large_jobs;
mod late_ends;
mod namesakes;
mod paused_runs;
mod policy;
mod record;
mod runner_backoff;
mod settled;
mod simulation;
mod spec;
mod stalled;
mod support;
mod waiting_tasks;
