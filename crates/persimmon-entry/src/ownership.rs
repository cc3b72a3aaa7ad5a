//! Ownership of groups: taking groups without an owner and handing groups over.

use crate::{
    group::{OwnedGroup, Predecessors, LOADING_LOG_INTERVAL},
    keys::{self, GroupId},
    member::{self, Member},
    peers,
    platform::{Change, Item, Platform, Precondition, Txn, TxnOutcome, Write},
    prefix_watch::{self, WatchEvent, WatchOptions},
    state::{Owner, Shared},
};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::{Duration, Instant},
};

/// Interval between checks for groups without an owner.
const FREE_GROUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which an owner checks whether another process should own its groups.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long another process must have much more capacity before a group is handed over: one that
/// keeps restarting would soon give it up again.
const HAND_OVER_DELAY: Duration = Duration::from_secs(1);
/// Delay before a hand-over that the store did not answer is repeated.
const HAND_OVER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Delay before a process takes a group, for each process that is preferred as its owner.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(120);

/// Options of the watch on members and owners.
const MEMBERSHIP_WATCH: WatchOptions = WatchOptions {
    // About a session's TTL, so that a connection that went silent is noticed after that time.
    wait: Duration::from_millis(1_500),
    // A group without an owner must be seen at once.
    pause: Duration::ZERO,
    by_all_members: true,
    skips_large_versions: false,
    confirms_backlog: false,
};

/// Takes groups without an owner and serves them. Never returns.
pub(crate) async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    let members =
        prefix_watch::follow(&shared, keys::MEMBERSHIP, MEMBERSHIP_WATCH, None, |event| {
            if let WatchEvent::Changed(change) = event {
                handle_member_change(&shared, &change);
                handle_owner_change(&shared, change);
            }
        });
    tokio::join!(
        members,
        take_free_groups(&shared),
        hand_over_to_larger_process(&shared)
    );
}

fn handle_member_change<P>(shared: &Shared<P>, change: &Change) {
    match change {
        Change::Put(item) if item.key.starts_with(keys::MEMBERS) => {
            let member = Member::parse(&decode_text(&item.value));
            shared.record_incarnation(&item.key, &member.incarnation, item.revision);
            shared.members.borrow_mut().insert(item.key.clone(), member);
        }
        Change::Put(_) => {}
        Change::Removed { key, .. } => {
            shared.members.borrow_mut().remove(key);
        }
    }
}

fn handle_owner_change<P>(shared: &Shared<P>, change: Change) {
    let (key, revision, owner_value) = match change {
        Change::Put(item) => {
            let value = decode_text(&item.value);
            (item.key, item.revision, Some(value))
        }
        Change::Removed { key, revision } => (key, revision, None),
    };
    let id = key.strip_prefix(keys::OWNERS);
    let Some(group) = id.and_then(|id| id.parse().ok()).map(GroupId) else {
        return;
    };
    if let Some(served) = shared.groups.borrow().get(&group) {
        if revision > served.fencing_token {
            served.stop_serving("the owner's key was overwritten or removed");
        }
    }
    let mut owners = shared.owners.borrow_mut();
    match owner_value {
        Some(value) => {
            let (name, address) = peers::parse_owner(&value);
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

async fn take_free_groups<P: Platform>(shared: &Rc<Shared<P>>) {
    let mut free_since: BTreeMap<GroupId, Instant> = BTreeMap::new();
    let mut unserved: BTreeMap<GroupId, Unserved> = BTreeMap::new();
    // Revisions of the owner keys that are removed already.
    let mut released: BTreeMap<GroupId, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(FREE_GROUP_CHECK_INTERVAL).await;
        let now = shared.now();
        for number in 0..shared.options.group_count {
            let group = GroupId(number);
            let is_served = shared.groups.borrow().contains_key(&group);
            if is_served || shared.draining.get() {
                free_since.remove(&group);
                unserved.remove(&group);
                continue;
            }
            if let Some((holder, revision)) = owner_in_store(shared, group) {
                free_since.remove(&group);
                if holder == Holder::ThisProcess {
                    let since = unserved.entry(group).or_insert_with(|| Unserved::new(now));
                    since.log(group, revision, now);
                    resume_ownership(shared, group, revision).await;
                    continue;
                }
                unserved.remove(&group);
                // An earlier incarnation has ended, so nobody need wait for the end of its session.
                if holder == Holder::EarlierIncarnation
                    && released.get(&group) != Some(&revision)
                    && !shared.store_is_unreachable()
                    && release(shared, group, revision).await
                {
                    released.insert(group, revision);
                }
                continue;
            }
            let since = *free_since.entry(group).or_insert(now);
            let preferred_count = count_preferred_processes(shared, group);
            let policy_is_known = shared.policy.borrow().is_some();
            if now < since + TAKEOVER_STAGGER * preferred_count
                || shared.store_is_unreachable()
                || !policy_is_known
            {
                continue;
            }
            free_since.remove(&group);
            take_group(shared, group).await;
        }
    }
}

/// A group that this process owns according to the store but does not serve.
struct Unserved {
    since: Instant,
    logged_at: Instant,
}

impl Unserved {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            logged_at: now,
        }
    }

    /// Logs the group if that is due.
    fn log(&mut self, group: GroupId, fencing_token: u64, now: Instant) {
        if now < self.logged_at + LOADING_LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        log::warn!(
            "event=group.loading group={} fence={fencing_token} owned_for_ms={} \
             reason=\"neither resumed nor released\"",
            group.0,
            now.saturating_duration_since(self.since).as_millis()
        );
    }
}

