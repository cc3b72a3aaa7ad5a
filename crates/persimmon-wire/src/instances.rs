//! The platform's instance list: `GET /v1/instances` returns an [`InstanceList`], which may be
//! out of date.
use persimmon_types::Size;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::{AddrParseError, SocketAddr};

/// The answer to `GET /v1/instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances that the platform knows.
    pub instances: Vec<Instance>,
}

/// The answer to `GET /v1/instances` as it was received. Its entries are decoded one by one, so that
/// one of another writer does not hide the others.
#[derive(Debug, Deserialize)]
pub struct ReceivedList {
    instances: Vec<Box<RawValue>>,
}

/// Why an entry of the list names no instance to use.
#[derive(Debug, thiserror::Error)]
pub enum InvalidInstance {
    /// The entry can't be decoded.
    #[error("decode the entry: {0}")]
    Entry(#[from] serde_json::Error),
    /// The address can't be dialled.
    #[error("decode the address of {id}: {source}")]
    Address {
        /// The id of the instance.
        id: String,
        /// The error.
        source: AddrParseError,
    },
}

impl ReceivedList {
    /// Decodes the entries, each on its own.
    pub fn decode(&self) -> impl Iterator<Item = Result<Instance, InvalidInstance>> + '_ {
        self.instances.iter().map(|entry| {
            let instance: Instance = serde_json::from_str(entry.get())?;
            match instance.address.parse::<SocketAddr>() {
                Ok(_) => Ok(instance),
                Err(source) => Err(InvalidInstance::Address {
                    id: instance.id,
                    source,
                }),
            }
        })
    }
}

/// An instance: a worker or a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The id of the instance; ids are never reused.
    pub id: String,
    /// The address on which it listens, `IP:PORT`.
    pub address: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// The rack in which it runs.
    pub rack: String,
    /// Whether it accepts new work.
    pub state: InstanceState,
    /// Whether it is a worker or a runner.
    #[serde(flatten)]
    pub role: Role,
}

/// The lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The platform is about to remove the instance; it gets no new work.
    Leaving,
}

/// The role of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// A worker, which runs batch tasks.
    Worker {
        /// The processors, memory and accelerators of the worker.
        capacity: Size,
    },
    /// A runner, which is an endpoint of a service.
    Runner {
        /// The name of the service.
        service: String,
        /// The instance id of the worker on the same machine, if the platform reports it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<String>,
    },
}
