//! Load and experiments.
//!
//! `drive` sends requests at seeded, intended times whatever the answers do, and measures from
//! those times, so that a slow server can't hide its own delay. `experiment` feeds a decision crate
//! with a seeded trace through its own interface and compares it with its baselines.
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

/// A run that could not be made, or that broke a promise.
pub(crate) use persimmon_types::StepError as Error;

/// Does what `args` says.
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
