//! Stand-ins: test doubles of the platform services, for tests and demonstrations only.
//!
//! Each listens on loopback and prints one JSON line with its addresses once it is bound. All but
//! the instance list inject the faults that are set with `POST /control`. No other crate depends on
//! this one.
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

/// The reason why a stand-in could not start.
pub use persimmon_types::StepError as Error;

/// Runs the stand-in selected in `args` until the process is terminated.
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
