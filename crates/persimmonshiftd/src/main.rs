//! `persimmonshiftd`, the daemon that runs on every entry instance.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonshiftd::run(&argh::from_env())
}