/// Handles a group that this process owns according to the store but does not serve.
async fn resume_ownership<P: Platform>(shared: &Rc<Shared<P>>, group: GroupId, revision: u64) {
    let last_fencing_token = shared.last_fencing_tokens.borrow().get(&group).copied();
    if last_fencing_token == Some(revision) {
        // Calls to runners may still be under way with this fencing token, so the group must be
        // taken again with a higher one.
        if !shared.store_is_unreachable() {
            release(shared, group, revision).await;
        }
        return;
    }
    // The answer to the takeover was lost.
    let Some(predecessors) = read_predecessors(shared, group).await else {
        return;
    };
    let is_owner = owner_in_store(shared, group) == Some((Holder::ThisProcess, revision));
    if is_owner && !shared.draining.get() {
        OwnedGroup::serve(Rc::clone(shared), group, revision, predecessors);
    }
}

/// Whose name the owner's key of a group holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Holder {
    ThisProcess,
    EarlierIncarnation,
    OtherProcess,
}

/// Returns who a group's owner is according to the store, and the revision of the owner's key; `None`
/// if the group has no owner.
fn owner_in_store<P>(shared: &Shared<P>, group: GroupId) -> Option<(Holder, u64)> {
    let owners = shared.owners.borrow();
    let owner = owners.get(&group)?;
    let name = owner.name.rsplit_once('#').map(|(name, _)| name);
    let holder = if owner.name == own_name(shared) {
        Holder::ThisProcess
    } else if name == Some(&shared.options.name) {
        Holder::EarlierIncarnation
    } else {
        Holder::OtherProcess
    };
    Some((holder, owner.revision))
}

/// Returns the number of groups that each process owns, by the process's key.
fn group_counts<P>(shared: &Shared<P>) -> HashMap<String, u32> {
    let mut group_counts = HashMap::new();
    for owner in shared.owners.borrow().values() {
        let name = owner.name.rsplit_once('#').map_or("", |(name, _)| name);
        *group_counts.entry(keys::member(name)).or_default() += 1;
    }
    group_counts
}

/// Returns the number of processes that are preferred to this one as a group's owner.
fn count_preferred_processes<P>(shared: &Shared<P>, group: GroupId) -> u32 {
    let own_key = keys::member(&shared.options.name);
    member::count_preferred_processes(
        &shared.members.borrow(),
        &group_counts(shared),
        group,
        &own_key,
    )
}

/// Hands a group over when another process has much more capacity for it. Never returns.
async fn hand_over_to_larger_process<P: Platform>(shared: &Rc<Shared<P>>) {
    let own_key = keys::member(&shared.options.name);
    let mut larger_since: Option<Instant> = None;
    loop {
        tokio::time::sleep(CAPACITY_CHECK_INTERVAL).await;
        let group = shared.groups.borrow().values().next().map(Rc::clone);
        let larger_process_exists = || {
            !shared.store_is_unreachable()
                && member::should_hand_over(
                    &shared.members.borrow(),
                    &group_counts(shared),
                    &own_key,
                )
        };
        let Some(group) = group.filter(|_| larger_process_exists()) else {
            larger_since = None;
            continue;
        };
        let now = shared.now();
        let since = *larger_since.get_or_insert(now);
        if now >= since + HAND_OVER_DELAY {
            larger_since = None;
            hand_over(shared, &group, "another process has much more capacity").await;
        }
    }
}

/// Gives up ownership of a group, so that another process can take it at once. Returns `false` if
/// the store did not answer.
pub(crate) async fn hand_over<P: Platform>(
    shared: &Shared<P>,
    group: &OwnedGroup<P>,
    reason: &str,
) -> bool {
    group.stop_serving(reason);
    release(shared, group.id, group.fencing_token).await
}

