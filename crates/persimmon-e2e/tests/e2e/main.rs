//! End-to-end tests that run the programs as processes on loopback and inject faults.
//!
//! The programs must be built first; `scripts/test.sh` does so. The tests run sequentially, since
//! each starts several processes. They wait for states and never assert a duration.

mod harness;

mod bad_input;
mod demo;
mod drain;
mod jobs;
mod ownership;
mod requests;
mod store_faults;
mod tickets;
