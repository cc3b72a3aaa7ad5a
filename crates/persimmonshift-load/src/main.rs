//! `persimmonshift-load`: open-loop load generator and scheduling experiments.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonshift_load::run(argh::from_env())
}
