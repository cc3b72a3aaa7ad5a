//! `persimmonshift-load`: open-loop load and decision experiments.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonshift_load::run(argh::from_env())
}
