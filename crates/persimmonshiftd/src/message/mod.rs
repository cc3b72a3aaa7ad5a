//! Messages between daemons.
//!
//! They are encoded by postcard, so none may hold a type that leaves fields out; the configuration
//! travels as the text that the store holds.

use persimmon_types::Size;
use persimmon_wire::api::{BurnShare, ErrorBody, JobView, ShardView};
use serde::{Deserialize, Serialize};

/// A call from one daemon to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// News of the sender; answered with news.
    Gossip(Box<MemberStatus>),
    /// The newest configuration, as the store's value.
    Config { record: String },
    /// Asks for the newest configuration.
    GetConfig,
    /// Asks for a promise not to let the holder's shards be taken.
    Promise(HolderWire),
    /// Asks for a release of the holder's shards.
    Release(HolderWire),
    /// A question for the owner of a shard.
    Shard(ShardRequest),
    /// A request with a key that the receiver issued.
    Keyed(KeyedRequest),
    /// Asks for the receiver's share of the burn report.
    Burn,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    Gossip(Box<MemberStatus>),
    /// The configuration number that the receiver has in force.
    ConfigNumber(u64),
    /// The newest configuration, as the store's value.
    Config(Option<String>),
    /// A promise or release was given.
    Granted {
        incarnation: u64,
    },
    /// A promise or release was not given.
    Denied {
        reason: String,
    },
    Shard(Box<ShardResponse>),
    Keyed(KeyedResponse),
    Burn(Box<BurnShare>),
}

/// A member's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HolderWire {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
}

/// What a daemon tells every other one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct MemberStatus {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
    pub(crate) shard_count: u16,
    pub(crate) config_number: u64,
    /// How long ago the sender last had word from the store.
    pub(crate) store_contact_age_ms: u64,
    pub(crate) draining: bool,
    /// The shards that it owns.
    pub(crate) shards: Vec<OwnedShardStatus>,
    /// The month's busiest minute that it knows of.
    pub(crate) busiest: BusiestMinute,
}

/// What an owner tells of a shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct OwnedShardStatus {
    pub(crate) shard: u16,
    pub(crate) epoch: u64,
    pub(crate) claimed_cpu_millis: u64,
    pub(crate) required_cpu_millis: u64,
    pub(crate) queued_cpu_millis: u64,
    pub(crate) capacity_cpu_millis: u64,
    pub(crate) largest: Size,
    pub(crate) team_used: Vec<TeamUsage>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TeamUsage {
    pub(crate) team: String,
    pub(crate) used: Size,
}

/// The busiest minute of a month.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BusiestMinute {
    /// Months since January of year 0.
    pub(crate) month: u32,
    pub(crate) cpu_millis: u64,
}

/// A question for the owner of a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ShardRequest {
    /// `assigned` tells that the key's home shard sent it here.
    Submit {
        shard: u16,
        key: String,
        class: String,
        deadline_unix_ms: u64,
        assigned: bool,
    },
    Cancel {
        shard: u16,
        number: u64,
    },
    Show {
        shard: u16,
        number: u64,
    },
    List {
        shard: u16,
    },
    Summary {
        shard: u16,
    },
}

impl ShardRequest {
    /// The same submission for the shard that the key's home shard named.
    pub(crate) fn sent_to(mut self, target: u16) -> Self {
        if let Self::Submit {
            shard, assigned, ..
        } = &mut self
        {
            (*shard, *assigned) = (target, true);
        }
        self
    }

    pub(crate) fn shard(&self) -> u16 {
        match self {
            Self::Submit { shard, .. }
            | Self::Cancel { shard, .. }
            | Self::Show { shard, .. }
            | Self::List { shard }
            | Self::Summary { shard } => *shard,
        }
    }
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ShardResponse {
    Job(JobView),
    Jobs(Vec<JobView>),
    Summary(ShardView),
    /// The receiver does not own the shard; nothing was done.
    NotOwner,
    /// The key belongs to a job of another shard.
    Redirect {
        shard: u16,
    },
    Refused(ErrorBody),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct KeyedRequest {
    pub(crate) key: String,
    pub(crate) request: ServiceRequest,
    pub(crate) timeout_ms: u64,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum KeyedResponse {
    Answered(ServiceResponse),
    Refused(ErrorBody),
}

/// A request to a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ServiceRequest {
    pub(crate) service: String,
    pub(crate) method: String,
    /// The path and query behind the service's name, with a leading slash.
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
    pub(crate) request_id: String,
}

/// A whole answer of an endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ServiceResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) name: String,
    pub(crate) value: Vec<u8>,
}
