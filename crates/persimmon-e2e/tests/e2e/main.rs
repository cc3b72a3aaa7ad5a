//! Starts the programs as plain processes on loopback and makes them fail.
//!
//! Build the programs first; `scripts/test.sh` does. Tests here run one after another, since each
//! starts several processes. They wait for states, never for times to be short.

mod harness;

mod bad_input;
mod demo;
mod drain;
mod jobs;
mod ownership;
mod requests;
mod store_faults;
mod tickets;
