//! Tests of whole processes against a platform in memory, in virtual time.

mod faults;
mod jobs;
mod owners;
mod platform;
