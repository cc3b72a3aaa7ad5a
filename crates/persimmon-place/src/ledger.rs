use crate::{availability_index::AvailabilityIndex, claim};
use persimmon_types::Size;

/// Identifies a worker in a [`Ledger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub(crate) u32);

impl WorkerKey {
    /// The worker's position in the order of addition.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies a claim in a [`Ledger`]; the key of a released claim never becomes valid again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    position: u32,
    generation: u32,
}

/// The kind of work that a claim is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A replica of a latency-critical service.
    LatencyCritical,
    /// A batch task.
    Batch,
}

/// The percentage of each worker's capacity that each kind of work may claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// The share of latency-critical work.
    pub latency_critical_percent: u32,
    /// The share of batch work.
    pub batch_percent: u32,
}

#[derive(Debug, Clone)]
struct Worker {
    capacity: Size,
    /// Sum of the claims of each kind of work, indexed by [`WorkKind`].
    claimed: [Size; 2],
    reserve: Size,
    schedulable: bool,
    claim_count: u32,
}

#[derive(Debug, Clone)]
struct Slot {
    generation: u32,
    claim: Option<(WorkerKey, WorkKind, Size)>,
}

/// The capacity of each worker and the claims on it.
///
/// When a claim is made, the sum of all claims on the worker stays within its capacity, and the sum
/// of the claims of that kind of work within its share. If capacity or shares shrink later,
/// existing claims remain, and new ones are admitted only once they fit again.
#[derive(Debug, Clone)]
pub struct Ledger {
    shares: Shares,
    workers: Vec<Worker>,
    slots: Vec<Slot>,
    free_slots: Vec<u32>,
    /// Available sizes for each kind of work, indexed by [`WorkKind`].
    availability: [AvailabilityIndex; 2],
}

impl Ledger {
    /// Creates a ledger without workers.
    pub fn new(shares: Shares) -> Self {
        let availability = [AvailabilityIndex::new(), AvailabilityIndex::new()];
        Self {
            shares,
            workers: Vec::new(),
            slots: Vec::new(),
            free_slots: Vec::new(),
            availability,
        }
    }

    /// Adds a schedulable worker.
    pub fn add(&mut self, capacity: Size) -> WorkerKey {
        let key = WorkerKey(self.workers.len() as u32);
        let claimed = [Size::ZERO; 2];
        self.workers.push(Worker {
            capacity,
            claimed,
            reserve: Size::ZERO,
            schedulable: true,
            claim_count: 0,
        });
        self.update_availability(key);
        key
    }

    /// Claims `size` on `worker`.
    pub fn claim(
        &mut self,
        worker: WorkerKey,
        kind: WorkKind,
        size: Size,
    ) -> Result<ClaimKey, claim::Error> {
        if !self.worker(worker).schedulable {
            return Err(claim::Error::Unschedulable);
        }
        let available = self.available(worker, kind);
        if !size.fits(available) {
            return Err(claim::Error::Insufficient {
                requested: size,
                available,
            });
        }
        Ok(self.insert(worker, kind, size))
    }

    /// Records a claim that exists already, for example one that an earlier ledger admitted.
    ///
    /// It counts in full even if it exceeds what may be claimed now, so that no new claims are
    /// admitted on top of it.
    pub fn restore(&mut self, worker: WorkerKey, kind: WorkKind, size: Size) -> ClaimKey {
        self.insert(worker, kind, size)
    }

    /// Releases a claim.
    pub fn release(&mut self, key: ClaimKey) -> Result<(), claim::Error> {
        let (worker, kind, size) = self.live_claim(key)?;
        let slot = &mut self.slots[key.position as usize];
        slot.claim = None;
        slot.generation += 1;
        self.free_slots.push(key.position);
        let entry = &mut self.workers[worker.0 as usize];
        entry.claimed[kind as usize] = entry.claimed[kind as usize].saturating_sub(size);
        entry.claim_count -= 1;
        self.update_availability(worker);
        Ok(())
    }

    /// Changes the size of a claim; its growth must fit what is available. If the sum of the claims
    /// of its kind overflows, this claim is left out of the sum.
    pub fn resize(&mut self, key: ClaimKey, size: Size) -> Result<(), claim::Error> {
        let (worker, kind, old_size) = self.live_claim(key)?;
        let growth = size.saturating_sub(old_size);
        let available = self.available(worker, kind);
        if growth != Size::ZERO && !growth.fits(available) {
            return Err(claim::Error::Insufficient {
                requested: growth,
                available,
            });
        }
        self.slots[key.position as usize].claim = Some((worker, kind, size));
        let claimed = &mut self.workers[worker.0 as usize].claimed[kind as usize];
        let other_claims = claimed.saturating_sub(old_size);
        *claimed = other_claims.checked_add(size).unwrap_or(other_claims);
        self.update_availability(worker);
        Ok(())
    }

