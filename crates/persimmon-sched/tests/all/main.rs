//! Tests of the scheduler, without input or output.

mod disturb;
mod engine;
mod id;
mod policy;
mod spec;
mod support;
mod world;
