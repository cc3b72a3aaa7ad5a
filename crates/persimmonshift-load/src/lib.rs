//! Load generator and scheduling experiments.
//!
//! `drive` is open-loop: it sends requests at seeded, predetermined times regardless of pending
//! responses and measures latency from those times. This avoids coordinated omission, by which a
//! slow server hides its own delay. `experiment` replays a seeded trace through the public
//! interface of a scheduling or routing crate and of its baselines, if it has any.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod args;
mod compare;
mod drive;
mod experiment;
mod jobs;

pub use args::Args;

use args::Command;
use std::process::ExitCode;

/// A run that failed, or whose checks found a violation.
pub(crate) use persimmon_types::StepError as Error;

/// Runs the subcommand selected in `args` and prints its report.
pub fn run(args: Args) -> ExitCode {
    let result = match args.command {
        Command::Drive(args) => drive::run(&args),
        Command::Jobs(args) => jobs::run(&args),
        Command::Compare(args) => compare::run(&args),
        Command::Experiment(args) => experiment::run(&args),
    };
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("persimmonshift-load: {err}");
            ExitCode::FAILURE
        }
    }
}