    /// Sets the worker's capacity.
    pub fn set_capacity(&mut self, worker: WorkerKey, capacity: Size) {
        self.workers[worker.0 as usize].capacity = capacity;
        self.update_availability(worker);
    }

    /// Sets the shares, which apply to all workers.
    pub fn set_shares(&mut self, shares: Shares) {
        if self.shares == shares {
            return;
        }
        self.shares = shares;
        for position in 0..self.workers.len() {
            self.update_availability(WorkerKey(position as u32));
        }
    }

    /// Withholds `reserve` from new claims, for tasks that use more than they claim.
    pub fn set_reserve(&mut self, worker: WorkerKey, reserve: Size) {
        self.workers[worker.0 as usize].reserve = reserve;
        self.update_availability(worker);
    }

    /// Sets whether the worker takes new claims.
    pub fn set_schedulable(&mut self, worker: WorkerKey, schedulable: bool) {
        self.workers[worker.0 as usize].schedulable = schedulable;
        self.update_availability(worker);
    }

    /// Returns what work of `kind` may still claim on `worker`, whether it is schedulable or not.
    ///
    /// This is zero while the worker exceeds its capacity or share in any dimension, which happens
    /// after they shrink or while tasks use more than they claim.
    pub fn available(&self, worker: WorkerKey, kind: WorkKind) -> Size {
        let entry = self.worker(worker);
        let share = self.share_of_capacity(entry.capacity, kind);
        let share_left = share.checked_sub(entry.claimed[kind as usize]);
        let capacity_left = entry
            .capacity
            .checked_sub(self.claimed(worker))
            .and_then(|unclaimed| unclaimed.checked_sub(entry.reserve));
        match (share_left, capacity_left) {
            (Some(share_left), Some(capacity_left)) => share_left.min(capacity_left),
            _ => Size::ZERO,
        }
    }

    /// Returns the total that work of `kind` may claim on `worker`.
    pub fn share_limit(&self, worker: WorkerKey, kind: WorkKind) -> Size {
        self.share_of_capacity(self.worker(worker).capacity, kind)
    }

    /// Returns the sum of the claims on `worker`, of both kinds; on overflow, only the sum of the
    /// latency-critical claims.
    pub fn claimed(&self, worker: WorkerKey) -> Size {
        let [latency_critical, batch] = self.worker(worker).claimed;
        latency_critical
            .checked_add(batch)
            .unwrap_or(latency_critical)
    }

    /// Returns the worker's capacity.
    pub fn capacity(&self, worker: WorkerKey) -> Size {
        self.worker(worker).capacity
    }

    /// Returns whether the worker takes new claims.
    pub fn is_schedulable(&self, worker: WorkerKey) -> bool {
        self.worker(worker).schedulable
    }

    /// Returns the number of claims on `worker`.
    pub fn claim_count(&self, worker: WorkerKey) -> u32 {
        self.worker(worker).claim_count
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Returns whether some worker, if empty and schedulable, could hold a claim of `size`.
    pub fn can_ever_hold(&self, kind: WorkKind, size: Size) -> bool {
        self.workers
            .iter()
            .any(|worker| size.fits(self.share_of_capacity(worker.capacity, kind)))
    }

    /// Returns the next schedulable worker at or after `from` with `size` available.
    pub(crate) fn next_fit(&self, from: usize, kind: WorkKind, size: Size) -> Option<WorkerKey> {
        self.availability[kind as usize]
            .next_fit(from, size)
            .map(|position| WorkerKey(position as u32))
    }

    /// Stores a claim and adds it to the sums of its worker. If the sum of its kind overflows, the
    /// worker's capacity is taken as the sum.
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
        entry.claim_count += 1;
        self.update_availability(worker);
        ClaimKey {
            position,
            generation,
        }
    }

    fn live_claim(&self, key: ClaimKey) -> Result<(WorkerKey, WorkKind, Size), claim::Error> {
        let slot = self.slots.get(key.position as usize);
        let live = slot.filter(|slot| slot.generation == key.generation);
        live.and_then(|slot| slot.claim)
            .ok_or(claim::Error::AlreadyReleased)
    }

    fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    fn share_of_capacity(&self, capacity: Size, kind: WorkKind) -> Size {
        let percent = match kind {
            WorkKind::LatencyCritical => self.shares.latency_critical_percent,
            WorkKind::Batch => self.shares.batch_percent,
        };
        let share = capacity.percent(percent);
        // An accelerator is indivisible, so a kind of work with any share may claim all of them.
        let accelerators = if percent > 0 {
            capacity.accelerators
        } else {
            0
        };
        Size {
            accelerators,
            ..share
        }
    }

    fn update_availability(&mut self, worker: WorkerKey) {
        for kind in [WorkKind::LatencyCritical, WorkKind::Batch] {
            let schedulable = self.worker(worker).schedulable;
            let available = if schedulable {
                self.available(worker, kind)
            } else {
                Size::ZERO
            };
            self.availability[kind as usize].set(worker.0 as usize, available);
        }
    }
}
