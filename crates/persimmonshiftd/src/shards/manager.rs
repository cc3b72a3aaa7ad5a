//! The shard manager: takes over the shards assigned to this daemon, hands over the others, and
//! runs a round of scheduling for each owned one.

use super::{
    budget::{self, BusiestMinuteMeter},
    handle::ShardMessage,
    owned::{NextAction, OwnedShard},
    takeover, view,
};
use crate::{
    context::Context,
    message::{OwnedShardStatus, ShardRequest, ShardResponse},
};
use persimmon_lease::owners;
use persimmon_shard::{Charts, WorkerSpec};
use persimmon_types::{shard_of, Size};
use persimmon_wire::instances::{Instance, InstanceState, Role};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::{mpsc, oneshot};

/// The longest wait for a message before the next round.
const ROUND_INTERVAL_MAX: Duration = Duration::from_millis(50);
/// The shortest time between two rounds.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// The delay before another attempt to take a shard over.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(400);
/// How often the budgets and the published status of the shards are computed.
const BUDGET_INTERVAL: Duration = Duration::from_millis(500);
/// How long the members must be unchanged before shards are handed over to balance them.
const REBALANCE_DELAY: Duration = Duration::from_secs(2);
/// The most queued messages that are handled before a round, after the one that woke the manager.
const MESSAGES_PER_ROUND_MAX: usize = 512;

/// The state of a shard on this daemon.
enum Slot {
    NotOwned { retry_at: Instant },
    TakingOver,
    Owned(Box<OwnedShard>),
}

struct ShardManager {
    context: Arc<Context>,
    charts: Arc<Charts>,
    /// Indexed by shard.
    slots: Vec<Slot>,
    instances: Arc<Vec<Instance>>,
    config_number: u64,
    meter: BusiestMinuteMeter,
    next_budget_at: Instant,
    /// The members that may own shards.
    members: Vec<String>,
    /// The member that each shard is assigned to, as an index into `members`.
    assigned_owners: Vec<Option<usize>>,
    members_changed_at: Instant,
    /// Notified once all shards are handed over.
    hand_over_reply: Option<oneshot::Sender<()>>,
    /// Whether all shards are being handed over, for a graceful shutdown.
    handing_over_all: bool,
}

/// Runs the shard manager until the process ends.
pub(crate) async fn run(
    context: Arc<Context>,
    charts: Arc<Charts>,
    mut rx: mpsc::Receiver<ShardMessage>,
) {
    let mut manager = ShardManager::new(context, charts);
    let mut next_round = tokio::time::Instant::now();
    loop {
        if let Ok(Some(message)) = tokio::time::timeout(ROUND_INTERVAL_MAX, rx.recv()).await {
            manager.handle_message(message);
            // A burst of messages is handled by one round instead of one round for each.
            tokio::time::sleep_until(next_round).await;
            for _ in 0..MESSAGES_PER_ROUND_MAX {
                let Ok(message) = rx.try_recv() else { break };
                manager.handle_message(message);
            }
        }
        manager.run_round();
        next_round = tokio::time::Instant::now() + ROUND_INTERVAL_MIN;
    }
}

impl ShardManager {
    fn new(context: Arc<Context>, charts: Arc<Charts>) -> Self {
        let now = context.now();
        let count = context.settings.shard_count;
        Self {
            slots: (0..count)
                .map(|_| Slot::NotOwned { retry_at: now })
                .collect(),
            instances: Arc::new(Vec::new()),
            config_number: 0,
            meter: BusiestMinuteMeter::default(),
            next_budget_at: now,
            members: Vec::new(),
            assigned_owners: Vec::new(),
            members_changed_at: now,
            hand_over_reply: None,
            handing_over_all: false,
            charts,
            context,
        }
    }

    fn handle_message(&mut self, message: ShardMessage) {
        let now = self.context.now();
        match message {
            ShardMessage::Request(request, reply_to) => self.handle_request(request, reply_to),
            ShardMessage::Wake => self.clear_retry_delays(now),
            ShardMessage::HandOver(reply_to) => {
                self.handing_over_all = true;
                self.hand_over_reply = Some(reply_to);
            }
            ShardMessage::TakeoverFinished(completion) => self.finish_takeover(completion, now),
            ShardMessage::CommitFinished(completion) => {
                let shard = completion.shard;
                let context = Arc::clone(&self.context);
                if let Slot::Owned(owned) = &mut self.slots[usize::from(shard)] {
                    let action = owned.finish_commit(&context, completion);
                    self.leave_unless_kept(shard, action, now);
                }
            }
            ShardMessage::SyncFinished(completion) => {
                let shard = completion.shard;
                let context = Arc::clone(&self.context);
                if let Slot::Owned(owned) = &mut self.slots[usize::from(shard)] {
                    let action = owned.finish_sync(&context, completion, now);
                    self.leave_unless_kept(shard, action, now);
                }
            }
        }
    }

