//! Tests of a shard's owner.

mod charts;
mod core;
mod record;
mod world;
