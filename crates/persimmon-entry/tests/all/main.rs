//! Tests of whole processes on an in-memory platform, in virtual time.

mod accepted_jobs;
mod evacuations;
mod faults;
mod jobs;
mod log_lines;
mod namesakes;
mod owners;
mod platform;
mod runners;
mod scale;
mod slow_links;
mod slow_relays;
mod specifications;
mod takeovers;
mod waits;
