use crate::{claim, index::RoomIndex};
use persimmon_types::Size;

/// Names a worker of a [`Ledger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    /// The worker's position in the order in which workers were added.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Names a claim of a [`Ledger`]; a released key is never valid again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    position: u32,
    generation: u32,
}

/// The kind of work that claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A replica of a latency-critical service.
    LatencyCritical,
    /// A batch task.
    Batch,
}

/// The part of each instance that either kind may claim, in hundredths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// For latency-critical work.
    pub latency_critical_percent: u32,
    /// For batch work.
    pub batch_percent: u32,
}

#[derive(Debug, Clone)]
struct Worker {
    capacity: Size,
    claimed: [Size; 2],
    reserve: Size,
    open: bool,
    claims: u32,
}

#[derive(Debug, Clone)]
struct Slot {
    generation: u32,
    claim: Option<(WorkerKey, WorkKind, Size)>,
}

/// What each worker has, and what is claimed of it.
///
/// The sum of the claims on a worker never exceeds its capacity, nor the claims of one kind that
/// kind's share, at the moment of a claim. Capacity or shares that shrink later leave existing
/// claims alone and admit no new ones.
#[derive(Debug, Clone)]
pub struct Ledger {
    shares: Shares,
    workers: Vec<Worker>,
    slots: Vec<Slot>,
    free_slots: Vec<u32>,
    rooms: [RoomIndex; 2],
}

impl Ledger {
    /// An empty ledger.
    pub fn new(shares: Shares) -> Self {
        let rooms = [RoomIndex::new(), RoomIndex::new()];
        Self {
            shares,
            workers: Vec::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            rooms,
        }
    }

    /// Adds an open worker.
    pub fn add(&mut self, capacity: Size) -> WorkerKey {
        let key = WorkerKey(self.workers.len() as u32);
        let claimed = [Size::ZERO; 2];
        self.workers.push(Worker {
            capacity,
            claimed,
            reserve: Size::ZERO,
            open: true,
            claims: 0,
        });
        self.refresh(key);
        key
    }

    /// Claims `size` of `worker`.
    pub fn claim(
        &mut self,
        worker: WorkerKey,
        kind: WorkKind,
        size: Size,
    ) -> Result<ClaimKey, claim::Error> {
        if !self.worker(worker).open {
            return Err(claim::Error::Closed);
        }
        let room = self.room(worker, kind);
        if !size.fits(room) {
            return Err(claim::Error::NoRoom { wanted: size, room });
        }
        Ok(self.insert(worker, kind, size))
    }

    /// Records a claim that is in force already, found when a shard is taken over.
    ///
    /// It counts in full even where it exceeds what may be claimed now, so that nothing is added.
    pub fn restore(&mut self, worker: WorkerKey, kind: WorkKind, size: Size) -> ClaimKey {
        self.insert(worker, kind, size)
    }

    /// Gives a claim back.
    pub fn release(&mut self, key: ClaimKey) -> Result<(), claim::Error> {
        let (worker, kind, size) = self.find(key)?;
        let slot = &mut self.slots[key.position as usize];
        slot.claim = None;
        slot.generation += 1;
        self.free_slots.push(key.position);
        let entry = &mut self.workers[worker.0 as usize];
        entry.claimed[kind as usize] = entry.claimed[kind as usize].saturating_sub(size);
        entry.claims -= 1;
        self.refresh(worker);
        Ok(())
    }

    /// Changes the size of a claim; a larger one must fit.
    pub fn resize(&mut self, key: ClaimKey, size: Size) -> Result<(), claim::Error> {
        let (worker, kind, old) = self.find(key)?;
        let growth = size.saturating_sub(old);
        let room = self.room(worker, kind);
        if growth != Size::ZERO && !growth.fits(room) {
            return Err(claim::Error::NoRoom {
                wanted: growth,
                room,
            });
        }
        self.slots[key.position as usize].claim = Some((worker, kind, size));
        let claimed = &mut self.workers[worker.0 as usize].claimed[kind as usize];
        let kept = claimed.saturating_sub(old);
        *claimed = kept.checked_add(size).unwrap_or(kept);
        self.refresh(worker);
        Ok(())
    }

    /// Changes what the worker has.
    pub fn set_capacity(&mut self, worker: WorkerKey, capacity: Size) {
        self.workers[worker.0 as usize].capacity = capacity;
        self.refresh(worker);
    }

    /// Changes the shares of all workers.
    pub fn set_shares(&mut self, shares: Shares) {
        if self.shares == shares {
            return;
        }
        self.shares = shares;
        for position in 0..self.workers.len() {
            self.refresh(WorkerKey(position as u32));
        }
    }

