use argh::FromArgs;

/// Open-loop load and decision experiments.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    /// what to do
    pub(crate) command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub(crate) enum Command {
    Drive(DriveArgs),
    Jobs(JobsArgs),
    Compare(CompareArgs),
    Experiment(ExperimentArgs),
}

/// send requests to daemons at seeded times and check every answer
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drive")]
pub(crate) struct DriveArgs {
    /// a daemon's address, IP:PORT on loopback; may be repeated, requests go round
    #[argh(option)]
    pub(crate) daemon: Vec<String>,
    /// the service
    #[argh(option)]
    pub(crate) service: String,
    /// requests a second (default 100, at most 20000)
    #[argh(option, default = "100")]
    pub(crate) rate: u32,
    /// how long, in seconds (default 5, at most 600)
    #[argh(option, default = "5")]
    pub(crate) seconds: u32,
    /// part of the requests that are not idempotent, in hundredths (default 50)
    #[argh(option, default = "50")]
    pub(crate) post_percent: u32,
    /// deadline of each request, in ms (default 1000)
    #[argh(option, default = "1_000")]
    pub(crate) deadline_ms: u64,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// a runner's address, to check how often each request ran; may be repeated
    #[argh(option)]
    pub(crate) runner: Vec<String>,
    /// write the result as JSON to this file
    #[argh(option)]
    pub(crate) out: Option<String>,
}

/// submit batch jobs at seeded times, wait for them, and check that each ran once
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct JobsArgs {
    /// a daemon's address, IP:PORT on loopback; may be repeated, submissions go round
    #[argh(option)]
    pub(crate) daemon: Vec<String>,
    /// a worker's address, to learn when tasks started; may be repeated
    #[argh(option)]
    pub(crate) worker: Vec<String>,
    /// the batch class
    #[argh(option)]
    pub(crate) class: String,
    /// jobs a second (default 50, at most 2000)
    #[argh(option, default = "50")]
    pub(crate) rate: u32,
    /// how long, in seconds (default 5, at most 600)
    #[argh(option, default = "5")]
    pub(crate) seconds: u32,
    /// seed of the arrivals (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// compare two results of `drive`
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub(crate) struct CompareArgs {
    /// the earlier result
    #[argh(positional)]
    pub(crate) before: String,
    /// the later result
    #[argh(positional)]
    pub(crate) after: String,
}

/// feed a decision crate with a seeded trace and compare it with its baselines
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub(crate) struct ExperimentArgs {
    /// route, place, peak, interference or engine
    #[argh(positional)]
    pub(crate) name: String,
    /// seed of the trace (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}
