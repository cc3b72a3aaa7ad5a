//! The platform's instance list: `GET /v1/instances` returns an [`InstanceList`], which may be
//! out of date.
use persimmon_types::Size;
use serde::{Deserialize, Serialize};

/// The answer to `GET /v1/instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances that the platform knows.
    pub instances: Vec<Instance>,
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
