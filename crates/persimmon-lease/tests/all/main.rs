//! Tests of shard ownership, witnesses and leases.

mod member;
mod owners;
mod ownership;
mod quorum;
mod witness;
mod worker_lease;
