//! Tests of ownership and leases.

mod ownership;
mod quorum;
mod task;
mod witness;
