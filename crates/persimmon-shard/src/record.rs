use crate::{Charts, Entry, Job, JobEvent, JobState, JobTable, Step};
use persimmon_chart::Label;
use persimmon_ticket::RerunWire;
use persimmon_types::Size;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The record of a shard in the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordWire {
    /// The epoch, which increases with each change of owner.
    pub epoch: u64,
    /// The current owner; `None` after a handover.
    pub owner: Option<OwnerWire>,
    /// The processes whose promises may extend the ownership while the store is unreachable.
    pub witnesses: Vec<WitnessWire>,
    /// A token unique to each write, by which a writer recognizes its own write.
    pub token: String,
    /// The snapshot of the job table to which `tail` is applied.
    pub base: Option<BaseRef>,
    /// The entries appended since the snapshot.
    pub tail: Vec<EntryWire>,
    /// The busiest minute of the month, as known to the owner.
    #[serde(default)]
    pub busiest: BusiestWire,
}

/// The busiest minute of a month.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BusiestWire {
    /// Months since January of year 0.
    pub month: u32,
    /// The processors claimed in that minute.
    pub cpu_millis: u64,
}

/// A process whose promises may extend an ownership while the store is unreachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessWire {
    /// The member ID.
    pub member: String,
    /// The incarnation; promises of other incarnations don't count.
    pub incarnation: u64,
    /// The address at which it listens. An address is used by one process at a time, so a response
    /// from it comes from the witness or from a later incarnation.
    pub address: String,
}

/// The process that owns a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerWire {
    /// The member ID.
    pub member: String,
    /// The member's incarnation.
    pub incarnation: u64,
}

/// A reference to a [`BaseWire`] that is stored in chunks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseRef {
    /// The key prefix of the chunks.
    pub prefix: String,
    /// The number of chunks.
    pub chunks: u32,
}

/// A snapshot of a [`JobTable`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct BaseWire {
    pub last_number: u64,
    pub evictions: u64,
    pub deadlines_met: u64,
    pub deadlines_missed: u64,
    pub jobs: Vec<JobWire>,
    #[serde(default)]
    pub assigned: Vec<AssignWire>,
}

/// See [`Job`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct JobWire {
    pub number: u64,
    pub key: String,
    pub class: String,
    pub team: String,
    pub size: Size,
    pub run_time_ms: u64,
    pub rerun: String,
    pub attempts_max: u32,
    pub urgent: bool,
    pub deadline_unix_ms: u64,
    pub submitted_unix_ms: u64,
    pub state: String,
    pub attempt: u32,
    pub failures: u32,
    pub evictions: u32,
    pub worker: Option<(String, u64)>,
    pub placed_unix_ms: u64,
    pub checkpoint: Option<String>,
    pub ended_unix_ms: Option<u64>,
    pub reasons: Vec<String>,
}

/// See [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryWire {
    /// See [`Entry::Submit`].
    Submit(SubmitWire),
    /// See [`Entry::Step`].
    Step(StepWire),
    /// See [`Entry::Assign`].
    Assign(AssignWire),
}

/// See [`Entry::Assign`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct AssignWire {
    pub key: String,
    pub shard: u16,
    pub at_unix_ms: u64,
}

/// See [`Entry::Submit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct SubmitWire {
    pub number: u64,
    pub key: String,
    pub class: String,
    pub team: String,
    pub size: Size,
    pub run_time_ms: u64,
    pub rerun: String,
    pub attempts_max: u32,
    pub urgent: bool,
    pub deadline_unix_ms: u64,
    pub at_unix_ms: u64,
}

/// See [`Step`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct StepWire {
    pub number: u64,
    pub event: String,
    pub at_unix_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<(String, u64)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub counts: bool,
}

/// The error returned when a stored record contains an unknown value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("shard record: {field} {value:?} is not known")]
pub struct DecodeError {
    /// The name of the field.
    pub field: &'static str,
    /// The unknown value.
    pub value: String,
}

fn encode_rerun(rerun: persimmon_ticket::Rerun) -> String {
    match RerunWire::from(rerun) {
        RerunWire::Safe => "safe".to_owned(),
        RerunWire::Never => "never".to_owned(),
    }
}

fn decode_rerun(text: &str) -> Result<persimmon_ticket::Rerun, DecodeError> {
    match text {
        "safe" => Ok(persimmon_ticket::Rerun::Safe),
        "never" => Ok(persimmon_ticket::Rerun::Never),
        other => Err(DecodeError {
            field: "rerun",
            value: other.to_owned(),
        }),
    }
}

impl From<&Entry> for EntryWire {
    fn from(entry: &Entry) -> Self {
        match entry {
            Entry::Submit {
                number,
                key,
                class,
                team,
                size,
                run_time,
                rerun,
                attempts_max,
                urgent,
                deadline_unix_ms,
                at_unix_ms,
            } => Self::Submit(SubmitWire {
                number: *number,
                key: key.clone(),
                class: class.clone(),
                team: team.clone(),
                size: *size,
                run_time_ms: run_time.as_millis() as u64,
                rerun: encode_rerun(*rerun),
                attempts_max: *attempts_max,
                urgent: *urgent,
                deadline_unix_ms: *deadline_unix_ms,
                at_unix_ms: *at_unix_ms,
            }),
            Entry::Assign {
                key,
                shard,
                at_unix_ms,
            } => Self::Assign(AssignWire {
                key: key.clone(),
                shard: *shard,
                at_unix_ms: *at_unix_ms,
            }),
            Entry::Step(step) => Self::Step(StepWire {
                number: step.number,
                event: step.event.label().to_owned(),
                at_unix_ms: step.at_unix_ms,
                worker: step.worker.clone(),
                checkpoint: step.checkpoint.clone(),
                counts: step.counts,
            }),
        }
    }
}

