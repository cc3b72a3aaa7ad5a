//! The platform's instance list: `GET /v1/instances` answers [`InstanceList`], which lags.
use persimmon_types::Size;
use serde::{Deserialize, Serialize};

/// The list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// All instances that the platform knows.
    pub instances: Vec<Instance>,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name, never used again.
    pub id: String,
    /// `IP:PORT` where it listens.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// Whether it is leaving.
    pub state: InstanceState,
    /// What it is.
    #[serde(flatten)]
    pub role: Role,
}

/// The platform's word on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// In use.
    Live,
    /// About to go: no new work.
    Leaving,
}

/// What an instance is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum Role {
    /// Runs tasks.
    Worker {
        /// Its processors, memory and accelerators.
        capacity: Size,
    },
    /// An endpoint of a service.
    Runner {
        /// The service.
        service: String,
        /// The worker's instance that it sits on, if the platform tells.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        host: Option<String>,
    },
}
