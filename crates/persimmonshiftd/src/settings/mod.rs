//! Settings from flags and environment variables, and their validation.

mod reader;

use crate::args::Args;
use persimmon_mesh::Credentials;
use reader::SettingsReader;
use std::{fmt, net::SocketAddr, time::Duration};

/// The operators' token; its `Debug` form does not reveal it.
#[derive(Clone)]
pub struct Token(pub(crate) String);

impl fmt::Debug for Token {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Token(..)")
    }
}

/// The validated settings of a daemon. See [`Args`] for their meaning and units.
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

/// A setting that is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The flag, for example `--store`.
    pub flag: String,
    /// The environment variable.
    pub variable: String,
    /// The given value, with secrets masked; `None` if it is missing.
    pub value: Option<String>,
    /// The allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
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

/// All missing and invalid settings.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("settings: {}", .invalid.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct Error {
    /// The missing and invalid settings, at least one.
    pub invalid: Vec<InvalidSetting>,
}

impl Settings {
    /// Reads and checks the settings of `args`. `variable` looks up the environment variable of a
    /// setting whose flag is not given.
    pub fn load(args: &Args, variable: impl Fn(&str) -> Option<String>) -> Result<Self, Error> {
        let mut reader = SettingsReader::new(variable);
        let settings = Self::read(args, &mut reader);
        if let Some(settings) = &settings {
            settings.check_combinations(&mut reader);
        }
        let invalid = reader.into_invalid();
        settings
            .filter(|_| invalid.is_empty())
            .ok_or(Error { invalid })
    }

    /// Checks settings that constrain each other.
    fn check_combinations<V: Fn(&str) -> Option<String>>(&self, reader: &mut SettingsReader<V>) {
        let ms = |duration: Duration| duration.as_millis().to_string();
        if self.sync_interval * 2 > self.lease_term {
            let allowed = "at most half of --lease-term-ms";
            reader.reject("sync-interval-ms", Some(ms(self.sync_interval)), allowed);
        }
        if self.store_timeout >= self.session_ttl {
            let allowed = "less than --session-ttl-ms";
            reader.reject("store-timeout-ms", Some(ms(self.store_timeout)), allowed);
        }
    }

    fn read<V: Fn(&str) -> Option<String>>(
        args: &Args,
        reader: &mut SettingsReader<V>,
    ) -> Option<Self> {
        let name_rule = "1 to 64 letters, digits, '-', '_' or '.'";
        let is_name = persimmon_ticket::is_valid_name;
        let member_id = reader.text("member-id", &args.member_id, name_rule, is_name);
        let data_centre = reader.text("data-centre", &args.data_centre, name_rule, is_name);
        let api_listen = reader.address("api-listen", &args.api_listen, Some("127.0.0.1:0"));
        let mesh_listen = reader.address("mesh-listen", &args.mesh_listen, Some("127.0.0.1:0"));
        let mesh_advertise = reader.optional_address("mesh-advertise", &args.mesh_advertise);
        let store = reader.address("store", &args.store, None);
        let instances = reader.address("instances", &args.instances, None);
        let token = reader.secret("token", &args.token, "16 characters or more", 16);
        let authorities = reader.pem("mesh-authorities", &args.mesh_authorities);
        let certificate = reader.pem("mesh-certificate", &args.mesh_certificate);
        let private_key = reader.pem("mesh-private-key", &args.mesh_private_key);
        let shard_count = reader.number("shard-count", &args.shard_count, 9, 1..=4096);
        let mut ms = |name: &'static str, flag: &Option<String>, default, low, high| {
            reader
                .number(name, flag, default, low..=high)
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
                reset_secret: private_key.clone()?,
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
