use argh::FromArgs;

/// Open-loop load generator and scheduling experiments.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    /// the subcommand to run
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

/// send requests to daemons at seeded arrival times and verify every response
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drive")]
pub(crate) struct DriveArgs {
    /// daemon address as IP:PORT on loopback; repeatable, requests are sent round-robin
    #[argh(option)]
    pub(crate) daemon: Vec<String>,
    /// name of the service that is called
    #[argh(option)]
    pub(crate) service: String,
    /// requests per second (default 100, at most 20000)
    #[argh(option, default = "100")]
    pub(crate) rate: u32,
    /// duration in seconds (default 5, at most 600)
    #[argh(option, default = "5")]
    pub(crate) seconds: u32,
    /// percentage of requests that are not idempotent (default 50)
    #[argh(option, default = "50")]
    pub(crate) post_percent: u32,
    /// deadline of each request, in ms (default 1000)
    #[argh(option, default = "1_000")]
    pub(crate) deadline_ms: u64,
    /// seed of the arrival times (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// runner address, to check how often each request was executed; repeatable
    #[argh(option)]
    pub(crate) runner: Vec<String>,
    /// write the result as JSON to this file
    #[argh(option)]
    pub(crate) out: Option<String>,
}

/// submit batch jobs at seeded arrival times, wait for them, and check that each ran once
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct JobsArgs {
    /// daemon address as IP:PORT on loopback; repeatable, jobs are submitted round-robin
    #[argh(option)]
    pub(crate) daemon: Vec<String>,
    /// worker address, to read the start times of tasks; repeatable
    #[argh(option)]
    pub(crate) worker: Vec<String>,
    /// batch class of the submitted jobs
    #[argh(option)]
    pub(crate) class: String,
    /// jobs per second (default 50, at most 2000)
    #[argh(option, default = "50")]
    pub(crate) rate: u32,
    /// duration in seconds (default 5, at most 600)
    #[argh(option, default = "5")]
    pub(crate) seconds: u32,
    /// seed of the arrival times (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}

/// compare two result files of `drive`
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "compare")]
pub(crate) struct CompareArgs {
    /// result file of the earlier run
    #[argh(positional)]
    pub(crate) before: String,
    /// result file of the later run
    #[argh(positional)]
    pub(crate) after: String,
}

/// replay a seeded trace against a scheduling algorithm and its baselines
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub(crate) struct ExperimentArgs {
    /// experiment: route, place, peak, interference or engine
    #[argh(positional)]
    pub(crate) name: String,
    /// seed of the trace (default 1)
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
}
