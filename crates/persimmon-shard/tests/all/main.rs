//! Tests of the state machine of a shard owner.

mod charts;
mod core;
mod crashes;
mod quarantine;
mod record;
mod simulation;
mod support;
mod waits;
