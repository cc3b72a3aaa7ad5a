use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Identifies a job of a group. Its client account chooses the number, so jobs of several queues may
/// have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The number that the client account chose.
    pub number: u64,
    /// 0 for the job that had the number first; for a later one of another queue the hash of the
    /// queue's name.
    pub queue_hash: u64,
}

impl JobId {
    /// The job that had this number first.
    pub const fn new(number: u64) -> Self {
        Self {
            number,
            queue_hash: 0,
        }
    }

    /// The job of this queue, after one of another queue had the number.
    pub fn of_queue(number: u64, queue: &str) -> Self {
        Self {
            number,
            queue_hash: persimmon_types::name_hash(queue).max(1),
        }
    }

    /// Returns whether another queue had a job with the number before.
    pub fn is_later(self) -> bool {
        self.queue_hash != 0
    }
}

/// Identifies a task within one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Zero-based occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Zero-based step of the job.
    pub step: u16,
    /// Zero-based task of the step.
    pub index: u16,
}

/// The text is not a valid job or task id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not {expected}")]
pub struct ParseIdError {
    /// The rejected text.
    pub text: String,
    /// The expected form.
    pub expected: &'static str,
}

/// Number of hexadecimal digits of a job's number, and of the hash of its queue.
const DIGITS: usize = 16;

/// Parses a number of [`DIGITS`] lower-case hexadecimal digits.
fn parse_digits(text: &str) -> Option<u64> {
    let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let number = u64::from_str_radix(text, 16).ok();
    number.filter(|_| text.len() == DIGITS && text.chars().all(digits))
}

impl fmt::Display for JobId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.number)?;
        if self.is_later() {
            write!(out, "-{:016x}", self.queue_hash)?;
        }
        Ok(())
    }
}

/// Parses a number that a client account chose, as the job that had it first.
impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = parse_digits(text);
        number.map(Self::new).ok_or_else(|| ParseIdError {
            text: text.to_owned(),
            expected: "a job: 16 lower-case hexadecimal digits",
        })
    }
}

impl JobId {
    /// Parses the output of [`fmt::Display`], which also tells later jobs apart.
    pub fn parse_whole(text: &str) -> Option<Self> {
        let Some((number, queue_hash)) = text.split_once('-') else {
            return text.parse().ok();
        };
        let queue_hash = parse_digits(queue_hash).filter(|&hash| hash != 0)?;
        Some(Self {
            number: parse_digits(number)?,
            queue_hash,
        })
    }
}

impl TaskId {
    /// The task as runners know it: by the number of its job, which no other job on their service has.
    pub fn on_runner(self) -> Self {
        Self {
            job: JobId::new(self.job.number),
            ..self
        }
    }

    /// The highest id.
    pub(crate) const MAX: Self = Self {
        job: JobId {
            number: u64::MAX,
            queue_hash: u64::MAX,
        },
        occurrence: u32::MAX,
        step: u16::MAX,
        index: u16::MAX,
    };
}

impl fmt::Display for TaskId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(out, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut parse = || {
            Some(Self {
                job: parts.next()?.parse().ok()?,
                occurrence: parts.next()?.parse().ok()?,
                step: parts.next()?.parse().ok()?,
                index: parts.next()?.parse().ok()?,
            })
        };
        let task = parse();
        task.filter(|_| parts.next().is_none())
            .ok_or_else(|| ParseIdError {
                text: text.to_owned(),
                expected: "a task: JOB.OCCURRENCE.STEP.INDEX",
            })
    }
}
