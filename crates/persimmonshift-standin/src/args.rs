use argh::FromArgs;

/// Small stand-ins of the platform, for tests and demonstrations only.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    /// which stand-in
    pub command: Command,
}

/// Which stand-in to run.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// The key-value store.
    Store(StoreArgs),
    /// The instance list.
    Instances(InstancesArgs),
    /// Workers.
    Worker(WorkerArgs),
    /// Runners of a service.
    Runner(RunnerArgs),
    /// A relay between two addresses.
    Relay(RelayArgs),
}

/// The key-value store: compare-and-swap, leases and watches.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// port on loopback, 0 for any (default 0)
    #[argh(option, default = "0")]
    pub port: u16,
    /// writes a second before 429 (default 400)
    #[argh(option, default = "400")]
    pub writes_per_s: u32,
    /// reads a second before 429, each waiting watch counted (default 2000)
    #[argh(option, default = "2000")]
    pub reads_per_s: u32,
}

/// The instance list.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "instances")]
pub struct InstancesArgs {
    /// port on loopback, 0 for any (default 0)
    #[argh(option, default = "0")]
    pub port: u16,
    /// how late changes show, in milliseconds (default 500)
    #[argh(option, default = "500")]
    pub lag_ms: u64,
}

/// Workers that run tasks under leases.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "worker")]
pub struct WorkerArgs {
    /// address of the instance list to register with
    #[argh(option)]
    pub instances: String,
    /// how many workers this process holds (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// workers a rack (default 8)
    #[argh(option, default = "8")]
    pub per_rack: u32,
    /// prefix of names (default w)
    #[argh(option, default = "\"w\".to_owned()")]
    pub prefix: String,
    /// data centre (default dc1)
    #[argh(option, default = "\"dc1\".to_owned()")]
    pub data_centre: String,
    /// processors of each, in thousandths of a core (default 32000)
    #[argh(option, default = "32_000")]
    pub cpu_millis: u32,
    /// memory of each, in MiB (default 128000)
    #[argh(option, default = "128_000")]
    pub memory_mib: u32,
    /// accelerators of each (default 0)
    #[argh(option, default = "0")]
    pub accelerators: u32,
    /// age of usage reports, in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    pub usage_lag_ms: u64,
    /// an address to register instead of the own one, for a relay; only with one worker
    #[argh(option)]
    pub advertise: Option<String>,
}

/// Runners that serve a service's requests.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "runner")]
pub struct RunnerArgs {
    /// address of the instance list to register with
    #[argh(option)]
    pub instances: String,
    /// the service
    #[argh(option)]
    pub service: String,
    /// how many runners this process holds (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// prefix of names (default r)
    #[argh(option, default = "\"r\".to_owned()")]
    pub prefix: String,
    /// data centre (default dc1)
    #[argh(option, default = "\"dc1\".to_owned()")]
    pub data_centre: String,
    /// requests served at a time (default 8)
    #[argh(option, default = "8")]
    pub slots: u32,
    /// connections accepted (default 64)
    #[argh(option, default = "64")]
    pub connections: u32,
    /// time to serve a request, in milliseconds (default 5)
    #[argh(option, default = "5")]
    pub work_ms: u64,
}

/// A relay that cuts, delays and drops.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// target of a TCP relay, IP:PORT; may be repeated
    #[argh(option)]
    pub tcp: Vec<String>,
    /// target of a UDP relay, IP:PORT; may be repeated
    #[argh(option)]
    pub udp: Vec<String>,
}
