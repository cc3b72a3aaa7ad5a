//! Compares the ledger with plain sums over random sequences of claims, releases, resizes and
//! changes of the workers.

use persimmon_place::{naive, place, ClaimKey, Ledger, Shares, WorkKind, WorkerKey};
use persimmon_types::Size;
use proptest::prelude::*;

const SHARES: Shares = Shares {
    latency_critical_percent: 60,
    batch_percent: 50,
};

#[derive(Debug, Clone, Copy)]
enum Step {
    AddWorker(Size),
    Claim {
        worker: usize,
        kind: WorkKind,
        size: Size,
    },
    Place {
        kind: WorkKind,
        size: Size,
        start: usize,
    },
    Release(usize),
    Resize {
        claim: usize,
        size: Size,
    },
    SetSchedulable {
        worker: usize,
        schedulable: bool,
    },
    SetReserve {
        worker: usize,
        size: Size,
    },
    SetCapacity {
        worker: usize,
        size: Size,
    },
}

fn size(limit: u32) -> impl Strategy<Value = Size> {
    (1..limit, 0..limit, 0..3u32).prop_map(|(cpu_millis, memory_mib, accelerators)| Size {
        cpu_millis,
        memory_mib,
        accelerators,
    })
}

fn kind() -> impl Strategy<Value = WorkKind> {
    prop_oneof![Just(WorkKind::LatencyCritical), Just(WorkKind::Batch)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => size(100).prop_map(Step::AddWorker),
        4 => (any::<usize>(), kind(), size(40))
            .prop_map(|(worker, kind, size)| Step::Claim { worker, kind, size }),
        4 => (kind(), size(40), any::<usize>())
            .prop_map(|(kind, size, start)| Step::Place { kind, size, start }),
        3 => any::<usize>().prop_map(Step::Release),
        2 => (any::<usize>(), size(40)).prop_map(|(claim, size)| Step::Resize { claim, size }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(worker, schedulable)| Step::SetSchedulable { worker, schedulable }),
        1 => (any::<usize>(), size(30))
            .prop_map(|(worker, size)| Step::SetReserve { worker, size }),
        1 => (any::<usize>(), size(100))
            .prop_map(|(worker, size)| Step::SetCapacity { worker, size }),
    ]
}

struct ModelClaim {
    key: ClaimKey,
    worker: usize,
    kind: WorkKind,
    size: Size,
}

struct Model {
    ledger: Ledger,
    keys: Vec<WorkerKey>,
    capacity: Vec<Size>,
    reserve: Vec<Size>,
    schedulable: Vec<bool>,
    claims: Vec<ModelClaim>,
    released: Vec<ClaimKey>,
}

fn sum(sizes: impl Iterator<Item = Size>) -> Size {
    sizes.fold(Size::ZERO, |sum, size| {
        sum.checked_add(size).expect("small sizes")
    })
}

impl Model {
    fn claimed(&self, worker: usize, kind: Option<WorkKind>) -> Size {
        let here = self.claims.iter().filter(|claim| claim.worker == worker);
        sum(here
            .filter(|claim| kind.is_none_or(|kind| claim.kind == kind))
            .map(|claim| claim.size))
    }

    /// Whether a claim of `extra` is within the share and the capacity, computed from plain sums.
    fn admits(&self, worker: usize, kind: WorkKind, extra: Size) -> bool {
        let percent = match kind {
            WorkKind::LatencyCritical => SHARES.latency_critical_percent,
            WorkKind::Batch => SHARES.batch_percent,
        };
        let capacity = self.capacity[worker];
        let mut share = capacity.percent(percent);
        share.accelerators = capacity.accelerators;
        let kind_total = sum([self.claimed(worker, Some(kind)), extra].into_iter());
        let all = [self.claimed(worker, None), self.reserve[worker], extra];
        kind_total.fits(share) && sum(all.into_iter()).fits(capacity)
    }

