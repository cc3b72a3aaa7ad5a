use crate::JobId;
use persimmon_types::Size;
use serde::{Deserialize, Serialize};

/// Bytes of a payload at most.
const PAYLOAD_BYTES_MAX: usize = 4_000;
/// Steps of a job at most; a task's name holds the step in 16 bits.
const STEPS_MAX: usize = 1_000;
/// Tasks of a step at most.
const TASKS_MAX: u32 = 10_000;

/// A job as its client account submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job.
    pub id: JobId,
    /// The queue that it was submitted to.
    pub queue: String,
    /// What each task is given.
    pub payload: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// The steps, each after those that it names.
    pub steps: Vec<StepSpec>,
    /// When the steps run; once and at once if absent.
    pub schedule: Option<Schedule>,
}

/// Repeats a job's steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When occurrence 0 is due, in milliseconds since the Unix epoch.
    pub first_at_ms: u64,
    /// The time between two occurrences.
    pub interval_ms: u64,
    /// The number of occurrences.
    pub count: u32,
}

/// Tasks that run alike.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// What each task claims of a runner.
    pub size: Size,
    /// Roughly how long a task runs.
    pub estimate_ms: u64,
    /// The steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Tasks can resume from a checkpoint.
    pub checkpointing: bool,
    /// Tasks work only when all of them are present.
    pub gang: bool,
    /// Tasks are slow unless all of them share a rack.
    pub rack_local: bool,
    /// The label that a runner must have.
    pub constraint: Option<String>,
    /// The rack that holds the data.
    pub affinity: Option<String>,
    /// Tasks on one runner at most; 0 for no limit.
    pub per_runner_max: u32,
    /// Copies of a task may run in parallel.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The tail latency that a serving task must stay below; 0 if it serves nobody.
    pub tail_target_ms: u64,
    /// Tasks take only processor time that others leave idle.
    pub best_effort: bool,
    /// Tasks that our own acts may make unavailable at once.
    pub disruptions_max: Option<u32>,
}

/// A job can't be accepted as it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The payload is too long.
    #[error("the payload has {bytes} bytes, at most {PAYLOAD_BYTES_MAX} are allowed")]
    Payload {
        /// Its length.
        bytes: usize,
    },
    /// The number of steps is out of range.
    #[error("the job has {steps} steps, 1 to {STEPS_MAX} are allowed")]
    Steps {
        /// The number of steps.
        steps: usize,
    },
    /// A step's number of tasks is out of range.
    #[error("step {step} has {count} tasks, 1 to {TASKS_MAX} are allowed")]
    Tasks {
        /// The step.
        step: usize,
        /// Its number of tasks.
        count: u32,
    },
    /// A step waits for itself, a later one or one that does not exist.
    #[error("step {step} waits for step {after}, which is not an earlier one")]
    After {
        /// The step.
        step: usize,
        /// The step that it names.
        after: u16,
    },
}

impl JobSpec {
    /// Checks what can be told without knowing the runners.
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
        each.into_iter().try_for_each(|(step, it)| it.check(step))
    }

    /// The number of times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }
}

impl StepSpec {
    fn check(&self, step: usize) -> Result<(), SpecError> {
        let count = self.count;
        if count == 0 || count > TASKS_MAX {
            return Err(SpecError::Tasks { step, count });
        }
        let late = self.after.iter().find(|&&after| usize::from(after) >= step);
        late.map_or(Ok(()), |&after| Err(SpecError::After { step, after }))
    }

    /// What a task claims of a runner's capacity: a task that fills claims no processor time.
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

    /// Tells whether tasks answer users of their own.
    pub fn is_latency_critical(&self) -> bool {
        self.tail_target_ms > 0
    }
}