    fn handle_request(&mut self, request: ShardRequest, reply_to: oneshot::Sender<ShardResponse>) {
        let slot = self.slots.get_mut(usize::from(request.shard()));
        if let Some(Slot::Owned(owned)) = slot {
            owned.handle_request(&self.context, request, reply_to);
            return;
        }
        let _ = reply_to.send(ShardResponse::NotOwner);
    }

    fn finish_takeover(&mut self, completion: takeover::Completion, now: Instant) {
        let shard = completion.shard;
        let slot = &mut self.slots[usize::from(shard)];
        match completion.result {
            Ok(taken) => {
                let busiest = crate::message::BusiestMinute {
                    month: taken.record.busiest.month,
                    cpu_millis: taken.record.busiest.cpu_millis,
                };
                crate::peers::merge_busiest_minute(&self.context, busiest);
                log::info!(
                    "step=shard.take peer=store object=shard-{shard} epoch={}",
                    taken.record.epoch
                );
                let charts = Arc::clone(&self.charts);
                let mut owned = OwnedShard::new(&self.context, charts, shard, *taken);
                let specs = worker_specs(&self.context, &self.instances, shard);
                owned.core.set_workers(&specs, now);
                *slot = Slot::Owned(Box::new(owned));
                self.publish_owned();
                self.context.gossip_now.notify_one();
            }
            Err(reason) => {
                log::debug!("step=shard.take peer=store object=shard-{shard} reason=\"{reason}\"");
                *slot = Slot::NotOwned {
                    retry_at: now + TAKEOVER_RETRY_DELAY,
                };
            }
        }
    }

    fn leave_unless_kept(&mut self, shard: u16, action: NextAction, now: Instant) {
        if action == NextAction::Keep {
            return;
        }
        log::info!("step=shard.leave peer=store object=shard-{shard}");
        self.slots[usize::from(shard)] = Slot::NotOwned {
            retry_at: now + TAKEOVER_RETRY_DELAY,
        };
        self.publish_owned();
        self.context.gossip_now.notify_one();
    }

    fn clear_retry_delays(&mut self, now: Instant) {
        for slot in &mut self.slots {
            if let Slot::NotOwned { retry_at } = slot {
                *retry_at = now;
            }
        }
    }

    fn run_round(&mut self) {
        let now = self.context.now();
        self.apply_updates(now);
        self.update_assignment(now);
        if now >= self.next_budget_at {
            self.next_budget_at = now + BUDGET_INTERVAL;
            self.update_budgets();
        }
        let context = Arc::clone(&self.context);
        for slot in &mut self.slots {
            if let Slot::Owned(owned) = slot {
                owned.run_round(&context, now);
            }
        }
        self.finish_hand_over();
    }

