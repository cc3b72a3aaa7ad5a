use persimmon_ticket::{accept::EarlierAttempt, Config, Ticket, TicketWire};
use persimmon_wire::{api::TicketView, store::VALUE_MAX_BYTES};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The configuration's key in the store.
pub(crate) const CONFIG_KEY: &str = "meta/config/head";
/// The number of tickets in the tail beyond which they are folded into the base.
const TAIL_TICKETS_MAX: usize = 64;
/// The record's size beyond which the tail is folded into the base.
const RECORD_FOLD_BYTES: usize = 256 * 1024;

/// The configuration as stored: a snapshot and the tickets accepted since.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigRecord {
    /// A snapshot of the configuration before `tail`, as one ticket; `None` until the first fold.
    base: Option<TicketView>,
    /// The tickets accepted since the snapshot, oldest first.
    tail: Vec<TicketView>,
}

/// An error reading or extending the configuration record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    #[error("config head: {0}")]
    Malformed(String),
    #[error(transparent)]
    Refused(#[from] persimmon_ticket::accept::Error),
    #[error("ticket: the configuration would be {bytes} bytes, and {VALUE_MAX_BYTES} are allowed")]
    TooLarge { bytes: usize },
}

impl ConfigRecord {
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|err| Error::Malformed(err.to_string()))
    }

    /// Replays the tickets of the record.
    pub(crate) fn replay(&self) -> Result<Config, Error> {
        let ticket = |view: &TicketView| {
            Ticket::try_from(view.ticket.clone()).map_err(|err| Error::Malformed(err.to_string()))
        };
        let mut config = match &self.base {
            Some(base) => Config::from_snapshot(&ticket(base)?, base.digest.clone()),
            None => Config::default(),
        };
        for view in &self.tail {
            config.accept(&ticket(view)?)?;
        }
        Ok(config)
    }

    /// Returns the record with `ticket` appended, and its encoding. Fails if the ticket does not
    /// follow the newest one, or if the encoding is too large for the store.
    pub(crate) fn append(&self, ticket: &Ticket) -> Result<(Self, String), Error> {
        let mut config = self.replay()?;
        config.accept(ticket)?;
        let digest = config.digest().to_owned();
        let mut next = self.clone();
        next.tail.push(TicketView {
            digest: digest.clone(),
            ticket: TicketWire::from(ticket),
        });
        let mut encoded = next.encode();
        if next.tail.len() > TAIL_TICKETS_MAX || encoded.len() > RECORD_FOLD_BYTES {
            let base = TicketView {
                digest,
                ticket: config.snapshot(),
            };
            next = Self {
                base: Some(base),
                tail: Vec::new(),
            };
            encoded = next.encode();
        }
        if encoded.len() > VALUE_MAX_BYTES {
            return Err(Error::TooLarge {
                bytes: encoded.len(),
            });
        }
        Ok((next, encoded))
    }

    /// Returns what became of an earlier attempt to write `ticket` whose answer was lost.
    pub(crate) fn earlier_attempt(&self, ticket: &Ticket) -> EarlierAttempt {
        fn known(view: &TicketView) -> (u64, &str) {
            (view.ticket.number, view.digest.as_str())
        }
        let snapshot = self.base.as_ref().map_or((0, ""), known);
        persimmon_ticket::accept::earlier_attempt(ticket, snapshot, self.tail.iter().map(known))
    }

    /// The tickets accepted since the snapshot.
    pub(crate) fn recent_tickets(&self) -> &[TicketView] {
        &self.tail
    }

    fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The configuration in force at this daemon; its number never decreases.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    config: Arc<Config>,
    record: Arc<ConfigRecord>,
    encoded: Option<String>,
}

impl ActiveConfig {
    /// Adopts an encoded record if it is newer, and returns whether it was.
    pub(crate) fn adopt(&mut self, encoded: &str) -> Result<bool, Error> {
        let record = ConfigRecord::parse(encoded)?;
        let config = record.replay()?;
        if config.number() <= self.config.number() {
            return Ok(false);
        }
        *self = Self {
            config: Arc::new(config),
            record: Arc::new(record),
            encoded: Some(encoded.to_owned()),
        };
        Ok(true)
    }

    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    pub(crate) fn record(&self) -> Arc<ConfigRecord> {
        Arc::clone(&self.record)
    }

    /// The record in force as the store holds it; `None` before the first one.
    pub(crate) fn encoded(&self) -> Option<String> {
        self.encoded.clone()
    }

    pub(crate) fn number(&self) -> u64 {
        self.config.number()
    }
}
