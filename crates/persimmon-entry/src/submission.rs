//! Values of the submission keys of jobs.

use crate::{handle::Rejection, platform::Item};
use persimmon_sched::{JobId, JobSpec, Phase, Queue};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A job and its queue, which may be removed from the policy before the job has run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AcceptedJob {
    pub(crate) spec: JobSpec,
    /// `None` for jobs that an earlier version accepted.
    pub(crate) queue: Option<Queue>,
}

impl AcceptedJob {
    /// The job under the id that its key tells.
    pub(crate) fn with_id(mut self, id: JobId) -> Self {
        self.spec.id = id;
        self
    }
}

/// Value of a job's submission key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Submission {
    /// A submitted job, as written by earlier versions.
    Job(JobSpec),
    /// The job was cancelled before it was submitted, and never runs.
    Tombstone {
        /// Name of the queue that it was cancelled at; `None` if an earlier version wrote it.
        queue: Option<String>,
    },
    /// A submitted job.
    Accepted(AcceptedJob),
    /// A submitted job that has ended and has no runs left. It has no record any more.
    Ended {
        /// The phase that it ended in.
        phase: Phase,
        /// Name of its queue; `None` if an earlier version wrote it.
        queue: Option<String>,
    },
}

/// The part of a [`Submission`] that all versions know; the name of a queue may follow it.
#[derive(Serialize, Deserialize)]
enum SubmissionWire<'a> {
    Job(Cow<'a, JobSpec>),
    Tombstone,
    Accepted(Cow<'a, AcceptedJob>),
    Ended(Phase),
}

impl Submission {
    /// Decodes the value of a key; logs it if it is invalid.
    pub(crate) fn of_item(item: &Item) -> Option<Self> {
        let invalid = |err: &postcard::Error| {
            log::error!("event=submission.invalid key={} fault=\"{err}\"", item.key);
        };
        Self::decode(&item.value).inspect_err(invalid).ok()
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (wire, rest) = postcard::take_from_bytes(bytes)?;
        let queue = || match rest {
            [] => Ok(None),
            rest => postcard::from_bytes(rest).map(Some),
        };
        Ok(match wire {
            SubmissionWire::Job(spec) => Self::Job(spec.into_owned()),
            SubmissionWire::Tombstone => Self::Tombstone { queue: queue()? },
            SubmissionWire::Accepted(job) => Self::Accepted(job.into_owned()),
            SubmissionWire::Ended(phase) => Self::Ended {
                phase,
                queue: queue()?,
            },
        })
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, Rejection> {
        self.try_encode().map_err(|err| Rejection::Invalid {
            reason: err.to_string(),
        })
    }

    fn try_encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let (wire, queue) = match self {
            Self::Job(spec) => (SubmissionWire::Job(Cow::Borrowed(spec)), None),
            Self::Tombstone { queue } => (SubmissionWire::Tombstone, queue.as_ref()),
            Self::Accepted(job) => (SubmissionWire::Accepted(Cow::Borrowed(job)), None),
            Self::Ended { phase, queue } => (SubmissionWire::Ended(*phase), queue.as_ref()),
        };
        let mut bytes = postcard::to_stdvec(&wire)?;
        if let Some(queue) = queue {
            bytes.extend(postcard::to_stdvec(queue)?);
        }
        Ok(bytes)
    }

    /// The accepted job, with the id that its key tells; `None` for a tombstone and a job that has
    /// ended.
    pub(crate) fn into_job(self, id: JobId) -> Option<AcceptedJob> {
        match self {
            Self::Accepted(job) => Some(job.with_id(id)),
            Self::Job(spec) => Some(AcceptedJob { spec, queue: None }.with_id(id)),
            Self::Tombstone { .. } | Self::Ended { .. } => None,
        }
    }

    /// Name of the queue of the job; `None` if it is not known.
    pub(crate) fn queue(&self) -> Option<&str> {
        match self {
            Self::Job(spec) => Some(&spec.queue),
            Self::Accepted(job) => Some(&job.spec.queue),
            Self::Tombstone { queue } | Self::Ended { queue, .. } => queue.as_deref(),
        }
    }
}
