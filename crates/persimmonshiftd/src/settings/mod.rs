//! Checked settings, from flags and environment variables.

mod source;

use crate::args::Args;
use persimmon_mesh::Credentials;
use source::Source;
use std::{fmt, net::SocketAddr, time::Duration};

/// The operators' token; never shown.
#[derive(Clone)]
pub struct Token(pub(crate) String);

impl fmt::Debug for Token {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Token(..)")
    }
}

/// Everything that is set for a daemon.
#[derive(Debug, Clone)]
#[allow(missing_docs)]
pub struct Settings {
    pub member_id: String,
    pub data_centre: String,
    pub api_listen: SocketAddr,
    pub mesh_listen: SocketAddr,
    pub mesh_advertise: Option<SocketAddr>,
    pub store: SocketAddr,
    pub instances: SocketAddr,
    pub token: Token,
    pub mesh_keys: Credentials,
    pub shard_count: u16,
    pub session_ttl: Duration,
    pub promise_term: Duration,
    pub outage_limit: Duration,
    pub lease_term: Duration,
    pub sync_interval: Duration,
    pub worker_silence_limit: Duration,
    pub commit_interval: Duration,
    pub config_freshness_limit: Duration,
    pub instances_interval: Duration,
    pub gossip_interval: Duration,
    pub store_timeout: Duration,
    pub request_key_ttl: Duration,
    pub job_retention: Duration,
    pub drain_notice: Duration,
    pub drain_timeout: Duration,
}

/// One setting that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The flag, for example `--store`.
    pub flag: String,
    /// The environment variable.
    pub variable: String,
    /// The value given, unless it is a secret; `None` when it is missing.
    pub value: Option<String>,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            flag,
            variable,
            value,
            allowed,
        } = self;
        match value {
            Some(value) => write!(out, "{flag} ({variable}): {value:?} is not {allowed}"),
            None => write!(out, "{flag} ({variable}): missing, must be {allowed}"),
        }
    }
}

/// All faults of the settings, found together.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("settings: {}", .faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct Error {
    /// The faults, at least one.
    pub faults: Vec<Fault>,
}

impl Settings {
    /// Checks `args`, with `variable` looking up what no flag sets.
    pub fn check(args: &Args, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Error> {
        let mut source = Source::new(variable);
        let settings = Self::read(args, &mut source);
        if let Some(settings) = &settings {
            settings.check_together(&mut source);
        }
        let faults = source.into_faults();
        settings
            .filter(|_| faults.is_empty())
            .ok_or(Error { faults })
    }

    /// Settings that are sound alone and not beside each other.
    fn check_together<V: Fn(&str) -> Option<String>>(&self, source: &mut Source<V>) {
        let ms = |duration: Duration| duration.as_millis().to_string();
        if self.sync_interval * 2 > self.lease_term {
            let allowed = "at most half of --lease-term-ms";
            source.fault("sync-interval-ms", Some(ms(self.sync_interval)), allowed);
        }
        if self.store_timeout >= self.session_ttl {
            let allowed = "less than --session-ttl-ms";
            source.fault("store-timeout-ms", Some(ms(self.store_timeout)), allowed);
        }
    }

    fn read<V: Fn(&str) -> Option<String>>(args: &Args, from: &mut Source<V>) -> Option<Self> {
        let name = "1 to 64 letters, digits, '-', '_' or '.'";
        let is_name = persimmon_ticket::is_valid_name;
        let member_id = from.text("member-id", &args.member_id, name, is_name);
        let data_centre = from.text("data-centre", &args.data_centre, name, is_name);
        let api_listen = from.address("api-listen", &args.api_listen, Some("127.0.0.1:0"));
        let mesh_listen = from.address("mesh-listen", &args.mesh_listen, Some("127.0.0.1:0"));
        let mesh_advertise = from.optional_address("mesh-advertise", &args.mesh_advertise);
        let store = from.address("store", &args.store, None);
        let instances = from.address("instances", &args.instances, None);
        let token = from.secret("token", &args.token, "16 characters or more", 16);
        let authorities = from.pem("mesh-authorities", &args.mesh_authorities);
        let certificate = from.pem("mesh-certificate", &args.mesh_certificate);
        let private_key = from.pem("mesh-private-key", &args.mesh_private_key);
        let shard_count = from.number("shard-count", &args.shard_count, 9, 1..=4096);
        let mut ms = |name: &'static str, flag: &Option<String>, default, low, high| {
            from.number(name, flag, default, low..=high)
                .map(Duration::from_millis)
        };
        let session_ttl = ms("session-ttl-ms", &args.session_ttl_ms, 2_000, 500, 60_000);
        let promise_term = ms("promise-term-ms", &args.promise_term_ms, 3_000, 500, 60_000);
        let outage_limit = ms(
            "outage-limit-ms",
            &args.outage_limit_ms,
            900_000,
            1_000,
            86_400_000,
        );
        let lease_term = ms("lease-term-ms", &args.lease_term_ms, 10_000, 500, 600_000);
        let sync_interval = ms(
            "sync-interval-ms",
            &args.sync_interval_ms,
            2_000,
            50,
            60_000,
        );
        let worker_silence_limit = ms("silence-ms", &args.silence_ms, 5_000, 100, 600_000);
        let commit_interval = ms(
            "commit-interval-ms",
            &args.commit_interval_ms,
            100,
            10,
            5_000,
        );
        let config_freshness_limit = ms("freshness-ms", &args.freshness_ms, 5_000, 500, 600_000);
        let instances_interval = ms(
            "instances-interval-ms",
            &args.instances_interval_ms,
            500,
            50,
            60_000,
        );
        let gossip_interval = ms(
            "gossip-interval-ms",
            &args.gossip_interval_ms,
            1_000,
            50,
            60_000,
        );
        let store_timeout = ms(
            "store-timeout-ms",
            &args.store_timeout_ms,
            1_500,
            50,
            60_000,
        );
        let request_key_ttl = ms(
            "request-key-ttl-ms",
            &args.request_key_ttl_ms,
            600_000,
            1_000,
            86_400_000,
        );
        let job_retention = ms(
            "job-retention-ms",
            &args.job_retention_ms,
            86_400_000,
            1_000,
            2_678_400_000,
        );
        let drain_notice = ms("drain-notice-ms", &args.drain_notice_ms, 1_000, 0, 600_000);
        let drain_timeout = ms(
            "drain-timeout-ms",
            &args.drain_timeout_ms,
            60_000,
            0,
            3_600_000,
        );
        Some(Self {
            member_id: member_id?,
            data_centre: data_centre?,
            api_listen: api_listen?,
            mesh_listen: mesh_listen?,
            mesh_advertise,
            store: store?,
            instances: instances?,
            token: Token(token?),
            mesh_keys: Credentials {
                authorities: authorities?,
                certificate: certificate?,
                private_key: private_key?,
            },
            shard_count: shard_count? as u16,
            session_ttl: session_ttl?,
            promise_term: promise_term?,
            outage_limit: outage_limit?,
            lease_term: lease_term?,
            sync_interval: sync_interval?,
            worker_silence_limit: worker_silence_limit?,
            commit_interval: commit_interval?,
            config_freshness_limit: config_freshness_limit?,
            instances_interval: instances_interval?,
            gossip_interval: gossip_interval?,
            store_timeout: store_timeout?,
            request_key_ttl: request_key_ttl?,
            job_retention: job_retention?,
            drain_notice: drain_notice?,
            drain_timeout: drain_timeout?,
        })
    }
}