    fn apply(&mut self, step: Step) {
        let workers = self.keys.len();
        match step {
            Step::AddWorker(size) => {
                self.keys.push(self.ledger.add(size));
                self.capacity.push(size);
                self.reserve.push(Size::ZERO);
                self.schedulable.push(true);
            }
            _ if workers == 0 => {}
            Step::Claim { worker, kind, size } => {
                let worker = worker % workers;
                let result = self.ledger.claim(self.keys[worker], kind, size);
                let expected = self.schedulable[worker] && self.admits(worker, kind, size);
                assert_eq!(result.is_ok(), expected, "{size} on {worker}: {result:?}");
                self.claims.extend(result.ok().map(|key| ModelClaim {
                    key,
                    worker,
                    kind,
                    size,
                }));
            }
            Step::Place { kind, size, start } => self.place(kind, size, start),
            Step::Release(claim) => {
                if !self.claims.is_empty() {
                    let claim = self.claims.swap_remove(claim % self.claims.len());
                    self.ledger.release(claim.key).expect("a live claim");
                    self.released.push(claim.key);
                }
                // A claim can be released only once.
                for key in &self.released {
                    assert!(self.ledger.release(*key).is_err());
                }
            }
            Step::Resize { claim, size } => self.resize(claim, size),
            Step::SetSchedulable {
                worker,
                schedulable,
            } => {
                self.schedulable[worker % workers] = schedulable;
                self.ledger
                    .set_schedulable(self.keys[worker % workers], schedulable);
            }
            Step::SetReserve { worker, size } => {
                self.reserve[worker % workers] = size;
                self.ledger.set_reserve(self.keys[worker % workers], size);
            }
            Step::SetCapacity { worker, size } => {
                self.capacity[worker % workers] = size;
                self.ledger.set_capacity(self.keys[worker % workers], size);
            }
        }
    }

    /// Checks that `place()` and the baseline find a worker if and only if one fits, and that they
    /// find one that fits.
    fn place(&mut self, kind: WorkKind, size: Size, start: usize) {
        let fits = |worker: &usize| self.schedulable[*worker] && self.admits(*worker, kind, size);
        let any = (0..self.keys.len()).any(|worker| fits(&worker));
        let options = place::Options::default();
        let found = place(&self.ledger, kind, size, start, options, |_| 0);
        let baseline = naive::first_fit(&self.ledger, kind, size);
        assert_eq!(found.is_some(), any);
        assert_eq!(baseline.is_some(), any);
        for key in [found, baseline].into_iter().flatten() {
            assert!(fits(&key.index()));
        }
    }

    fn resize(&mut self, claim: usize, size: Size) {
        if self.claims.is_empty() {
            return;
        }
        let at = claim % self.claims.len();
        let ModelClaim {
            key,
            worker,
            kind,
            size: old_size,
        } = self.claims[at];
        let growth = size.saturating_sub(old_size);
        let expected = growth == Size::ZERO || self.admits(worker, kind, growth);
        let result = self.ledger.resize(key, size);
        assert_eq!(result.is_ok(), expected, "{old_size} to {size}: {result:?}");
        if expected {
            self.claims[at].size = size;
        }
    }

    fn check(&self) {
        for (at, key) in self.keys.iter().enumerate() {
            assert_eq!(self.ledger.claimed(*key), self.claimed(at, None));
            assert_eq!(
                self.ledger.claim_count(*key) as usize,
                self.claims
                    .iter()
                    .filter(|claim| claim.worker == at)
                    .count()
            );
        }
    }
}

proptest! {
    #[test]
    fn ledger_matches_plain_sums(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model {
            ledger: Ledger::new(SHARES),
            keys: Vec::new(),
            capacity: Vec::new(),
            reserve: Vec::new(),
            schedulable: Vec::new(),
            claims: Vec::new(),
            released: Vec::new(),
        };
        for step in steps {
            model.apply(step);
            model.check();
        }
    }
}

#[test]
fn ledger_capacity_is_shared_by_both_kinds() {
    let capacity = Size {
        cpu_millis: 100,
        memory_mib: 100,
        accelerators: 1,
    };
    let mut ledger = Ledger::new(Shares {
        latency_critical_percent: 100,
        batch_percent: 100,
    });
    let worker = ledger.add(capacity);
    ledger
        .claim(worker, WorkKind::Batch, capacity)
        .expect("the whole capacity is available");
    let one = Size {
        cpu_millis: 1,
        memory_mib: 0,
        accelerators: 0,
    };
    ledger
        .claim(worker, WorkKind::LatencyCritical, one)
        .expect_err("nothing is left for the other kind");
}
