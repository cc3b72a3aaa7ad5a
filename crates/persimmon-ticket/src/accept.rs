//! The digest of a ticket, and the outcome and errors of [`Config::accept()`].
use crate::{Config, Object, ObjectKind, Ticket, TicketWire};
use sha2::{Digest as _, Sha256};

/// The outcome of accepting a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The ticket was new and has been applied.
    Accepted,
    /// The ticket is already the newest one, for example when it is resubmitted after a lost
    /// response; nothing changed.
    Repeated,
}

/// The reason for which a ticket is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another ticket with the same number was accepted.
    #[error("ticket {number}: another ticket has this number, with digest {winner_digest}")]
    NumberTaken {
        /// The number of both tickets.
        number: u64,
        /// The digest of the accepted ticket.
        winner_digest: String,
    },
    /// The ticket number is lower than the newest accepted one.
    #[error("ticket {number}: stale, the newest number is {newest}")]
    Stale {
        /// The number of the rejected ticket.
        number: u64,
        /// The newest accepted number.
        newest: u64,
    },
    /// The ticket removes or refers to an object that does not exist.
    #[error("ticket {number}: unknown {kind} {name:?}")]
    Unknown {
        /// The number of the rejected ticket.
        number: u64,
        /// The kind of the missing object.
        kind: &'static str,
        /// The name of the missing object.
        name: String,
    },
}

/// What became of an earlier attempt to write a ticket whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EarlierAttempt {
    /// The ticket was accepted.
    Accepted,
    /// The ticket was not accepted; the record shows no trace of it.
    NotAccepted,
    /// Later tickets were folded into a snapshot, which does not tell which ones it contains.
    Unknown,
}

/// Returns what the record shows of an earlier attempt to write `ticket`.
///
/// Tickets are given by number and digest: the newest one in the snapshot, with number 0 if there is
/// no snapshot, and those accepted since.
pub fn earlier_attempt<'a>(
    ticket: &Ticket,
    newest_in_snapshot: (u64, &'a str),
    recent: impl IntoIterator<Item = (u64, &'a str)>,
) -> EarlierAttempt {
    let digest = digest(ticket);
    let wanted = (ticket.number, digest.as_str());
    if newest_in_snapshot == wanted || recent.into_iter().any(|known| known == wanted) {
        return EarlierAttempt::Accepted;
    }
    if ticket.number < newest_in_snapshot.0 {
        return EarlierAttempt::Unknown;
    }
    EarlierAttempt::NotAccepted
}

/// Returns the SHA-256 digest of a ticket's canonical form, in hexadecimal.
pub fn digest(ticket: &Ticket) -> String {
    // The wire type has a fixed field order, so its JSON is canonical. Serialization can't fail,
    // since the type consists of structs, lists, enums and scalars, without maps.
    let json = serde_json::to_vec(&TicketWire::from(ticket)).unwrap_or_default();
    Sha256::digest(&json)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

impl Config {
    /// Applies `ticket` if it is valid as the successor of the newest ticket; otherwise leaves
    /// `self` unchanged.
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
        let mut updated = self.clone();
        if let Some(missing) = ticket.removals.iter().find(|object| !self.contains(object)) {
            return Err(unknown_object(number, missing));
        }
        updated.apply(ticket, digest);
        updated.check_references(number)?;
        *self = updated;
        Ok(Outcome::Accepted)
    }

    fn check_references(&self, number: u64) -> Result<(), Error> {
        for class in self.batch_classes.values() {
            if !self.teams.contains_key(&class.team) {
                let team = Object {
                    kind: ObjectKind::Team,
                    name: class.team.clone(),
                };
                return Err(unknown_object(number, &team));
            }
        }
        Ok(())
    }
}

fn unknown_object(number: u64, object: &Object) -> Error {
    Error::Unknown {
        number,
        kind: object.kind.as_str(),
        name: object.name.clone(),
    }
}