/// Removes the owner's key of a group if it has the given revision. Returns `false` if the store
/// did not answer.
async fn release<P: Platform>(shared: &Shared<P>, group: GroupId, revision: u64) -> bool {
    let key = keys::owner(group);
    let txn = Txn {
        preconditions: vec![Precondition {
            key: key.clone(),
            revision,
        }],
        remove: vec![key],
        ..Txn::default()
    };
    // A conflict means that the group has no owner or another one.
    let outcome = shared.platform.txn(&txn).await;
    match &outcome {
        Ok(outcome) => {
            let is_conflict = matches!(outcome, TxnOutcome::Conflict { .. });
            log::info!(
                "event=group.release group={} fence={revision} conflict={is_conflict}",
                group.0
            );
        }
        Err(err) => log::warn!("event=group.release group={} fault=\"{err}\"", group.0),
    }
    outcome.is_ok()
}

/// Gives up ownership of all groups. Returns once the store has answered for each.
pub(crate) async fn hand_over_all<P: Platform>(shared: &Shared<P>, reason: &str) {
    let groups: Vec<_> = shared.groups.borrow().values().map(Rc::clone).collect();
    groups.iter().for_each(|group| group.stop_serving(reason));
    for group in groups {
        while !hand_over(shared, &group, reason).await {
            tokio::time::sleep(HAND_OVER_RETRY_DELAY).await;
        }
    }
}

/// Maximum number of earlier owners kept in a group's history, the latest first. An earlier owner
/// stays in it until a newer incarnation of its process is known.
const PREDECESSORS_MAX: usize = 8;

/// Reads a group's earlier owners from the store. Returns `None` if it does not answer.
async fn read_predecessors<P: Platform>(
    shared: &Shared<P>,
    group: GroupId,
) -> Option<Predecessors> {
    match shared.platform.get(&keys::last_owner(group)).await {
        Ok(last_owner) => Some(parse_predecessors(shared, last_owner)),
        Err(err) => {
            log::debug!("event=group.last_owner group={} fault=\"{err}\"", group.0);
            None
        }
    }
}

/// Returns the earlier owners. This process is not among those that may still renew leases, as it
/// stopped renewing when it stopped serving the group.
fn parse_predecessors<P>(shared: &Shared<P>, last_owner: Option<Item>) -> Predecessors {
    let revision = last_owner.as_ref().map_or(0, |item| item.revision);
    let history = last_owner
        .map(|item| decode_text(&item.value))
        .unwrap_or_default();
    let names = history.split(' ').filter(|name| !name.is_empty());
    let own_name = own_name(shared);
    let mut predecessors = Predecessors {
        remaining: names.map(str::to_owned).collect(),
        revision,
        ended_at: None,
    };
    predecessors.remove_ended(|name, revision| {
        if name == own_name {
            Some(shared.now())
        } else {
            shared.replaced_at(name, revision)
        }
    });
    predecessors.remaining.truncate(PREDECESSORS_MAX);
    predecessors
}

fn owner_history(own_name: &str, predecessors: &[String]) -> String {
    let others = predecessors.iter().map(String::as_str);
    let names: Vec<_> = std::iter::once(own_name).chain(others).collect();
    names.join(" ")
}

fn decode_text(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}

fn own_name<P>(shared: &Shared<P>) -> String {
    format!("{}#{}", shared.options.name, shared.options.incarnation)
}

async fn take_group<P: Platform>(shared: &Rc<Shared<P>>, group: GroupId) {
    let Some(lease) = shared.lease.get() else {
        return;
    };
    let key = keys::owner(group);
    let Some(predecessors) = read_predecessors(shared, group).await else {
        return;
    };
    let name = own_name(shared);
    let txn = Txn {
        preconditions: vec![Precondition::absent(key.clone())],
        writes: vec![
            Write {
                key,
                value: format!("{name} {}", shared.options.peer_address).into_bytes(),
                lease: Some(lease),
            },
            Write::unleased(
                keys::last_owner(group),
                owner_history(&name, &predecessors.remaining).into_bytes(),
            ),
        ],
        remove: Vec::new(),
    };
    match shared.platform.txn(&txn).await {
        Ok(TxnOutcome::Done { revision }) => {
            shared.record_store_answer();
            log::info!("event=group.take group={} fence={revision}", group.0);
            OwnedGroup::serve(Rc::clone(shared), group, revision, predecessors);
        }
        Ok(TxnOutcome::Conflict { .. } | TxnOutcome::NoLease) => {
            log::debug!("event=group.take_conflict group={}", group.0);
        }
        Err(err) => log::warn!("event=group.take group={} fault=\"{err}\"", group.0),
    }
}
