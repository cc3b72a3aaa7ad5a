use std::{fmt, time::Duration};

/// What an owner did in an interval.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Activity {
    rounds: u32,
    longest_round: Duration,
    pub(super) polls_answered: u32,
    pub(super) polls_failed: u32,
    records: u32,
    record_bytes: usize,
    slowest_write: Duration,
}

impl Activity {
    pub(super) fn add_round(&mut self, duration: Duration) {
        self.rounds += 1;
        self.longest_round = self.longest_round.max(duration);
    }

    /// Counts a transaction with records that was answered after `duration`.
    pub(super) fn add_write(&mut self, records: usize, bytes: usize, duration: Duration) {
        self.records += records as u32;
        self.record_bytes += bytes;
        self.slowest_write = self.slowest_write.max(duration);
    }
}

impl fmt::Display for Activity {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "rounds={} longest_round_ms={} polls_answered={} polls_failed={} \
             records={} record_bytes={} slowest_write_ms={}",
            self.rounds,
            self.longest_round.as_millis(),
            self.polls_answered,
            self.polls_failed,
            self.records,
            self.record_bytes,
            self.slowest_write.as_millis()
        )
    }
}
