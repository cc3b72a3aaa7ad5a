use argh::FromArgs;

/// Operate persimmonshift.
///
/// Exit codes: 0 success, 1 refused or not run, 2 invalid usage, 3 unknown whether it ran.
#[derive(FromArgs, Debug)]
pub struct Args {
    /// a daemon's address, IP:PORT (default: the variable PERSIMMONSHIFT_DAEMON)
    #[argh(option)]
    pub daemon: Option<String>,
    /// the operators' token (default: the variable PERSIMMONSHIFT_TOKEN, which is not listed with
    /// the arguments of processes)
    #[argh(option)]
    pub token: Option<String>,
    /// print JSON for programs instead of tables
    #[argh(switch)]
    pub json: bool,
    /// the timeout of a request, in ms (default 15000)
    #[argh(option, default = "15_000")]
    pub timeout_ms: u64,
    #[argh(subcommand)]
    /// the command
    pub command: Command,
}

/// The commands.
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
    /// Certificates and private keys for calls between daemons.
    Keys(KeysArgs),
}

/// work with change tickets
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "ticket")]
pub struct TicketArgs {
    #[argh(subcommand)]
    /// the command for tickets
    pub command: TicketCommand,
}

/// The commands for tickets.
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
    /// the ticket's number
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
    /// the command for jobs
    pub command: JobCommand,
}

/// The commands for jobs.
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

/// submit a job; a repeated submission with the same key refers to the same job
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmitArgs {
    /// the job's batch class
    #[argh(option)]
    pub class: String,
    /// the job's idempotency key, 1 to 128 bytes
    #[argh(option)]
    pub key: String,
    /// the deadline, in seconds from now
    #[argh(option)]
    pub due_in_s: Option<u64>,
    /// the deadline, in milliseconds since the Unix epoch
    #[argh(option)]
    pub deadline_unix_ms: Option<u64>,
}

/// cancel a job, or end one whose outcome is unknown
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancelArgs {
    /// the job's id
    #[argh(positional)]
    pub id: String,
}

/// show a job
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct JobShowArgs {
    /// the job's id
    #[argh(positional)]
    pub id: String,
}

/// list jobs
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct JobListArgs {
    /// list only jobs in this state
    #[argh(option)]
    pub state: Option<String>,
}

/// show services, endpoints, workers, jobs, members and configuration
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// show why a job waited, moved or stopped
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the job's id
    #[argh(positional)]
    pub id: String,
}

/// stop the daemon gracefully: it completes its requests and hands over its shards
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {}

/// reports
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    #[argh(subcommand)]
    /// the report
    pub command: ReportCommand,
}

/// The reports.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Use of the services' error budgets.
    Burn(BurnArgs),
}

/// error budgets, deadlines, evictions and the busiest minute, over all daemons
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

/// certificates and private keys for calls between daemons
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    #[argh(subcommand)]
    /// the command for keys
    pub command: KeysCommand,
}

/// The commands for keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum KeysCommand {
    /// Create a certificate authority and certificates.
    Create(KeysCreateArgs),
}

/// create a certificate authority and a certificate for each member, as PEM files
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "create")]
pub struct KeysCreateArgs {
    /// the directory to write to; it must exist
    #[argh(option)]
    pub out: String,
    /// a member's id; may be repeated
    #[argh(option)]
    pub member: Vec<String>,
}
