//! Contests for groups without an owner.

use crate::{
    group::Group,
    keys::{self, GroupId},
    member::{self, Member},
    mirror::{self, Watching},
    peers,
    platform::{Change, Expected, Item, Platform, Txn, TxnOutcome, Write},
    state::{Owner, Shared},
};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

/// How often groups without an owner are looked for.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How often an owner looks whether another should have its groups.
const COMPARE_EVERY: Duration = Duration::from_millis(250);
/// Another must have much more capacity for this long: one that restarts is soon gone again.
const GIVE_WAY_AFTER: Duration = Duration::from_secs(1);
/// A process waits this long for each better candidate before it takes a group.
const STAGGER: Duration = Duration::from_millis(120);

/// A group without an owner must be seen at once; a silent connection within a session's term.
const MEMBERS: Watching = Watching {
    wait: Duration::from_millis(1_500),
    gap: Duration::ZERO,
};

/// Takes groups that have no owner and serves them, for good.
pub(crate) async fn contest<P: Platform>(shared: Rc<Shared<P>>) {
    let members = mirror::follow(&shared, keys::MEMBERS, MEMBERS, None, |change| {
        take_node(&shared, &change);
        take_owner(&shared, change);
    });
    tokio::join!(members, take_free(&shared), give_way(&shared));
}

fn take_node<P>(shared: &Shared<P>, change: &Change) {
    match change {
        Change::Put(item) if item.key.starts_with(keys::NODES) => {
            let member = Member::parse(&text(&item.value));
            let mut incarnations = shared.incarnations.borrow_mut();
            incarnations.insert(item.key.clone(), member.incarnation.clone());
            shared.members.borrow_mut().insert(item.key.clone(), member);
        }
        Change::Put(_) => {}
        Change::Gone { key, .. } => {
            shared.members.borrow_mut().remove(key);
        }
    }
}

fn take_owner<P>(shared: &Shared<P>, change: Change) {
    let (key, revision, holder) = match change {
        Change::Put(item) => {
            let name = text(&item.value);
            (item.key, item.revision, Some(name))
        }
        Change::Gone { key, revision } => (key, revision, None),
    };
    let id = key.strip_prefix(keys::OWNERS);
    let Some(group) = id.and_then(|id| id.parse().ok()).map(GroupId) else {
        return;
    };
    if let Some(it) = shared.groups.borrow().get(&group) {
        if revision > it.fence {
            it.lose("its key was taken away");
        }
    }
    let mut owners = shared.owners.borrow_mut();
    match holder {
        Some(text) => {
            let (name, address) = peers::parse_process(&text);
            let owner = Owner {
                name,
                address,
                revision,
            };
            owners.insert(group, owner);
        }
        None => {
            owners.remove(&group);
        }
    }
}

async fn take_free<P: Platform>(shared: &Rc<Shared<P>>) {
    let mut free_since: BTreeMap<GroupId, Instant> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = shared.now();
        for number in 0..shared.options.group_count {
            let group = GroupId(number);
            let is_served = shared.groups.borrow().contains_key(&group);
            if is_served || shared.draining.get() {
                free_since.remove(&group);
                continue;
            }
            if let Some((is_own, revision)) = holder(shared, group) {
                // A write whose answer was lost may make this process the owner later.
                if is_own {
                    Group::serve(Rc::clone(shared), group, revision, Vec::new());
                }
                free_since.remove(&group);
                continue;
            }
            let since = *free_since.entry(group).or_insert(now);
            let better = better_candidates(shared, group);
            let policy_is_known = shared.policy.borrow().is_some();
            if now < since + STAGGER * better || shared.store_is_silent() || !policy_is_known {
                continue;
            }
            free_since.remove(&group);
            take(shared, group).await;
        }
    }
}

/// Whether this process holds a group's key, and since which revision; `None` if nobody does.
fn holder<P>(shared: &Shared<P>, group: GroupId) -> Option<(bool, u64)> {
    let owners = shared.owners.borrow();
    let owner = owners.get(&group)?;
    Some((owner.name == own_name(shared), owner.revision))
}

/// How many groups each process owns, by the processes' keys.
fn owned<P>(shared: &Shared<P>) -> HashMap<String, u32> {
    let mut owned = HashMap::new();
    for owner in shared.owners.borrow().values() {
        let name = owner.name.rsplit_once('#').map_or("", |(name, _)| name);
        *owned.entry(keys::node(name)).or_default() += 1;
    }
    owned
}