    /// Applies new instances and a new configuration to the owned shards.
    fn apply_updates(&mut self, now: Instant) {
        let instances = self.context.instances.get();
        let config = self.context.config.lock().config();
        let same_instances = Arc::ptr_eq(&instances, &self.instances);
        if same_instances && config.number() == self.config_number {
            return;
        }
        self.instances = instances;
        self.config_number = config.number();
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            let Slot::Owned(owned) = slot else { continue };
            owned.configure(&config);
            let specs = worker_specs(&self.context, &self.instances, shard as u16);
            owned.core.set_workers(&specs, now);
        }
    }

    /// Takes over the shards that are assigned to this daemon, and hands over those that are
    /// assigned to another.
    fn update_assignment(&mut self, now: Instant) {
        let members = self.eligible_members();
        if members != self.members {
            self.assigned_owners = owners(self.slots.len() as u16, &members);
            self.members = members;
            self.members_changed_at = now;
        }
        let own_id = self.context.settings.member_id.clone();
        let members_stable = now >= self.members_changed_at + REBALANCE_DELAY;
        let has_session = self.context.ownership.lock().valid_session(now).is_some();
        for shard in 0..self.slots.len() as u16 {
            let assigned = self
                .assigned_owners
                .get(usize::from(shard))
                .copied()
                .flatten();
            let assigned = assigned.map(|index| self.members[index].clone());
            let assigned_here = assigned.as_ref() == Some(&own_id);
            match &mut self.slots[usize::from(shard)] {
                Slot::NotOwned { retry_at }
                    if assigned_here
                        && has_session
                        && !self.handing_over_all
                        && *retry_at <= now =>
                {
                    self.slots[usize::from(shard)] = Slot::TakingOver;
                    let (context, charts) = (Arc::clone(&self.context), Arc::clone(&self.charts));
                    takeover::spawn(context, charts, shard);
                }
                Slot::Owned(owned)
                    if self.handing_over_all
                        || (!assigned_here && assigned.is_some() && members_stable) =>
                {
                    if !owned.is_handing_over() {
                        log::info!("step=shard.hand-over object=shard-{shard} peer={assigned:?}");
                    }
                    owned.hand_over();
                }
                _ => {}
            }
        }
    }

    /// Returns the members that may own shards: all that are registered and not draining.
    fn eligible_members(&self) -> Vec<String> {
        let own_id = &self.context.settings.member_id;
        let peers = self.context.peers.lock();
        let draining = |id: &str| match id == own_id {
            true => self.context.is_draining(),
            false => peers.try_find(id).is_some_and(|status| status.draining),
        };
        let ids = self.context.members.lock().ids();
        ids.into_iter().filter(|id| !draining(id)).collect()
    }

    fn update_budgets(&mut self) {
        let now_unix_ms = self.context.now_unix_ms();
        for slot in &mut self.slots {
            if let Slot::Owned(owned) = slot {
                owned.core.plan(now_unix_ms);
            }
        }
        self.publish_owned();
        let own = self.context.shards.owned();
        let known = budget::known_shards(&self.context, &own);
        let claimed: u64 = known.values().map(|status| status.claimed_cpu_millis).sum();
        self.meter.sample(&self.context, claimed, now_unix_ms);
        let busiest = self.context.busiest_minute.get();
        // Only a new busiest minute raises the month's cost, so use up to the level of the known
        // one costs nothing more.
        let this_month = busiest.month == budget::month_of(now_unix_ms);
        let busiest_cpu_millis = if this_month { busiest.cpu_millis } else { 0 };
        for slot in &mut self.slots {
            let Slot::Owned(owned) = slot else { continue };
            owned.core.set_batch_budget(budget::batch_budget(
                busiest_cpu_millis,
                owned.shard,
                &known,
            ));
            owned
                .core
                .set_team_used_elsewhere(team_used_elsewhere(owned.shard, &known));
        }
    }

    /// Publishes the status of the owned shards for other tasks and daemons.
    fn publish_owned(&self) {
        let owned = self.slots.iter().filter_map(|slot| match slot {
            Slot::Owned(owned) => Some(view::shard_status(owned)),
            _ => None,
        });
        self.context.shards.set_owned(owned.collect());
    }

    fn finish_hand_over(&mut self) {
        let any_held = self
            .slots
            .iter()
            .any(|slot| !matches!(slot, Slot::NotOwned { .. }));
        if self.handing_over_all && !any_held {
            if let Some(reply_to) = self.hand_over_reply.take() {
                let _ = reply_to.send(());
            }
        }
    }
}

/// Returns what the tasks of each team claim in shards other than `shard`.
fn team_used_elsewhere(
    shard: u16,
    known: &BTreeMap<u16, OwnedShardStatus>,
) -> BTreeMap<String, Size> {
    let mut used: BTreeMap<String, Size> = BTreeMap::new();
    let others = known.values().filter(|status| status.shard != shard);
    for team in others.flat_map(|status| status.team_used.iter()) {
        let sum = used.entry(team.team.clone()).or_default();
        *sum = sum.checked_add(team.used).unwrap_or(*sum);
    }
    used
}

/// Returns the workers of `shard`, with the total size of the runners on each.
fn worker_specs(context: &Context, instances: &[Instance], shard: u16) -> Vec<WorkerSpec> {
    let count = context.settings.shard_count;
    let config = context.config.lock().config();
    let mut runner_sizes: HashMap<&str, Size> = HashMap::new();
    for instance in instances {
        let Role::Runner {
            service,
            host: Some(host),
        } = &instance.role
        else {
            continue;
        };
        let size = config
            .try_find_service(service)
            .map_or(Size::ZERO, |service| service.runner_size);
        let sum = runner_sizes.entry(host.as_str()).or_default();
        *sum = sum.checked_add(size).unwrap_or(*sum);
    }
    let mut specs = Vec::new();
    for instance in instances {
        let Role::Worker { capacity } = instance.role else {
            continue;
        };
        if shard_of(&instance.rack, count) != shard {
            continue;
        }
        specs.push(WorkerSpec {
            id: instance.id.clone(),
            address: instance.address.clone(),
            rack: instance.rack.clone(),
            capacity,
            runners: runner_sizes
                .get(instance.id.as_str())
                .copied()
                .unwrap_or(Size::ZERO),
            leaving: instance.state == InstanceState::Leaving,
        });
    }
    specs
}
