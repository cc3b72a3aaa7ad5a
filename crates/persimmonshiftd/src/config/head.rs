use persimmon_ticket::{Config, Ticket, TicketWire};
use persimmon_wire::{api::TicketView, store::VALUE_MAX_BYTES};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The key of the configuration.
pub(crate) const HEAD_KEY: &str = "meta/config/head";
/// Tickets kept before they are folded into the base.
const TAIL_MAX: usize = 64;
/// Bytes of tickets kept before they are folded into the base.
const TAIL_MAX_BYTES: usize = 256 * 1024;

/// The store's value of the configuration: a base and the tickets since.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadWire {
    /// The whole configuration before `tail`, as one ticket; `None` before the first.
    base: Option<TicketView>,
    tail: Vec<TicketView>,
}

/// The configuration can't be read or extended.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    #[error("config head: {0}")]
    Malformed(String),
    #[error(transparent)]
    Refused(#[from] persimmon_ticket::accept::Error),
    #[error("ticket: the configuration would be {bytes} bytes, and {VALUE_MAX_BYTES} are allowed")]
    TooLarge { bytes: usize },
}

impl HeadWire {
    pub(crate) fn parse(text: &str) -> Result<Self, Error> {
        serde_json::from_str(text).map_err(|err| Error::Malformed(err.to_string()))
    }

    /// What the record adds up to.
    pub(crate) fn fold(&self) -> Result<Config, Error> {
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

    /// The record with `ticket` added, which must follow; its text.
    pub(crate) fn extend(&self, ticket: &Ticket) -> Result<(Self, String), Error> {
        let mut config = self.fold()?;
        config.accept(ticket)?;
        let digest = config.digest().to_owned();
        let mut next = self.clone();
        next.tail.push(TicketView {
            digest: digest.clone(),
            ticket: TicketWire::from(ticket),
        });
        let mut text = next.text();
        if next.tail.len() > TAIL_MAX || text.len() > TAIL_MAX_BYTES {
            let base = TicketView {
                digest,
                ticket: config.snapshot(),
            };
            next = Self {
                base: Some(base),
                tail: Vec::new(),
            };
            text = next.text();
        }
        if text.len() > VALUE_MAX_BYTES {
            return Err(Error::TooLarge { bytes: text.len() });
        }
        Ok((next, text))
    }

    pub(crate) fn recent(&self) -> &[TicketView] {
        &self.tail
    }

    fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The configuration in force at this daemon; its number only rises.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    config: Arc<Config>,
    head: Arc<HeadWire>,
    text: Option<String>,
}

impl ActiveConfig {
    /// Takes over the store's value if it is newer; tells whether it was.
    pub(crate) fn adopt(&mut self, text: &str) -> Result<bool, Error> {
        let head = HeadWire::parse(text)?;
        let config = head.fold()?;
        if config.number() <= self.config.number() {
            return Ok(false);
        }
        *self = Self {
            config: Arc::new(config),
            head: Arc::new(head),
            text: Some(text.to_owned()),
        };
        Ok(true)
    }

    pub(crate) fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    pub(crate) fn head(&self) -> Arc<HeadWire> {
        Arc::clone(&self.head)
    }

    pub(crate) fn encoded(&self) -> Option<String> {
        self.text.clone()
    }

    pub(crate) fn number(&self) -> u64 {
        self.config.number()
    }
}
