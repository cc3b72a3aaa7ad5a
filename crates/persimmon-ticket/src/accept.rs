//! Companions of [`Config::accept()`]: the rule by which one ticket follows another.
use crate::{Config, Object, ObjectKind, Ticket, TicketWire};
use sha2::{Digest as _, Sha256};

/// How a ticket stands to the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was new and is now part of the configuration.
    Accepted,
    /// It is the newest ticket already, so a repeat after a lost answer changes nothing.
    Repeated,
}

/// Why a ticket is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another ticket took the number.
    #[error("ticket {number}: another ticket has this number, with digest {winner_digest}")]
    NumberTaken {
        /// The number that both carry.
        number: u64,
        /// The digest of the one accepted.
        winner_digest: String,
    },
    /// The number is below the newest one.
    #[error("ticket {number}: stale, the newest number is {newest}")]
    Stale {
        /// The number refused.
        number: u64,
        /// The newest number accepted.
        newest: u64,
    },
    /// The ticket removes or refers to something that does not exist.
    #[error("ticket {number}: unknown {kind} {name:?}")]
    Unknown {
        /// The number refused.
        number: u64,
        /// The kind of the missing object.
        kind: &'static str,
        /// Its name.
        name: String,
    },
}

/// The SHA-256 of a ticket's canonical form, in hexadecimal.
pub fn digest(ticket: &Ticket) -> String {
    // The wire type has a fixed field order, so its JSON is canonical.
    let json = serde_json::to_vec(&TicketWire::from(ticket)).unwrap_or_default();
    Sha256::digest(&json)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

impl Config {
    /// Adds `ticket` if it may follow; otherwise leaves `self` as it was.
    pub fn accept(&mut self, ticket: &Ticket) -> Result<Outcome, Error> {
        let digest = digest(ticket);
        let number = ticket.number;
        if number == self.number {
            if digest == self.digest {
                return Ok(Outcome::Repeated);
            }
            return Err(Error::NumberTaken {
                number,
                winner_digest: self.digest.clone(),
            });
        }
        if number < self.number {
            return Err(Error::Stale {
                number,
                newest: self.number,
            });
        }
        let mut next = self.clone();
        if let Some(missing) = ticket.removals.iter().find(|object| !self.contains(object)) {
            return Err(unknown(number, missing));
        }
        next.apply(ticket, digest);
        next.check_references(number)?;
        *self = next;
        Ok(Outcome::Accepted)
    }

    fn check_references(&self, number: u64) -> Result<(), Error> {
        for class in self.batch_classes.values() {
            if !self.teams.contains_key(&class.team) {
                let team = Object {
                    kind: ObjectKind::Team,
                    name: class.team.clone(),
                };
                return Err(unknown(number, &team));
            }
        }
        Ok(())
    }
}

fn unknown(number: u64, object: &Object) -> Error {
    Error::Unknown {
        number,
        kind: object.kind.as_str(),
        name: object.name.clone(),
    }
}
