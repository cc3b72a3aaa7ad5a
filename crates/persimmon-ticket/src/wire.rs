use crate::{BatchClass, Object, ObjectKind, Rerun, Service, Shares, Team, Ticket};
use persimmon_types::Size;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The serialized form of a ticket: TOML or JSON when written by operators, JSON in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketWire {
    /// See [`Ticket::number`].
    pub number: u64,
    /// See [`Ticket::shares`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<SharesWire>,
    /// See [`Ticket::services`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<ServiceWire>,
    /// See [`Ticket::batch_classes`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub batch_class: Vec<BatchClassWire>,
    /// See [`Ticket::teams`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub team: Vec<TeamWire>,
    /// See [`Ticket::removals`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub remove: Vec<ObjectRefWire>,
}

/// See [`Shares`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct SharesWire {
    pub latency_critical_percent: u32,
    pub batch_percent: u32,
}

/// See [`Service`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ServiceWire {
    pub name: String,
    pub slots_per_runner: u32,
    pub connections_per_runner: u32,
    pub runner_size: Size,
    pub objective_latency_ms: u64,
    pub objective_millipercent: u32,
    pub request_timeout_ms: u64,
    pub body_max_bytes: u64,
}

/// See [`Rerun`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum RerunWire {
    Safe,
    Never,
}

/// See [`BatchClass`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct BatchClassWire {
    pub name: String,
    pub team: String,
    pub size: Size,
    pub run_time_ms: u64,
    pub rerun: RerunWire,
    pub attempts_max: u32,
    #[serde(default)]
    pub urgent: bool,
}

/// See [`Team`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct TeamWire {
    pub name: String,
    pub quota: Size,
}

/// See [`Object`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ObjectRefWire {
    pub kind: String,
    pub name: String,
}

impl ObjectKind {
    /// Returns the name of the kind in tickets.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::BatchClass => "batch_class",
            Self::Team => "team",
        }
    }

    /// Returns the kind named `text`.
    pub fn find(text: &str) -> Option<Self> {
        [Self::Service, Self::BatchClass, Self::Team]
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

impl From<&Ticket> for TicketWire {
    fn from(ticket: &Ticket) -> Self {
        Self {
            number: ticket.number,
            shares: ticket.shares.map(Into::into),
            service: ticket.services.iter().map(Into::into).collect(),
            batch_class: ticket.batch_classes.iter().map(Into::into).collect(),
            team: ticket.teams.iter().map(Into::into).collect(),
            remove: ticket.removals.iter().map(Into::into).collect(),
        }
    }
}

impl From<Shares> for SharesWire {
    fn from(shares: Shares) -> Self {
        Self {
            latency_critical_percent: shares.latency_critical_percent,
            batch_percent: shares.batch_percent,
        }
    }
}

impl From<SharesWire> for Shares {
    fn from(wire: SharesWire) -> Self {
        Self {
            latency_critical_percent: wire.latency_critical_percent,
            batch_percent: wire.batch_percent,
        }
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        Self {
            name: service.name.clone(),
            slots_per_runner: service.slots_per_runner,
            connections_per_runner: service.connections_per_runner,
            runner_size: service.runner_size,
            objective_latency_ms: service.objective_latency.as_millis() as u64,
            objective_millipercent: service.objective_millipercent,
            request_timeout_ms: service.request_timeout.as_millis() as u64,
            body_max_bytes: service.body_max_bytes,
        }
    }
}

impl From<ServiceWire> for Service {
    fn from(wire: ServiceWire) -> Self {
        Self {
            name: wire.name,
            slots_per_runner: wire.slots_per_runner,
            connections_per_runner: wire.connections_per_runner,
            runner_size: wire.runner_size,
            objective_latency: Duration::from_millis(wire.objective_latency_ms),
            objective_millipercent: wire.objective_millipercent,
            request_timeout: Duration::from_millis(wire.request_timeout_ms),
            body_max_bytes: wire.body_max_bytes,
        }
    }
}

impl From<Rerun> for RerunWire {
    fn from(rerun: Rerun) -> Self {
        match rerun {
            Rerun::Safe => Self::Safe,
            Rerun::Never => Self::Never,
        }
    }
}

impl From<RerunWire> for Rerun {
    fn from(wire: RerunWire) -> Self {
        match wire {
            RerunWire::Safe => Self::Safe,
            RerunWire::Never => Self::Never,
        }
    }
}

impl From<&BatchClass> for BatchClassWire {
    fn from(class: &BatchClass) -> Self {
        Self {
            name: class.name.clone(),
            team: class.team.clone(),
            size: class.size,
            run_time_ms: class.run_time.as_millis() as u64,
            rerun: class.rerun.into(),
            attempts_max: class.attempts_max,
            urgent: class.urgent,
        }
    }
}

impl From<BatchClassWire> for BatchClass {
    fn from(wire: BatchClassWire) -> Self {
        Self {
            name: wire.name,
            team: wire.team,
            size: wire.size,
            run_time: Duration::from_millis(wire.run_time_ms),
            rerun: wire.rerun.into(),
            attempts_max: wire.attempts_max,
            urgent: wire.urgent,
        }
    }
}

impl From<&Team> for TeamWire {
    fn from(team: &Team) -> Self {
        Self {
            name: team.name.clone(),
            quota: team.quota,
        }
    }
}

impl From<TeamWire> for Team {
    fn from(wire: TeamWire) -> Self {
        Self {
            name: wire.name,
            quota: wire.quota,
        }
    }
}

impl From<&Object> for ObjectRefWire {
    fn from(object: &Object) -> Self {
        Self {
            kind: object.kind.as_str().to_owned(),
            name: object.name.clone(),
        }
    }
}
