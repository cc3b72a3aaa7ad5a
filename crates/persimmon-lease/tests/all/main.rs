//! Tests of ownership and leases.

mod owners;
mod ownership;
mod quorum;
mod task;
mod witness;
