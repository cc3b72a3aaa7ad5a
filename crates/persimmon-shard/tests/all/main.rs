//! Tests of the state machine of a shard owner.

mod charts;
mod core;
mod record;
mod simulation;
