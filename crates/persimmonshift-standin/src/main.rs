//! `persimmonshift-standin`: test doubles of the platform services, for tests and demonstrations.
#![forbid(unsafe_code)]

use persimmonshift_standin::{run, Args};
use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let args: Args = argh::from_env();
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("persimmonshift-standin: {err}");
            ExitCode::FAILURE
        }
    }
}
