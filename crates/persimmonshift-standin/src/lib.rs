//! Small stand-ins of the platform, for tests and demonstrations only.
//!
//! Each listens on loopback, prints one JSON line naming its addresses once it does, and takes
//! `POST /control` to misbehave in a set way. No other crate of the product depends on them.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod args;
mod http;
mod instances;
mod relay;
mod runner;
mod store;
mod worker;

pub use args::{Args, Command};

/// A stand-in could not start.
pub use persimmon_types::StepError as Error;

/// Runs a stand-in until the process is ended.
pub fn run(args: Args) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|err| Error::new("runtime", err))?;
    runtime.block_on(async {
        match args.command {
            Command::Store(args) => store::run(args).await,
            Command::Instances(args) => instances::run(args).await,
            Command::Worker(args) => worker::run(args).await,
            Command::Runner(args) => runner::run(args).await,
            Command::Relay(args) => relay::run(args).await,
        }
    })
}
