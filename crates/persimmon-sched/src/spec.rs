use crate::JobId;
use persimmon_types::Size;
use serde::{Deserialize, Serialize};

/// Maximum size of a payload.
const PAYLOAD_BYTES_MAX: usize = 4_000;
/// Maximum number of steps in a job; [`crate::TaskId`] holds the step in 16 bits.
pub const STEPS_MAX: usize = 1_000;
/// Maximum number of tasks in a step.
const TASKS_MAX: u32 = 10_000;
/// Maximum number of tasks in a job, over all its occurrences. The store would not take the record of
/// more, and their owner would need too much memory.
const JOB_TASKS_MAX: u64 = 40_000;

/// A job as submitted by its client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id of the job. Only its number is stored with the specification; the key tells the rest.
    #[serde(with = "number_of_job")]
    pub id: JobId,
    /// The queue that the job was submitted to.
    pub queue: String,
    /// Input passed to each task.
    pub payload: String,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// The steps; each may depend on earlier ones only.
    pub steps: Vec<StepSpec>,
    /// Recurrence of the steps; without one they run once, immediately.
    pub schedule: Option<Schedule>,
}

/// The number of a job, as which specifications hold its id.
mod number_of_job {
    use crate::JobId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(id: &JobId, out: S) -> Result<S::Ok, S::Error> {
        id.number.serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<JobId, D::Error> {
        u64::deserialize(input).map(JobId::new)
    }
}

/// Recurrence of a job's steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of occurrence 0, in milliseconds since the Unix epoch.
    pub first_at_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub count: u32,
}

/// A set of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources requested by each task.
    pub size: Size,
    /// Estimated run time of a task.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before this one starts.
    pub after: Vec<u16>,
    /// Whether tasks can resume from a checkpoint.
    pub checkpointing: bool,
    /// Whether tasks make progress only while all of them run (gang scheduling).
    pub gang: bool,
    /// Whether tasks are slow unless all of them share a rack.
    pub rack_local: bool,
    /// Label that a runner must have.
    pub constraint: Option<String>,
    /// Preferred rack: the one that holds the input data.
    pub affinity: Option<String>,
    /// Maximum number of tasks on one runner; 0 for no limit.
    pub per_runner_max: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of one image are assumed to behave alike.
    pub image: String,
    /// Tail latency target of a latency-critical task; 0 for any other task.
    pub tail_target_ms: u64,
    /// Whether tasks are best-effort: they use only processor time that others leave idle.
    pub best_effort: bool,
    /// Number of tasks that the scheduler may make unavailable at the same time.
    pub disruptions_max: Option<u32>,
}

/// A job specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The payload exceeds the size limit.
    #[error("the payload has {bytes} bytes, at most {PAYLOAD_BYTES_MAX} are allowed")]
    Payload {
        /// Size of the payload.
        bytes: usize,
    },
    /// The number of steps is out of range.
    #[error("the job has {steps} steps, 1 to {STEPS_MAX} are allowed")]
    Steps {
        /// Number of steps in the job.
        steps: usize,
    },
    /// The number of tasks in a step is out of range.
    #[error("step {step} has {count} tasks, 1 to {TASKS_MAX} are allowed")]
    Tasks {
        /// The step.
        step: usize,
        /// Number of tasks in the step.
        count: u32,
    },
    /// The job has too many tasks.
    #[error("the job has {tasks} tasks in all, at most {JOB_TASKS_MAX} are allowed")]
    JobTasks {
        /// Number of tasks of all steps and occurrences.
        tasks: u64,
    },
    /// The time of an occurrence is out of range.
    #[error("the last of {count} occurrences is due at a time out of range")]
    Schedule {
        /// Number of occurrences.
        count: u32,
    },
    /// A step depends on itself, a later step or a missing one.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    After {
        /// The step.
        step: usize,
        /// The step that it depends on.
        after: u16,
    },
}

impl JobSpec {
    /// Validates everything that does not depend on the runners.
    pub fn check(&self) -> Result<(), SpecError> {
        let bytes = self.payload.len();
        if bytes > PAYLOAD_BYTES_MAX {
            return Err(SpecError::Payload { bytes });
        }
        let steps = self.steps.len();
        if steps == 0 || steps > STEPS_MAX {
            return Err(SpecError::Steps { steps });
        }
        let each = self.steps.iter().enumerate();
        each.into_iter().try_for_each(|(step, it)| it.check(step))?;
        let tasks = self.tasks_each() * u64::from(self.occurrences());
        if tasks > JOB_TASKS_MAX {
            return Err(SpecError::JobTasks { tasks });
        }
        self.schedule.map_or(Ok(()), Schedule::check)
    }

    /// Number of tasks of an occurrence.
    pub fn tasks_each(&self) -> u64 {
        self.steps.iter().map(|it| u64::from(it.count)).sum()
    }

    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }
}

impl Schedule {
    fn check(self) -> Result<(), SpecError> {
        let last = u64::from(self.count.saturating_sub(1));
        let last_at_ms = last.checked_mul(self.interval_ms);
        let last_at_ms = last_at_ms.and_then(|it| it.checked_add(self.first_at_ms));
        last_at_ms
            .map(drop)
            .ok_or(SpecError::Schedule { count: self.count })
    }
}

impl StepSpec {
    fn check(&self, step: usize) -> Result<(), SpecError> {
        let count = self.count;
        if count == 0 || count > TASKS_MAX {
            return Err(SpecError::Tasks { step, count });
        }
        let not_earlier = self.after.iter().find(|&&after| usize::from(after) >= step);
        not_earlier.map_or(Ok(()), |&after| Err(SpecError::After { step, after }))
    }

    /// Resources that a task reserves on a runner; a best-effort task reserves no processor time.
    pub fn claim(&self) -> Size {
        let cpu_millis = if self.best_effort {
            0
        } else {
            self.size.cpu_millis
        };
        Size {
            cpu_millis,
            ..self.size
        }
    }

    /// Returns whether tasks have a tail latency target.
    pub fn is_latency_critical(&self) -> bool {
        self.tail_target_ms > 0
    }
}
