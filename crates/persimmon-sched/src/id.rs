use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Identifies a job; the number is chosen by its client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

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

/// Number of hexadecimal digits in the text form of a [`JobId`].
const JOB_DIGITS: usize = 16;

impl fmt::Display for JobId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let number = u64::from_str_radix(text, 16).ok();
        number
            .filter(|_| text.len() == JOB_DIGITS && text.chars().all(digits))
            .map(Self)
            .ok_or_else(|| ParseIdError {
                text: text.to_owned(),
                expected: "a job: 16 lower-case hexadecimal digits",
            })
    }
}

impl TaskId {
    /// The highest id.
    pub(crate) const MAX: Self = Self {
        job: JobId(u64::MAX),
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
