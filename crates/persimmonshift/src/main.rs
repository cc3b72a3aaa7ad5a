//! `persimmonshift`: the operators' and callers' command-line tool.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    persimmonshift::run(argh::from_env())
}
