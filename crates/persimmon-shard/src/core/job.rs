use super::{CancelError, CancelOutcome, Core, Submission, SubmitError, SubmitOutcome};
use crate::{Entry, JobEvent, JobState, Seq, Step};
use persimmon_chart::Label;
use persimmon_place::WorkKind;

impl Core {
    /// Takes a submission, to be acknowledged once the outcome's entry is in the store.
    pub fn submit(
        &mut self,
        submission: Submission,
        now_unix_ms: u64,
    ) -> Result<SubmitOutcome, SubmitError> {
        if let Some(job) = self.jobs.try_find_key(&submission.key) {
            // The deadline may differ: callers that give it from now on repeat it later.
            if job.class != submission.class.name {
                return Err(SubmitError::KeyReused {
                    key: submission.key,
                });
            }
            let number = job.number;
            return Ok(SubmitOutcome {
                number,
                seq: self.newest_seq(number),
                repeated: true,
            });
        }
        self.check_submission(&submission, now_unix_ms)?;
        let number = self.jobs.last_number() + 1;
        let class = submission.class;
        let seq = self.push(Entry::Submit {
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
        self.learn_arrival(number, now_unix_ms);
        Ok(SubmitOutcome {
            number,
            seq,
            repeated: false,
        })
    }

    /// Sends a key to another shard, to be told once the entry is in the store; the shard that the
    /// key was sent to, which may be an earlier choice.
    pub fn assign(&mut self, key: &str, shard: u16, now_unix_ms: u64) -> (u16, Seq) {
        if let Some(earlier) = self.jobs.try_find_assigned(key) {
            // Earlier entries may still be in doubt; the newest of all covers them.
            return (earlier, self.last_seq);
        }
        let entry = Entry::Assign {
            key: key.to_owned(),
            shard,
            at_unix_ms: now_unix_ms,
        };
        (shard, self.push(entry))
    }

    /// Cancels a job, to be acknowledged once the outcome's entry is in the store.
    pub fn cancel(&mut self, number: u64, now_unix_ms: u64) -> Result<CancelOutcome, CancelError> {
        let job = self.jobs.try_find(number).ok_or(CancelError::Unknown)?;
        if job.is_ended() && job.state != JobState::Cancelled {
            return Err(CancelError::Ended {
                state: job.state.label(),
            });
        }
        let may_have_run = job.attempt > 0;
        let again = matches!(job.state, JobState::Cancelled | JobState::Cancelling);
        let seq = if again {
            self.newest_seq(number)
        } else {
            self.step(number, JobEvent::Cancel, now_unix_ms, None, false)
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

    /// Asks for a running task to be stopped with a checkpoint and queued again.
    pub fn evict(&mut self, number: u64) -> bool {
        let placed = self
            .jobs
            .try_find(number)
            .is_some_and(|job| job.state == JobState::Placed);
        placed && self.evict_wanted.insert(number)
    }

    /// Asks for a running task to be limited to `percent` of its claim.
    pub fn throttle(&mut self, number: u64, percent: u32) -> bool {
        let placed = self
            .jobs
            .try_find(number)
            .is_some_and(|job| job.state == JobState::Placed);
        placed && self.throttle_wanted.insert(number, percent) != Some(percent)
    }

    pub(super) fn step(
        &mut self,
        number: u64,
        event: JobEvent,
        at_unix_ms: u64,
        checkpoint: Option<String>,
        counts: bool,
    ) -> Seq {
        self.push(Entry::Step(Step {
            number,
            event,
            at_unix_ms,
            worker: None,
            checkpoint,
            counts,
        }))
    }

    fn newest_seq(&self, number: u64) -> Seq {
        self.uncommitted
            .get(&number)
            .copied()
            .unwrap_or(self.committed)
    }

    fn check_submission(
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
