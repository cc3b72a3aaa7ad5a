use crate::context::Context;
use persimmon_wire::api::Readiness;
use std::time::Duration;

/// News is counted for this many intervals.
const NEWS_AGE_INTERVALS: u32 = 3;

/// Whether this daemon may take new work.
pub(crate) fn readiness(context: &Context) -> Readiness {
    let reason = if context.is_draining() {
        Some("draining")
    } else if context.config.lock().number() == 0 {
        Some("no configuration yet, neither from the store nor from a peer")
    } else if !is_fresh(context) {
        Some("cut off from the store and from word of it; the configuration may be old")
    } else {
        None
    };
    Readiness {
        ready: reason.is_none(),
        reason: reason.map(str::to_owned),
    }
}

/// Whether no newer configuration can have been in force for long.
///
/// True with word from the store, or of a peer that has it and knows no newer one, or when most
/// members say that they have none either: then nobody can accept a ticket.
fn is_fresh(context: &Context) -> bool {
    let bound_ms = context.settings.config_freshness_limit.as_millis() as u64;
    if context.store_contact_age_ms() <= bound_ms {
        return true;
    }
    let number = context.config.lock().number();
    let age_max = news_age_max(context);
    let members = context.members.lock().iter().count();
    let peers = context.peers.lock();
    let heard: Vec<_> = peers.iter(context.now(), age_max).collect();
    if heard.iter().any(|news| news.config_number > number) {
        return false;
    }
    let through_peer = heard
        .iter()
        .any(|news| news.store_contact_age_ms <= bound_ms);
    through_peer || (heard.len() + 1) * 2 > members
}

fn news_age_max(context: &Context) -> Duration {
    (context.settings.gossip_interval * NEWS_AGE_INTERVALS).max(Duration::from_secs(1))
}
