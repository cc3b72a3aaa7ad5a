//! The duty that owns shards: which to take, which to give up, and a round for each.

use super::{
    budget::{self, Meter},
    handle::ShardMessage,
    owned::{Next, Owned},
    take, view,
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

/// The longest pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// The shortest pause between two rounds.
const ROUND_PAUSE_MIN: Duration = Duration::from_millis(5);
/// The pause before another try to take a shard.
const TAKE_PAUSE: Duration = Duration::from_millis(400);
/// How often budgets and news are worked out.
const BUDGET_INTERVAL: Duration = Duration::from_millis(500);
/// How long members must have been the same before shards move to balance them.
const BALANCE_PAUSE: Duration = Duration::from_secs(2);
/// Messages taken in before a round.
const MESSAGES_PER_ROUND: usize = 512;

enum Slot {
    Idle { retry_at: Instant },
    Taking,
    Owned(Box<Owned>),
}

struct Duty {
    context: Arc<Context>,
    charts: Arc<Charts>,
    slots: Vec<Slot>,
    instances: Arc<Vec<Instance>>,
    config_number: u64,
    meter: Meter,
    budget_at: Instant,
    members: Vec<String>,
    /// The member that should own each shard, by its place in `members`.
    owners: Vec<Option<usize>>,
    members_since: Instant,
    /// Answered once all shards are handed over.
    stopping: Option<oneshot::Sender<()>>,
    stopped: bool,
}

/// Owns shards while the process runs.
pub(crate) async fn run(
    context: Arc<Context>,
    charts: Arc<Charts>,
    mut ring: mpsc::Receiver<ShardMessage>,
) {
    let mut duty = Duty::new(context, charts);
    let mut next_round = tokio::time::Instant::now();
    loop {
        if let Ok(Some(message)) = tokio::time::timeout(ROUND_PAUSE, ring.recv()).await {
            duty.take_in(message);
            // A wave of messages is answered by one round, not by one each.
            tokio::time::sleep_until(next_round).await;
            for _ in 0..MESSAGES_PER_ROUND {
                let Ok(message) = ring.try_recv() else { break };
                duty.take_in(message);
            }
        }
        duty.round();
        next_round = tokio::time::Instant::now() + ROUND_PAUSE_MIN;
    }
}

impl Duty {
    fn new(context: Arc<Context>, charts: Arc<Charts>) -> Self {
        let now = context.now();
        let count = context.settings.shard_count;
        Self {
            slots: (0..count).map(|_| Slot::Idle { retry_at: now }).collect(),
            instances: Arc::new(Vec::new()),
            config_number: 0,
            meter: Meter::default(),
            budget_at: now,
            members: Vec::new(),
            owners: Vec::new(),
            members_since: now,
            stopping: None,
            stopped: false,
            charts,
            context,
        }
    }

    fn take_in(&mut self, message: ShardMessage) {
        let now = self.context.now();
        match message {
            ShardMessage::Ask(question, to) => self.ask(question, to),
            ShardMessage::Wake => self.retry_all(now),
            ShardMessage::HandOver(to) => {
                self.stopped = true;
                self.stopping = Some(to);
            }
            ShardMessage::Taken(done) => self.end_take(done, now),
            ShardMessage::Committed(done) => {
                let shard = done.shard;
                let context = Arc::clone(&self.context);
                if let Slot::Owned(owned) = &mut self.slots[usize::from(shard)] {
                    let next = owned.end_commit(&context, done);
                    self.follow(shard, next, now);
                }
            }
            ShardMessage::Synced(done) => {
                let shard = done.shard;
                let context = Arc::clone(&self.context);
                if let Slot::Owned(owned) = &mut self.slots[usize::from(shard)] {
                    let next = owned.end_sync(&context, done, now);
                    self.follow(shard, next, now);
                }
            }
        }
    }

    fn ask(&mut self, question: ShardRequest, to: oneshot::Sender<ShardResponse>) {
        let slot = self.slots.get_mut(usize::from(question.shard()));
        if let Some(Slot::Owned(owned)) = slot {
            owned.ask(&self.context, question, to);
            return;
        }
        let _ = to.send(ShardResponse::NotOwner);
    }

    fn end_take(&mut self, done: take::Done, now: Instant) {
        let shard = done.shard;
        let slot = &mut self.slots[usize::from(shard)];
        match done.result {
            Ok(taken) => {
                let busiest = crate::message::BusiestMinute {
                    month: taken.record.busiest.month,
                    cpu_millis: taken.record.busiest.cpu_millis,
                };
                crate::peers::merge_busiest(&self.context, busiest);
                log::info!(
                    "step=shard.take peer=store object=shard-{shard} epoch={}",
                    taken.record.epoch
                );
                let charts = Arc::clone(&self.charts);
                let mut owned = Owned::new(&self.context, charts, shard, *taken);
                let specs = worker_specs(&self.context, &self.instances, shard);
                owned.core.set_workers(&specs, now);
                *slot = Slot::Owned(Box::new(owned));
                self.publish();
                self.context.gossip_now.notify_one();
            }
            Err(reason) => {
                log::debug!("step=shard.take peer=store object=shard-{shard} reason=\"{reason}\"");
                *slot = Slot::Idle {
                    retry_at: now + TAKE_PAUSE,
                };
            }
        }
    }

    fn follow(&mut self, shard: u16, next: Next, now: Instant) {
        if next == Next::Keep {
            return;
        }
        log::info!("step=shard.leave peer=store object=shard-{shard}");
        self.slots[usize::from(shard)] = Slot::Idle {
            retry_at: now + TAKE_PAUSE,
        };
        self.publish();
        self.context.gossip_now.notify_one();
    }

    fn retry_all(&mut self, now: Instant) {
        for slot in &mut self.slots {
            if let Slot::Idle { retry_at } = slot {
                *retry_at = now;
            }
        }
    }

    fn round(&mut self) {
        let now = self.context.now();
        self.follow_lists(now);
        self.follow_members(now);
        if now >= self.budget_at {
            self.budget_at = now + BUDGET_INTERVAL;
            self.set_budgets();
        }
        let context = Arc::clone(&self.context);
        for slot in &mut self.slots {
            if let Slot::Owned(owned) = slot {
                owned.step(&context, now);
            }
        }
        self.finish_stop();
    }

    /// Takes over new instances and a new configuration.
    fn follow_lists(&mut self, now: Instant) {
        let instances = self.context.instances.get();
        let config = self.context.config.lock().config();
        let same_list = Arc::ptr_eq(&instances, &self.instances);
        if same_list && config.number() == self.config_number {
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

    /// Takes the shards that this daemon should own, and gives up those that another should.
    fn follow_members(&mut self, now: Instant) {
        let members = self.candidates();
        if members != self.members {
            self.owners = owners(self.slots.len() as u16, &members);
            self.members = members;
            self.members_since = now;
        }
        let own = self.context.settings.member_id.clone();
        let settled = now >= self.members_since + BALANCE_PAUSE;
        let joined = self.context.ownership.lock().valid_session(now).is_some();
        for shard in 0..self.slots.len() as u16 {
            let wanted = self.owners.get(usize::from(shard)).copied().flatten();
            let wanted = wanted.map(|at| self.members[at].clone());
            let mine = wanted.as_ref() == Some(&own);
            match &mut self.slots[usize::from(shard)] {
                Slot::Idle { retry_at } if mine && joined && !self.stopped && *retry_at <= now => {
                    self.slots[usize::from(shard)] = Slot::Taking;
                    let (context, charts) = (Arc::clone(&self.context), Arc::clone(&self.charts));
                    take::spawn(context, charts, shard);
                }
                Slot::Owned(owned) if self.stopped || (!mine && wanted.is_some() && settled) => {
                    if !owned.is_handing_over() {
                        log::info!("step=shard.hand-over object=shard-{shard} peer={wanted:?}");
                    }
                    owned.hand_over();
                }
                _ => {}
            }
        }
    }

    /// Members that may own shards: all that are listed and not draining.
    fn candidates(&self) -> Vec<String> {
        let own = &self.context.settings.member_id;
        let peers = self.context.peers.lock();
        let draining = |id: &str| match id == own {
            true => self.context.is_draining(),
            false => peers.try_find(id).is_some_and(|news| news.draining),
        };
        let ids = self.context.members.lock().ids();
        ids.into_iter().filter(|id| !draining(id)).collect()
    }

    fn set_budgets(&mut self) {
        let now_unix_ms = self.context.now_unix_ms();
        for slot in &mut self.slots {
            if let Slot::Owned(owned) = slot {
                owned.core.plan(now_unix_ms);
            }
        }
        self.publish();
        let own = self.context.shards.owned();
        let known = budget::known(&self.context, &own);
        let claimed: u64 = known.values().map(|news| news.claimed_cpu_millis).sum();
        self.meter.sample(&self.context, claimed, now_unix_ms);
        let busiest = self.context.busiest_minute.get();
        let this_month = busiest.month == budget::month_of(now_unix_ms);
        let paid = if this_month { busiest.cpu_millis } else { 0 };
        for slot in &mut self.slots {
            let Slot::Owned(owned) = slot else { continue };
            owned
                .core
                .set_batch_budget(budget::share(paid, owned.shard, &known));
            owned
                .core
                .set_team_used_elsewhere(used_elsewhere(owned.shard, &known));
        }
    }

    fn publish(&self) {
        let owned = self.slots.iter().filter_map(|slot| match slot {
            Slot::Owned(owned) => Some(view::news(owned)),
            _ => None,
        });
        self.context.shards.set_owned(owned.collect());
    }

    fn finish_stop(&mut self) {
        let busy = self
            .slots
            .iter()
            .any(|slot| !matches!(slot, Slot::Idle { .. }));
        if self.stopped && !busy {
            if let Some(to) = self.stopping.take() {
                let _ = to.send(());
            }
        }
    }
}

fn used_elsewhere(shard: u16, known: &BTreeMap<u16, OwnedShardStatus>) -> BTreeMap<String, Size> {
    let mut used: BTreeMap<String, Size> = BTreeMap::new();
    let others = known.values().filter(|news| news.shard != shard);
    for team in others.flat_map(|news| news.team_used.iter()) {
        let sum = used.entry(team.team.clone()).or_default();
        *sum = sum.checked_add(team.used).unwrap_or(*sum);
    }
    used
}

fn worker_specs(context: &Context, instances: &[Instance], shard: u16) -> Vec<WorkerSpec> {
    let count = context.settings.shard_count;
    let config = context.config.lock().config();
    let mut runners: HashMap<&str, Size> = HashMap::new();
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
            .map_or(Size::ZERO, |it| it.runner_size);
        let sum = runners.entry(host.as_str()).or_default();
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
            runners: runners
                .get(instance.id.as_str())
                .copied()
                .unwrap_or(Size::ZERO),
            leaving: instance.state == InstanceState::Leaving,
        });
    }
    specs
}
