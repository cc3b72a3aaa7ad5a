use super::{CancelError, CancelOutcome, Core, Submission, SubmitError, SubmitOutcome};
use crate::{Entry, JobEvent, JobState, Seq, Step};
use persimmon_chart::Label;
use persimmon_place::WorkKind;

impl Core {
    /// Accepts a submission, to be acknowledged once the entry in the outcome is in the store.
    pub fn submit(
        &mut self,
        submission: Submission,
        now_unix_ms: u64,
    ) -> Result<SubmitOutcome, SubmitError> {
        if let Some(job) = self.jobs.try_find_key(&submission.key) {
            // The deadline may differ, since a retry may compute a relative deadline anew.
            if job.class != submission.class.name {
                return Err(SubmitError::KeyReused {
                    key: submission.key,
                });
            }
            let number = job.number;
            return Ok(SubmitOutcome {
                number,
                seq: self.latest_seq(number),
                repeated: true,
            });
        }
        self.validate_submission(&submission, now_unix_ms)?;
        let number = self.jobs.last_number() + 1;
        let class = submission.class;
        let seq = self.append(Entry::Submit {
            number,
            key: submission.key,
            class: class.name,
            team: class.team,
            size: class.size,
            run_time: class.run_time,
            rerun: class.rerun,
            attempts_max: class.attempts_max,
            urgent: class.urgent,
            deadline_unix_ms: submission.deadline_unix_ms,
            at_unix_ms: now_unix_ms,
        });
        self.record_arrival(number, now_unix_ms);
        Ok(SubmitOutcome {
            number,
            seq,
            repeated: false,
        })
    }

    /// Assigns a key to another shard, to be announced once the returned entry is in the store.
    ///
    /// Returns the shard that the key is assigned to: an earlier assignment takes precedence.
    pub fn assign(&mut self, key: &str, shard: u16, now_unix_ms: u64) -> (u16, Seq) {
        if let Some(assigned_shard) = self.jobs.try_find_assigned(key) {
            // The earlier entry may still be uncommitted; waiting for the last entry covers it.
            return (assigned_shard, self.last_seq);
        }
        let entry = Entry::Assign {
            key: key.to_owned(),
            shard,
            at_unix_ms: now_unix_ms,
        };
        (shard, self.append(entry))
    }

    /// Cancels a job, to be acknowledged once the entry in the outcome is in the store.
    pub fn cancel(&mut self, number: u64, now_unix_ms: u64) -> Result<CancelOutcome, CancelError> {
        let job = self.jobs.try_find(number).ok_or(CancelError::Unknown)?;
        if job.is_ended() && job.state != JobState::Cancelled {
            return Err(CancelError::Ended {
                state: job.state.label(),
            });
        }
        let may_have_run = job.attempt > 0;
        let already_cancelled = matches!(job.state, JobState::Cancelled | JobState::Cancelling);
        let seq = if already_cancelled {
            self.latest_seq(number)
        } else {
            self.append_step(number, JobEvent::Cancel, now_unix_ms, None, false)
        };
        let state = self
            .jobs
            .try_find(number)
            .map_or(JobState::Cancelled, |job| job.state);
        Ok(CancelOutcome {
            seq,
            state,
            may_have_run,
        })
    }

    /// Requests that a running task be stopped with a checkpoint and queued again. Returns whether
    /// this is a new request for a placed job.
    pub fn request_eviction(&mut self, number: u64) -> bool {
        let placed = self
            .jobs
            .try_find(number)
            .is_some_and(|job| job.state == JobState::Placed);
        placed && self.eviction_requests.insert(number)
    }

    /// Requests that a running task be limited to `percent` of its claim. Returns whether this
    /// changes the request for a placed job.
    pub fn request_throttle(&mut self, number: u64, percent: u32) -> bool {
        let placed = self
            .jobs
            .try_find(number)
            .is_some_and(|job| job.state == JobState::Placed);
        placed && self.throttle_requests.insert(number, percent) != Some(percent)
    }

    pub(super) fn append_step(
        &mut self,
        number: u64,
        event: JobEvent,
        at_unix_ms: u64,
        checkpoint: Option<String>,
        counts: bool,
    ) -> Seq {
        self.append(Entry::Step(Step {
            number,
            event,
            at_unix_ms,
            worker: None,
            checkpoint,
            counts,
        }))
    }

    fn latest_seq(&self, number: u64) -> Seq {
        self.uncommitted
            .get(&number)
            .copied()
            .unwrap_or(self.committed)
    }

    fn validate_submission(
        &self,
        submission: &Submission,
        now_unix_ms: u64,
    ) -> Result<(), SubmitError> {
        let wanted = submission.class.size;
        if !self.ledger.can_ever_hold(WorkKind::Batch, wanted) {
            return Err(SubmitError::NeverFits { wanted });
        }
        if let Some(quota) = self.team_quotas.get(&submission.class.team).copied() {
            if !wanted.fits(quota) {
                return Err(SubmitError::OverQuota { wanted, quota });
            }
        }
        let needed_ms = submission.class.run_time.as_millis() as u64;
        let left_ms = submission.deadline_unix_ms.saturating_sub(now_unix_ms);
        if needed_ms > left_ms {
            return Err(SubmitError::TooLate { needed_ms, left_ms });
        }
        Ok(())
    }
}