impl TryFrom<EntryWire> for Entry {
    type Error = DecodeError;

    fn try_from(wire: EntryWire) -> Result<Self, DecodeError> {
        match wire {
            EntryWire::Submit(wire) => Ok(Self::Submit {
                number: wire.number,
                key: wire.key,
                class: wire.class,
                team: wire.team,
                size: wire.size,
                run_time: Duration::from_millis(wire.run_time_ms),
                rerun: decode_rerun(&wire.rerun)?,
                attempts_max: wire.attempts_max,
                urgent: wire.urgent,
                deadline_unix_ms: wire.deadline_unix_ms,
                at_unix_ms: wire.at_unix_ms,
            }),
            EntryWire::Assign(AssignWire {
                key,
                shard,
                at_unix_ms,
            }) => Ok(Self::Assign {
                key,
                shard,
                at_unix_ms,
            }),
            EntryWire::Step(wire) => Ok(Self::Step(Step {
                number: wire.number,
                event: JobEvent::find(&wire.event).ok_or_else(|| DecodeError {
                    field: "event",
                    value: wire.event.clone(),
                })?,
                at_unix_ms: wire.at_unix_ms,
                worker: wire.worker,
                checkpoint: wire.checkpoint,
                counts: wire.counts,
            })),
        }
    }
}

impl From<&Job> for JobWire {
    fn from(job: &Job) -> Self {
        Self {
            number: job.number,
            key: job.key.clone(),
            class: job.class.clone(),
            team: job.team.clone(),
            size: job.size,
            run_time_ms: job.run_time.as_millis() as u64,
            rerun: encode_rerun(job.rerun),
            attempts_max: job.attempts_max,
            urgent: job.urgent,
            deadline_unix_ms: job.deadline_unix_ms,
            submitted_unix_ms: job.submitted_unix_ms,
            state: job.state.label().to_owned(),
            attempt: job.attempt,
            failures: job.failures,
            evictions: job.evictions,
            worker: job.worker.clone(),
            placed_unix_ms: job.placed_unix_ms,
            checkpoint: job.checkpoint.clone(),
            ended_unix_ms: job.ended_unix_ms,
            reasons: job.reasons.clone(),
        }
    }
}

impl TryFrom<JobWire> for Job {
    type Error = DecodeError;

    fn try_from(wire: JobWire) -> Result<Self, DecodeError> {
        Ok(Self {
            number: wire.number,
            key: wire.key,
            class: wire.class,
            team: wire.team,
            size: wire.size,
            run_time: Duration::from_millis(wire.run_time_ms),
            rerun: decode_rerun(&wire.rerun)?,
            attempts_max: wire.attempts_max,
            urgent: wire.urgent,
            deadline_unix_ms: wire.deadline_unix_ms,
            submitted_unix_ms: wire.submitted_unix_ms,
            state: JobState::find(&wire.state).ok_or_else(|| DecodeError {
                field: "state",
                value: wire.state.clone(),
            })?,
            attempt: wire.attempt,
            failures: wire.failures,
            evictions: wire.evictions,
            worker: wire.worker,
            placed_unix_ms: wire.placed_unix_ms,
            checkpoint: wire.checkpoint,
            ended_unix_ms: wire.ended_unix_ms,
            reasons: wire.reasons,
        })
    }
}

impl From<&JobTable> for BaseWire {
    fn from(table: &JobTable) -> Self {
        Self {
            last_number: table.last_number,
            evictions: table.evictions,
            deadlines_met: table.deadlines_met,
            deadlines_missed: table.deadlines_missed,
            jobs: table.iter().map(JobWire::from).collect(),
            assigned: table
                .assigned
                .iter()
                .map(|(key, (shard, at_unix_ms))| AssignWire {
                    key: key.clone(),
                    shard: *shard,
                    at_unix_ms: *at_unix_ms,
                })
                .collect(),
        }
    }
}

impl TryFrom<BaseWire> for JobTable {
    type Error = DecodeError;

    fn try_from(wire: BaseWire) -> Result<Self, DecodeError> {
        let mut table = Self {
            last_number: wire.last_number,
            evictions: wire.evictions,
            deadlines_met: wire.deadlines_met,
            deadlines_missed: wire.deadlines_missed,
            ..Self::default()
        };
        for AssignWire {
            key,
            shard,
            at_unix_ms,
        } in wire.assigned
        {
            table.assigned.insert(key, (shard, at_unix_ms));
        }
        for job in wire.jobs {
            let job = Job::try_from(job)?;
            table.by_key.insert(job.key.clone(), job.number);
            table.jobs.insert(job.number, job);
        }
        Ok(table)
    }
}

impl JobTable {
    /// Applies the entries of a record's tail.
    pub fn replay(&mut self, charts: &Charts, tail: Vec<EntryWire>) -> Result<(), DecodeError> {
        for wire in tail {
            self.apply(charts, &Entry::try_from(wire)?);
        }
        Ok(())
    }
}
