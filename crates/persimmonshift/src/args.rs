use argh::FromArgs;

/// Operate persimmonshift.
///
/// Exit codes: 0 done, 1 refused or not run, 2 bad usage, 3 not known whether it ran.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// a daemon's address, IP:PORT (or PERSIMMONSHIFT_DAEMON)
    #[argh(option)]
    pub daemon: Option<String>,
    /// the operators' token (or, better, PERSIMMONSHIFT_TOKEN)
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON for programs instead of tables
    #[argh(switch)]
    pub json: bool,
    /// longest wait for an answer, in ms (default 15000)
    #[argh(option, default = "15_000")]
    pub timeout_ms: u64,
    #[argh(subcommand)]
    /// what to do
    pub command: Command,
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Change tickets.
    Ticket(TicketArgs),
    /// Batch jobs.
    Job(JobArgs),
    /// Services, endpoints, workers, jobs, members and configuration.
    Status(StatusArgs),
    /// Why a job waited, moved or stopped.
    Explain(ExplainArgs),
    /// Stop a daemon gracefully.
    Drain(DrainArgs),
    /// Reports.
    Report(ReportArgs),
    /// Keys for the calls between daemons.
    Keys(KeysArgs),
}

/// work with change tickets
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ticket")]
pub struct TicketArgs {
    #[argh(subcommand)]
    /// what to do with tickets
    pub command: TicketCommand,
}

/// What to do with tickets.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TicketCommand {
    /// Put a ticket in force.
    Apply(TicketApplyArgs),
    /// Check a ticket against the configuration in force.
    Check(TicketCheckArgs),
    /// Show one accepted ticket.
    Show(TicketShowArgs),
    /// List accepted tickets and the configuration in force.
    List(TicketListArgs),
    /// Show what a ticket would change.
    Diff(TicketDiffArgs),
}

/// put a ticket in force everywhere; a repeat of the newest ticket changes nothing
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct TicketApplyArgs {
    /// the ticket, TOML or JSON
    #[argh(positional)]
    pub file: String,
}

/// check a ticket without putting it in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct TicketCheckArgs {
    /// the ticket, TOML or JSON
    #[argh(positional)]
    pub file: String,
    /// check the file alone, without a daemon
    #[argh(switch)]
    pub offline: bool,
}

/// show one accepted ticket
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct TicketShowArgs {
    /// its number
    #[argh(positional)]
    pub number: u64,
}

/// list accepted tickets and the configuration in force
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct TicketListArgs {}

/// show what a ticket would change
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct TicketDiffArgs {
    /// the ticket, TOML or JSON
    #[argh(positional)]
    pub file: String,
}

/// work with batch jobs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "job")]
pub struct JobArgs {
    #[argh(subcommand)]
    /// what to do with jobs
    pub command: JobCommand,
}

/// What to do with jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum JobCommand {
    /// Submit a job.
    Submit(JobSubmitArgs),
    /// Cancel a job.
    Cancel(JobCancelArgs),
    /// Show a job.
    Show(JobShowArgs),
    /// List jobs.
    List(JobListArgs),
}

/// submit a job; a repeat with the same key is the same job
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmitArgs {
    /// its batch class
    #[argh(option)]
    pub class: String,
    /// its idempotency key, 1 to 128 bytes
    #[argh(option)]
    pub key: String,
    /// when it must be done, in seconds from now
    #[argh(option)]
    pub due_in_s: Option<u64>,
    /// when it must be done, in milliseconds since the Unix epoch
    #[argh(option)]
    pub deadline_unix_ms: Option<u64>,
}

/// cancel a job, or settle one whose outcome is unknown
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancelArgs {
    /// its id
    #[argh(positional)]
    pub id: String,
}

/// show a job
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct JobShowArgs {
    /// its id
    #[argh(positional)]
    pub id: String,
}

/// list jobs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct JobListArgs {
    /// only jobs in this state
    #[argh(option)]
    pub state: Option<String>,
}

/// show services, endpoints, workers, jobs, members and configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// tell why a job waited, moved or stopped
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the job's id
    #[argh(positional)]
    pub id: String,
}

/// stop the daemon gracefully: requests end, shards are handed over
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {}

/// reports
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    #[argh(subcommand)]
    /// which report
    pub command: ReportCommand,
}

/// Which report.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Service-level burn.
    Burn(BurnArgs),
}

/// service-level burn, deadlines, evictions and the busiest minute, over all daemons
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// also write a self-contained HTML page to this file
    #[argh(option)]
    pub html: Option<String>,
    /// the short window, in minutes (default 5)
    #[argh(option, default = "5")]
    pub short_min: u64,
    /// the long window, in minutes (default 60)
    #[argh(option, default = "60")]
    pub long_min: u64,
}

/// keys for the calls between daemons
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    #[argh(subcommand)]
    /// what to do
    pub command: KeysCommand,
}

/// What to do with keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// Create an authority and certificates.
    Create(KeysCreateArgs),
}

/// create an authority and a certificate for each member, as PEM files
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "create")]
pub struct KeysCreateArgs {
    /// the folder to write to; it must exist
    #[argh(option)]
    pub out: String,
    /// a member's id; may be repeated
    #[argh(option)]
    pub member: Vec<String>,
}