    /// Keeps `reserve` free of new claims, for tasks that use more than they declared.
    pub fn set_reserve(&mut self, worker: WorkerKey, reserve: Size) {
        self.workers[worker.0 as usize].reserve = reserve;
        self.refresh(worker);
    }

    /// Opens or closes the worker to new claims.
    pub fn set_schedulable(&mut self, worker: WorkerKey, open: bool) {
        self.workers[worker.0 as usize].open = open;
        self.refresh(worker);
    }

    /// What work of `kind` may still claim on `worker`, open or not.
    ///
    /// Nothing while the worker is over its capacity or share in any dimension, which it can be
    /// after they shrank or when tasks use more than they claim.
    pub fn room(&self, worker: WorkerKey, kind: WorkKind) -> Size {
        let entry = self.worker(worker);
        let share = self.share(entry.capacity, kind);
        let of_kind = share.checked_sub(entry.claimed[kind as usize]);
        let of_all = entry
            .capacity
            .checked_sub(self.claimed(worker))
            .and_then(|left| left.checked_sub(entry.reserve));
        match (of_kind, of_all) {
            (Some(of_kind), Some(of_all)) => of_kind.min(of_all),
            _ => Size::ZERO,
        }
    }

    /// What work of `kind` may claim of `worker` in all.
    pub fn share_limit(&self, worker: WorkerKey, kind: WorkKind) -> Size {
        self.share(self.worker(worker).capacity, kind)
    }

    /// What is claimed on `worker`, over both kinds.
    pub fn claimed(&self, worker: WorkerKey) -> Size {
        let [latency_critical, batch] = self.worker(worker).claimed;
        latency_critical
            .checked_add(batch)
            .unwrap_or(latency_critical)
    }

    /// What the worker has.
    pub fn capacity(&self, worker: WorkerKey) -> Size {
        self.worker(worker).capacity
    }

    /// Tells whether the worker takes new claims.
    pub fn is_schedulable(&self, worker: WorkerKey) -> bool {
        self.worker(worker).open
    }

    /// The number of claims on `worker`.
    pub fn claims(&self, worker: WorkerKey) -> u32 {
        self.worker(worker).claims
    }

    /// The number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Tells whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Tells whether some worker could ever hold `size`, were it empty and open.
    pub fn can_ever_hold(&self, kind: WorkKind, size: Size) -> bool {
        self.workers
            .iter()
            .any(|worker| size.fits(self.share(worker.capacity, kind)))
    }

    /// The next open worker at or after `from` with room for `size`.
    pub(crate) fn next_fit(&self, from: usize, kind: WorkKind, size: Size) -> Option<WorkerKey> {
        self.rooms[kind as usize]
            .next_fit(from, size)
            .map(|position| WorkerKey(position as u32))
    }

    fn insert(&mut self, worker: WorkerKey, kind: WorkKind, size: Size) -> ClaimKey {
        let position = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(Slot {
                generation: 0,
                claim: None,
            });
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[position as usize];
        slot.claim = Some((worker, kind, size));
        let generation = slot.generation;
        let entry = &mut self.workers[worker.0 as usize];
        let claimed = entry.claimed[kind as usize];
        entry.claimed[kind as usize] = claimed.checked_add(size).unwrap_or(entry.capacity);
        entry.claims += 1;
        self.refresh(worker);
        ClaimKey {
            position,
            generation,
        }
    }

    fn find(&self, key: ClaimKey) -> Result<(WorkerKey, WorkKind, Size), claim::Error> {
        let slot = self.slots.get(key.position as usize);
        let live = slot.filter(|slot| slot.generation == key.generation);
        live.and_then(|slot| slot.claim)
            .ok_or(claim::Error::Released)
    }

    fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    fn share(&self, capacity: Size, kind: WorkKind) -> Size {
        let percent = match kind {
            WorkKind::LatencyCritical => self.shares.latency_critical_percent,
            WorkKind::Batch => self.shares.batch_percent,
        };
        let part = capacity.percent(percent);
        // An accelerator can't be split, so a kind with any share at all may claim each of them.
        let accelerators = if percent > 0 {
            capacity.accelerators
        } else {
            0
        };
        Size {
            accelerators,
            ..part
        }
    }

    fn refresh(&mut self, worker: WorkerKey) {
        for kind in [WorkKind::LatencyCritical, WorkKind::Batch] {
            let open = self.worker(worker).open;
            let room = if open {
                self.room(worker, kind)
            } else {
                Size::ZERO
            };
            self.rooms[kind as usize].set(worker.0 as usize, room);
        }
    }
}
