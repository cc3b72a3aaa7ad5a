use std::{fmt, time::Duration};

/// A part of an owner's work that it does without a pause, in which nothing else of the process
/// happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    /// Opens due occurrences and settles runs that have lapsed or were not answered.
    Settle,
    /// Places ready tasks.
    Place,
    /// Assigns the runners to relays.
    Assign,
    /// Passes orders on to the relays.
    Order,
    /// Handles news from a relay.
    News,
    /// Makes records of changed jobs.
    Record,
    /// Handles that records are written.
    Written,
    /// Describes the load and stalled tasks.
    Describe,
}

impl Part {
    const ALL: [Self; 8] = [
        Self::Settle,
        Self::Place,
        Self::Assign,
        Self::Order,
        Self::News,
        Self::Record,
        Self::Written,
        Self::Describe,
    ];

    /// Name used in log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Settle => "settle",
            Self::Place => "place",
            Self::Assign => "assign",
            Self::Order => "order",
            Self::News => "news",
            Self::Record => "record",
            Self::Written => "written",
            Self::Describe => "describe",
        }
    }
}

/// What an owner did in an interval.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Activity {
    rounds: u32,
    longest_round: Duration,
    /// The longest duration of each [`Part`].
    longest_parts: [Duration; Part::ALL.len()],
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

    pub(super) fn add_part(&mut self, part: Part, duration: Duration) {
        let longest = &mut self.longest_parts[part as usize];
        *longest = duration.max(*longest);
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
        )?;
        for part in Part::ALL {
            let longest = self.longest_parts[part as usize];
            write!(out, " longest_{}_ms={}", part.name(), longest.as_millis())?;
        }
        Ok(())
    }
}
