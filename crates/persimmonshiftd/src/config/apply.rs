//! Acceptance of tickets by a compare-and-swap of the configuration record.

use super::{adopt, record, ConfigRecord, CONFIG_KEY};
use crate::{
    context::Context,
    message::{PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use persimmon_store::{CasOutcome, Effect, Store};
use persimmon_ticket::{
    accept::{self, EarlierAttempt},
    Ticket,
};
use persimmon_wire::{api::TicketAnswer, store::CasRequest};
use std::{collections::BTreeSet, time::Duration};

/// Attempts at the compare-and-swap, which fail on concurrent tickets and on store failures.
const ATTEMPTS_MAX: u32 = 8;
/// The delay between two attempts at the compare-and-swap, or at reaching members.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long to wait for all members to confirm that the ticket is in force.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);
const MEMBER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a ticket was not accepted, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The ticket or the stored record is invalid; the ticket was not accepted.
    #[error(transparent)]
    Refused(#[from] record::Error),
    /// The ticket was not written, because each attempt failed at the store or lost against a
    /// concurrent ticket.
    #[error("ticket {number}: not accepted: {reason}")]
    NotAccepted { number: u64, reason: String },
    /// The ticket may have been written. Applying the same ticket again shows whether it was.
    #[error("ticket {number}: may be accepted, apply the same ticket again to learn: {reason}")]
    Unsettled { number: u64, reason: String },
    /// The ticket may have been written, and so many tickets followed that the record no longer
    /// shows it.
    #[error(
        "ticket {number}: may have been accepted, later tickets were folded into a snapshot: compare \
         the configuration in force"
    )]
    Folded { number: u64 },
}

/// Accepts `ticket`, then waits up to [`PROPAGATION_TIMEOUT`] for all members to put it in force.
pub(crate) async fn apply(context: &Context, ticket: &Ticket) -> Result<TicketAnswer, Error> {
    let repeated = write_ticket(context, ticket).await?;
    let waiting_for = propagate(context, ticket.number).await;
    Ok(TicketAnswer {
        number: ticket.number,
        digest: accept::digest(ticket),
        repeated,
        in_force: waiting_for.is_empty(),
        waiting_for,
    })
}

/// Writes the ticket unless it was accepted before, and returns whether it was.
async fn write_ticket(context: &Context, ticket: &Ticket) -> Result<bool, Error> {
    let number = ticket.number;
    let mut in_doubt = false;
    let mut reason = String::new();
    for _ in 0..ATTEMPTS_MAX {
        match try_write_ticket(context, ticket, in_doubt).await {
            Ok(Some(repeated)) => return Ok(repeated),
            Ok(None) => {}
            Err(AttemptError::Refused(err)) => return Err(err.into()),
            Err(AttemptError::Folded) => return Err(Error::Folded { number }),
            Err(AttemptError::Store(err)) => {
                in_doubt |= err.step == "cas" && err.effect == Effect::Unknown;
                reason = err.to_string();
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    if in_doubt {
        return Err(Error::Unsettled { number, reason });
    }
    Err(Error::NotAccepted { number, reason })
}

enum AttemptError {
    Refused(record::Error),
    /// It is not known whether an earlier attempt wrote the ticket.
    Folded,
    Store(persimmon_store::Error),
}

/// Makes one attempt to read and swap the record.
///
/// Returns whether the ticket was accepted before, or `None` if the swap lost against another one.
/// `in_doubt` is set if an earlier attempt may have written the ticket.
async fn try_write_ticket(
    context: &Context,
    ticket: &Ticket,
    in_doubt: bool,
) -> Result<Option<bool>, AttemptError> {
    let entry = context
        .store
        .get(CONFIG_KEY)
        .await
        .map_err(AttemptError::Store)?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let encoded = entry.and_then(|entry| entry.value);
    let record = match &encoded {
        Some(encoded) => ConfigRecord::parse(encoded).map_err(AttemptError::Refused)?,
        None => ConfigRecord::default(),
    };
    let mut config = record.replay().map_err(AttemptError::Refused)?;
    // A later ticket may already follow the one that this call wrote, so look for it among all
    // tickets since the snapshot.
    let earlier = in_doubt.then(|| record.earlier_attempt(ticket));
    let outcome = match earlier {
        Some(EarlierAttempt::Accepted) => Ok(accept::Outcome::Repeated),
        Some(EarlierAttempt::Unknown) => return Err(AttemptError::Folded),
        Some(EarlierAttempt::NotAccepted) | None => config.accept(ticket),
    };
    match outcome.map_err(|err| AttemptError::Refused(err.into()))? {
        accept::Outcome::Repeated => {
            adopt(context, &encoded.unwrap_or_default(), "store");
            // A ticket found after a write in doubt was written by this call and is no repeat.
            return Ok(Some(!in_doubt));
        }
        accept::Outcome::Accepted => {}
    }
    let (_, next) = record.append(ticket).map_err(AttemptError::Refused)?;
    let cas = CasRequest {
        key: CONFIG_KEY.to_owned(),
        expected_revision: revision,
        value: Some(next.clone()),
        lease: None,
    };
    match context.store.cas(&cas).await.map_err(AttemptError::Store)? {
        CasOutcome::Written { .. } => {
            adopt(context, &next, "store");
            Ok(Some(false))
        }
        CasOutcome::Conflict { .. } => Ok(None),
    }
}

/// Sends the configuration to all members, and returns those that did not confirm it in time.
async fn propagate(context: &Context, number: u64) -> Vec<String> {
    let deadline = context.now() + PROPAGATION_TIMEOUT;
    let mut confirmed: BTreeSet<String> = BTreeSet::new();
    loop {
        let encoded = context.config.lock().encoded().unwrap_or_default();
        let members = context.members.lock().others(&context.settings.member_id);
        let unconfirmed: Vec<_> = members
            .into_iter()
            .filter(|it| !confirmed.contains(&it.id))
            .collect();
        if unconfirmed.is_empty() {
            return Vec::new();
        }
        let message = PeerRequest::Config { record: encoded };
        let calls = unconfirmed.iter().map(|member| async {
            let answer = context
                .mesh
                .call(member.mesh_address, &message, MEMBER_CALL_TIMEOUT)
                .await;
            let confirms =
                matches!(answer, Ok(PeerResponse::ConfigNumber(adopted)) if adopted >= number);
            confirms.then(|| member.id.clone())
        });
        confirmed.extend(join_all(calls).await.into_iter().flatten());
        let remaining: Vec<String> = unconfirmed
            .into_iter()
            .map(|it| it.id)
            .filter(|id| !confirmed.contains(id))
            .collect();
        if remaining.is_empty() || context.now() >= deadline {
            return remaining;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
