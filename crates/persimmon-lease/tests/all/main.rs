//! Tests of ownership and leases.

mod owners;
mod ownership;
mod quorum;
mod witness;
mod worker_lease;
