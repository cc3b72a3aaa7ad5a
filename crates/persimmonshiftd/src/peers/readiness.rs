use crate::context::Context;
use persimmon_wire::api::Readiness;
use std::time::Duration;

/// The age up to which the status of a peer counts, in gossip intervals.
const STATUS_AGE_MAX_INTERVALS: u32 = 3;

/// Returns whether this daemon may accept new work, and the reason if it may not.
pub(crate) fn readiness(context: &Context) -> Readiness {
    let reason = if context.is_draining() {
        Some("draining")
    } else if context.config.lock().number() == 0 {
        Some("no configuration yet, neither from the store nor from a peer")
    } else if !is_config_fresh(context) {
        Some("cut off from the store and from word of it; the configuration may be old")
    } else {
        None
    };
    Readiness {
        ready: reason.is_none(),
        reason: reason.map(str::to_owned),
    }
}

/// Returns whether no newer configuration can have been in force for longer than the freshness
/// limit.
///
/// That is so if the store was contacted within the limit, by this daemon or by a peer that knows
/// no newer configuration. It is also taken to be so if most members, counting this one, report
/// neither such contact nor a newer configuration: the store is then presumed unreachable for all,
/// so that nobody can accept a ticket.
fn is_config_fresh(context: &Context) -> bool {
    let limit_ms = context.settings.config_freshness_limit.as_millis() as u64;
    if context.store_contact_age_ms() <= limit_ms {
        return true;
    }
    let number = context.config.lock().number();
    let age_max = status_age_max(context);
    let member_count = context.members.lock().iter().count();
    let peers = context.peers.lock();
    let recent: Vec<_> = peers.iter(context.now(), age_max).collect();
    if recent.iter().any(|status| status.config_number > number) {
        return false;
    }
    let peer_contacts_store = recent
        .iter()
        .any(|status| status.store_contact_age_ms <= limit_ms);
    peer_contacts_store || (recent.len() + 1) * 2 > member_count
}

fn status_age_max(context: &Context) -> Duration {
    (context.settings.gossip_interval * STATUS_AGE_MAX_INTERVALS).max(Duration::from_secs(1))
}