/// The processes that should rather own a group.
fn better_candidates<P>(shared: &Shared<P>, group: GroupId) -> u32 {
    let own = keys::node(&shared.options.name);
    member::better(&shared.members.borrow(), &owned(shared), group, &own)
}

/// Gives a group away when another process could carry it much better, for good.
async fn give_way<P: Platform>(shared: &Rc<Shared<P>>) {
    let own = keys::node(&shared.options.name);
    let mut outdone_since: Option<Instant> = None;
    loop {
        tokio::time::sleep(COMPARE_EVERY).await;
        let group = shared.groups.borrow().values().next().map(Rc::clone);
        let is_outdone = || {
            !shared.store_is_silent()
                && member::should_give_way(&shared.members.borrow(), &owned(shared), &own)
        };
        let Some(group) = group.filter(|_| is_outdone()) else {
            outdone_since = None;
            continue;
        };
        let now = shared.now();
        let since = *outdone_since.get_or_insert(now);
        if now >= since + GIVE_WAY_AFTER {
            outdone_since = None;
            hand_over(shared, vec![group], "another can carry it better").await;
        }
    }
}

/// Gives groups up, so that others take them at once.
pub(crate) async fn hand_over<P: Platform>(
    shared: &Shared<P>,
    groups: Vec<Rc<Group<P>>>,
    reason: &str,
) {
    let mut txn = Txn::default();
    for group in groups {
        group.lose(reason);
        txn.expected.push(group.ownership());
        txn.remove.push(keys::owner(group.id));
    }
    if !txn.remove.is_empty() {
        if let Err(fault) = shared.platform.txn(&txn).await {
            log::warn!("event=group.hand_over fault=\"{fault}\"");
        }
    }
}

/// Owners remembered at most; each of them took over while those before were not known to have ended.
const PREDECESSORS_MAX: usize = 8;

/// The earlier owners that may still renew leases. This process has stopped when it lost the group.
fn predecessors<P>(shared: &Shared<P>, last: Option<Item>) -> Vec<String> {
    let line = last.map(|item| text(&item.value)).unwrap_or_default();
    let names = line.split(' ').filter(|name| !name.is_empty());
    let own = own_name(shared);
    let open = names.filter(|name| *name != own && !shared.was_replaced(name));
    open.take(PREDECESSORS_MAX).map(str::to_owned).collect()
}

fn line_of(own: &str, predecessors: &[String]) -> String {
    let others = predecessors.iter().map(String::as_str);
    let names: Vec<_> = std::iter::once(own).chain(others).collect();
    names.join(" ")
}

fn text(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}

fn own_name<P>(shared: &Shared<P>) -> String {
    format!("{}#{}", shared.options.name, shared.options.incarnation)
}

async fn take<P: Platform>(shared: &Rc<Shared<P>>, group: GroupId) {
    let Some(lease) = shared.lease.get() else {
        return;
    };
    let key = keys::owner(group);
    let last = match shared.platform.get(&keys::last_owner(group)).await {
        Ok(last) => predecessors(shared, last),
        Err(fault) => {
            log::debug!("event=group.last group={} fault=\"{fault}\"", group.0);
            return;
        }
    };
    let name = own_name(shared);
    let txn = Txn {
        expected: vec![Expected {
            key: key.clone(),
            revision: 0,
        }],
        writes: vec![
            Write {
                key,
                value: format!("{name} {}", shared.options.peer_address).into_bytes(),
                lease: Some(lease),
            },
            Write::lasting(keys::last_owner(group), line_of(&name, &last).into_bytes()),
        ],
        remove: Vec::new(),
    };
    match shared.platform.txn(&txn).await {
        Ok(TxnOutcome::Done { revision }) => {
            shared.store_heard();
            log::info!("event=group.take group={} fence={revision}", group.0);
            Group::serve(Rc::clone(shared), group, revision, last);
        }
        Ok(TxnOutcome::Conflict { .. } | TxnOutcome::NoLease) => {
            log::debug!("event=group.taken group={}", group.0);
        }
        Err(fault) => log::warn!("event=group.take group={} fault=\"{fault}\"", group.0),
    }
}
