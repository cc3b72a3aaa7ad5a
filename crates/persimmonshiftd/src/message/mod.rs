//! Messages between daemons.
//!
//! They are encoded with postcard, which does not name fields, so no type in them may skip fields
//! when it is serialized. The configuration is therefore sent in the JSON encoding of the store.

use persimmon_types::Size;
use persimmon_wire::api::{ErrorBody, JobView, MemberBurnReport, ShardView};
use serde::{Deserialize, Serialize};

/// A request from one daemon to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The sender's status; the response holds the receiver's.
    Gossip(Box<MemberStatus>),
    /// The newest configuration that the sender has, as stored.
    Config { record: String },
    /// Asks for the receiver's configuration.
    GetConfig,
    /// Asks for a promise not to release the holder's shards.
    Promise(HolderWire),
    /// Asks for a release of the holder's shards, so that they can be taken over.
    Release(HolderWire),
    /// A request to the owner of a shard.
    Shard(ShardRequest),
    /// A request to a service with a request key that the receiver issued.
    Keyed(KeyedRequest),
    /// Asks for the receiver's share of the burn report.
    Burn,
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    Gossip(Box<MemberStatus>),
    /// The number of the configuration that the receiver has in force.
    ConfigNumber(u64),
    /// The receiver's configuration as stored; `None` if it has none.
    Config(Option<String>),
    /// A promise or release was granted by this process of the receiver.
    Granted {
        incarnation: u64,
    },
    /// A promise or release was denied, or the receiver is still starting.
    Denied {
        reason: String,
    },
    Shard(Box<ShardResponse>),
    Keyed(KeyedResponse),
    Burn(Box<MemberBurnReport>),
}

/// A process of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HolderWire {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
}

/// What a daemon reports about itself to the others.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct MemberStatus {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
    pub(crate) shard_count: u16,
    pub(crate) config_number: u64,
    /// The time since the sender's newest contact with the store; `u64::MAX` for none.
    pub(crate) store_contact_age_ms: u64,
    pub(crate) draining: bool,
    /// The shards that the sender owns.
    pub(crate) shards: Vec<OwnedShardStatus>,
    /// The month's busiest minute, as far as the sender knows.
    pub(crate) busiest: BusiestMinute,
}

/// The load of a shard, as its owner reports it.
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

/// What a team's batch tasks use in a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TeamUsage {
    pub(crate) team: String,
    pub(crate) used: Size,
}

/// The average CPU that batch tasks claimed in a month's busiest minute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BusiestMinute {
    /// Months since January of year 0.
    pub(crate) month: u32,
    pub(crate) cpu_millis: u64,
}

/// A request to the owner of a shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum ShardRequest {
    /// Submits a job. `assigned` is set if the shard of the job's key assigned the job to `shard`.
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
    /// Returns the same submission, assigned to the shard `target`.
    pub(crate) fn assigned_to(mut self, target: u16) -> Self {
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
    /// The receiver does not own the shard; the request had no effect.
    NotOwner,
    /// The job was assigned to another shard, to which the submission must be sent.
    Redirect {
        shard: u16,
    },
    Refused(ErrorBody),
}

/// A request to a service, with the request key and the caller's timeout (0 for none).
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
    /// The path and query after the service's name, with a leading slash.
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
    pub(crate) request_id: String,
}

/// A complete response of an endpoint.
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
