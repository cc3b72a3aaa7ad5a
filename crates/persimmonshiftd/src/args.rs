use argh::FromArgs;

/// The persimmonshift daemon, which runs on every entry instance.
///
/// Every setting is given by a flag or by an environment variable, for example --store or
/// PERSIMMONSHIFT_STORE. The flag takes precedence.
#[derive(FromArgs, Debug, Default)]
pub struct Args {
    /// only check the settings, report all invalid ones, and exit
    #[argh(switch)]
    pub check_settings: bool,
    /// this member's id, unique among the daemons (1 to 64 letters, digits, - _ .)
    #[argh(option)]
    pub member_id: Option<String>,
    /// the data centre of this instance
    #[argh(option)]
    pub data_centre: Option<String>,
    /// address to listen on for callers and operators, IP:PORT (default 127.0.0.1:0)
    #[argh(option)]
    pub api_listen: Option<String>,
    /// address to listen on for other daemons, IP:PORT over UDP (default 127.0.0.1:0)
    #[argh(option)]
    pub mesh_listen: Option<String>,
    /// address at which other daemons reach this one, IP:PORT (default: the mesh listen address)
    #[argh(option)]
    pub mesh_advertise: Option<String>,
    /// address of the platform's key-value store, IP:PORT
    #[argh(option)]
    pub store: Option<String>,
    /// address of the platform's instance list, IP:PORT
    #[argh(option)]
    pub instances: Option<String>,
    /// the operators' token, 16 characters or more; preferably given by the environment variable
    #[argh(option)]
    pub token: Option<String>,
    /// certificate authorities of the daemons' certificates, PEM text or a file's path
    #[argh(option)]
    pub mesh_authorities: Option<String>,
    /// this daemon's certificate, PEM text or a file's path
    #[argh(option)]
    pub mesh_certificate: Option<String>,
    /// the private key of this daemon's certificate, PEM text or a file's path
    #[argh(option)]
    pub mesh_private_key: Option<String>,
    /// the number of shards, the same on all daemons (default 9, 1 to 4096)
    #[argh(option)]
    pub shard_count: Option<String>,
    /// time to live of the member's session in the store, in ms (default 2000, 500 to 60000)
    #[argh(option)]
    pub session_ttl_ms: Option<String>,
    /// term of a promise between daemons, in ms (default 3000, 500 to 60000)
    #[argh(option)]
    pub promise_term_ms: Option<String>,
    /// how long a daemon keeps its shards without the store, in ms (default 900000,
    /// 1000 to 86400000)
    #[argh(option)]
    pub outage_limit_ms: Option<String>,
    /// term of leases on workers, in ms (default 10000, 500 to 600000)
    #[argh(option)]
    pub lease_term_ms: Option<String>,
    /// interval between calls to a worker without new commands, in ms (default 2000, 50 to 60000)
    #[argh(option)]
    pub sync_interval_ms: Option<String>,
    /// time without a response after which a worker gets no new task, in ms (default 5000,
    /// 100 to 600000)
    #[argh(option)]
    pub silence_ms: Option<String>,
    /// interval between two commits of a shard, in ms (default 100, 10 to 5000)
    #[argh(option)]
    pub commit_interval_ms: Option<String>,
    /// how long the configuration counts as fresh without contact with the store, own or by a peer,
    /// in ms (default 5000, 500 to 600000)
    #[argh(option)]
    pub freshness_ms: Option<String>,
    /// interval between two reads of the instance list, in ms (default 500, 50 to 60000)
    #[argh(option)]
    pub instances_interval_ms: Option<String>,
    /// interval between two messages to each other daemon, in ms (default 1000, 50 to 60000)
    #[argh(option)]
    pub gossip_interval_ms: Option<String>,
    /// timeout of a call to the store, in ms (default 1500, 50 to 60000)
    #[argh(option)]
    pub store_timeout_ms: Option<String>,
    /// how long a request key is valid, in ms (default 600000, 1000 to 86400000)
    #[argh(option)]
    pub request_key_ttl_ms: Option<String>,
    /// how long ended jobs are kept, in ms (default 86400000, 1000 to 2678400000)
    #[argh(option)]
    pub job_retention_ms: Option<String>,
    /// time between failing readiness and refusing requests at shutdown, in ms (default 1000,
    /// 0 to 600000)
    #[argh(option)]
    pub drain_notice_ms: Option<String>,
    /// timeout for requests in progress at shutdown, in ms (default 60000, 0 to 3600000)
    #[argh(option)]
    pub drain_timeout_ms: Option<String>,
}
