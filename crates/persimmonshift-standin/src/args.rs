use argh::FromArgs;

/// Test doubles of the platform services, for tests and demonstrations only.
#[derive(FromArgs, Debug)]
pub struct Args {
    #[argh(subcommand)]
    /// the stand-in to run
    pub command: Command,
}

/// The stand-in to run.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// The key-value store.
    Store(StoreArgs),
    /// The instance list of the platform.
    Instances(InstancesArgs),
    /// Workers that run batch tasks.
    Worker(WorkerArgs),
    /// Runners that serve the requests of a service.
    Runner(RunnerArgs),
    /// A TCP and UDP relay that injects network faults.
    Relay(RelayArgs),
}

/// Key-value store with compare-and-swap, leases and watches.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// port on loopback, 0 for an ephemeral port (default 0)
    #[argh(option, default = "0")]
    pub port: u16,
    /// writes per second above which calls get 429 (default 400)
    #[argh(option, default = "400")]
    pub writes_per_s: u32,
    /// reads per second above which calls get 429, including watches (default 2000)
    #[argh(option, default = "2000")]
    pub reads_per_s: u32,
}

/// Instance list of the platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "instances")]
pub struct InstancesArgs {
    /// port on loopback, 0 for an ephemeral port (default 0)
    #[argh(option, default = "0")]
    pub port: u16,
    /// delay until a change becomes visible, in milliseconds (default 500)
    #[argh(option, default = "500")]
    pub lag_ms: u64,
}

/// Workers that run batch tasks under leases.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "worker")]
pub struct WorkerArgs {
    /// address of the instance list to register with
    #[argh(option)]
    pub instances: String,
    /// number of workers in this process (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// workers per rack (default 8)
    #[argh(option, default = "8")]
    pub per_rack: u32,
    /// prefix of the worker ids (default w)
    #[argh(option, default = "\"w\".to_owned()")]
    pub prefix: String,
    /// data centre (default dc1)
    #[argh(option, default = "\"dc1\".to_owned()")]
    pub data_centre: String,
    /// CPU capacity of each worker, in thousandths of a core (default 32000)
    #[argh(option, default = "32_000")]
    pub cpu_millis: u32,
    /// memory capacity of each worker, in MiB (default 128000)
    #[argh(option, default = "128_000")]
    pub memory_mib: u32,
    /// accelerators of each worker (default 0)
    #[argh(option, default = "0")]
    pub accelerators: u32,
    /// age of usage reports, in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    pub usage_lag_ms: u64,
    /// address to register instead of the worker's own, such as a relay's; only with one worker
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
    /// name of the service that the runners serve
    #[argh(option)]
    pub service: String,
    /// number of runners in this process (default 1)
    #[argh(option, default = "1")]
    pub count: u32,
    /// prefix of the runner ids (default r)
    #[argh(option, default = "\"r\".to_owned()")]
    pub prefix: String,
    /// data centre (default dc1)
    #[argh(option, default = "\"dc1\".to_owned()")]
    pub data_centre: String,
    /// concurrent requests per runner (default 8)
    #[argh(option, default = "8")]
    pub slots: u32,
    /// concurrent connections per runner (default 64)
    #[argh(option, default = "64")]
    pub connections: u32,
    /// time to serve a request, in milliseconds (default 5)
    #[argh(option, default = "5")]
    pub work_ms: u64,
}

/// TCP and UDP relay that injects partitions, delays and datagram loss.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "relay")]
pub struct RelayArgs {
    /// target of a TCP relay as IP:PORT; repeatable
    #[argh(option)]
    pub tcp: Vec<String>,
    /// target of a UDP relay as IP:PORT; repeatable
    #[argh(option)]
    pub udp: Vec<String>,
}
