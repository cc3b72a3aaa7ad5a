//! Acceptance of a ticket: one compare-and-swap on the configuration's record.

use super::{adopt, head, HeadWire, HEAD_KEY};
use crate::{
    context::Context,
    message::{PeerRequest, PeerResponse},
};
use futures_util::future::join_all;
use persimmon_store::{CasOutcome, Effect, Store};
use persimmon_ticket::{accept, Ticket};
use persimmon_wire::{api::TicketAnswer, store::CasRequest};
use std::{collections::BTreeSet, time::Duration};

/// Tries to settle a ticket against other operators and a faulty store.
const TRIES_MAX: u32 = 8;
/// The pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// How long members are asked whether they have the ticket in force.
const IN_FORCE_WAIT: Duration = Duration::from_secs(6);
const MEMBER_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a ticket was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The ticket itself is at fault; it was not accepted.
    #[error(transparent)]
    Refused(#[from] head::Error),
    /// Nothing was written.
    #[error("ticket {number}: not accepted: {reason}")]
    NotAccepted { number: u64, reason: String },
    /// It may have been written; applying the same ticket again settles it.
    #[error("ticket {number}: may be accepted, apply the same ticket again to learn: {reason}")]
    Unsettled { number: u64, reason: String },
}

/// Accepts `ticket` and waits, for a while, until all members have it in force.
pub(crate) async fn apply(context: &Context, ticket: &Ticket) -> Result<TicketAnswer, Error> {
    let repeated = accept(context, ticket).await?;
    let waiting_for = spread(context, ticket.number).await;
    Ok(TicketAnswer {
        number: ticket.number,
        digest: accept::digest(ticket),
        repeated,
        in_force: waiting_for.is_empty(),
        waiting_for,
    })
}

/// Writes the ticket unless it is the newest already; tells whether it was.
async fn accept(context: &Context, ticket: &Ticket) -> Result<bool, Error> {
    let number = ticket.number;
    let mut in_doubt = false;
    let mut reason = String::new();
    for _ in 0..TRIES_MAX {
        match try_accept(context, ticket, in_doubt).await {
            Ok(Some(repeated)) => return Ok(repeated),
            Ok(None) => {}
            Err(Failure::Refused(err)) => return Err(err.into()),
            Err(Failure::Store(err)) => {
                in_doubt |= err.step == "cas" && err.effect == Effect::Unknown;
                reason = err.to_string();
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    if in_doubt {
        return Err(Error::Unsettled { number, reason });
    }
    Err(Error::NotAccepted { number, reason })
}

enum Failure {
    Refused(head::Error),
    Store(persimmon_store::Error),
}

/// One try: reads the record and swaps it. `None` asks for another try.
async fn try_accept(
    context: &Context,
    ticket: &Ticket,
    in_doubt: bool,
) -> Result<Option<bool>, Failure> {
    let entry = context.store.get(HEAD_KEY).await.map_err(Failure::Store)?;
    let revision = entry.as_ref().map_or(0, |entry| entry.revision);
    let text = entry.and_then(|entry| entry.value);
    let head = match &text {
        Some(text) => HeadWire::parse(text).map_err(Failure::Refused)?,
        None => HeadWire::default(),
    };
    let mut config = head.fold().map_err(Failure::Refused)?;
    let digest = accept::digest(ticket);
    // A later ticket may have followed ours before its lost answer was settled.
    let follows = head
        .recent()
        .iter()
        .any(|it| it.digest == digest && it.ticket.number == ticket.number);
    let outcome = if in_doubt && follows {
        Ok(accept::Outcome::Repeated)
    } else {
        config.accept(ticket)
    };
    match outcome.map_err(|err| Failure::Refused(err.into()))? {
        accept::Outcome::Repeated => {
            adopt(context, &text.unwrap_or_default(), "store");
            // A write in doubt that is found there is this call's own.
            return Ok(Some(!in_doubt));
        }
        accept::Outcome::Accepted => {}
    }
    let (_, next) = head.extend(ticket).map_err(Failure::Refused)?;
    let cas = CasRequest {
        key: HEAD_KEY.to_owned(),
        expected_revision: revision,
        value: Some(next.clone()),
        lease: None,
    };
    match context.store.cas(&cas).await.map_err(Failure::Store)? {
        CasOutcome::Written { .. } => {
            adopt(context, &next, "store");
            Ok(Some(false))
        }
        CasOutcome::Conflict { .. } => Ok(None),
    }
}

/// Sends the configuration to all members; those that have not confirmed it in time.
async fn spread(context: &Context, number: u64) -> Vec<String> {
    let until = context.now() + IN_FORCE_WAIT;
    let mut confirmed: BTreeSet<String> = BTreeSet::new();
    loop {
        let text = context.config.lock().encoded().unwrap_or_default();
        let members = context.members.lock().others(&context.settings.member_id);
        let open: Vec<_> = members
            .into_iter()
            .filter(|it| !confirmed.contains(&it.id))
            .collect();
        if open.is_empty() {
            return Vec::new();
        }
        let message = PeerRequest::Config { head: text };
        let calls = open.iter().map(|member| async {
            let answer = context
                .mesh
                .call(member.mesh_address, &message, MEMBER_TIMEOUT)
                .await;
            let has_it =
                matches!(answer, Ok(PeerResponse::ConfigNumber(theirs)) if theirs >= number);
            has_it.then(|| member.id.clone())
        });
        confirmed.extend(join_all(calls).await.into_iter().flatten());
        let left: Vec<String> = open
            .into_iter()
            .map(|it| it.id)
            .filter(|id| !confirmed.contains(id))
            .collect();
        if left.is_empty() || context.now() >= until {
            return left;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
