//! Checks that the owner of a shard and a taker are never active at once: messages are delayed or
//! lost, witnesses restart, and the owner is partitioned or frozen.

use persimmon_lease::{
    ClockDrift, Extension, Holder, Session, Takeover, TakeoverDecision, Witness,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const TTL: Duration = Duration::from_secs(3);
const PROMISE_TERM: Duration = Duration::from_secs(3);
const OUTAGE_LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    /// The owner renews its session, which succeeds if the store is reachable and still has it.
    Renew {
        request_delay_ms: u64,
        response_delay_ms: u64,
    },
    /// The owner requests a promise from a witness.
    RequestPromise {
        witness: usize,
        request_delay_ms: u64,
        response_delay_ms: u64,
    },
    /// The owner requests a promise from every witness.
    RequestPromises,
    /// The taker requests a release from a witness.
    RequestRelease(usize),
    /// The taker requests a release from every witness.
    RequestReleases,
    RestartWitness(usize),
    SetStoreReachable(bool),
    /// The taker writes the shard's record, if it may.
    TakeOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        // Up to the length of a lease or a promise.
        3 => (0..3_000u64).prop_map(Step::Advance),
        2 => (0..2_000u64, 0..2_000u64)
            .prop_map(|(request_delay_ms, response_delay_ms)| {
                Step::Renew { request_delay_ms, response_delay_ms }
            }),
        5 => (0..7usize, 0..2_000u64, 0..4_000u64)
            .prop_map(|(witness, request_delay_ms, response_delay_ms)| {
                Step::RequestPromise { witness, request_delay_ms, response_delay_ms }
            }),
        4 => (0..7usize).prop_map(Step::RequestRelease),
        2 => Just(Step::RequestPromises),
        2 => Just(Step::RequestReleases),
        // Much shorter than a lease or a promise.
        3 => (0..40u64).prop_map(Step::Advance),
        1 => (0..7usize).prop_map(Step::RestartWitness),
        1 => any::<bool>().prop_map(Step::SetStoreReachable),
        3 => Just(Step::TakeOver),
    ]
}

struct Simulation {
    now_ms: u64,
    base: Instant,
    /// How much slower the owner's clock runs, so that it relies on its leases for longer.
    slow_per_mille: u32,
    /// Each witness with its incarnation, which is part of the name that it promises under.
    witnesses: Vec<(u64, Witness)>,
    witness_names: Vec<String>,
    session: Session,
    store_lease_until_ms: u64,
    extension: Extension,
    store_confirmed_at: Instant,
    takeover: Option<Takeover>,
    store_reachable: bool,
    taken_over: bool,
}

impl Simulation {
    fn new(witnesses: usize, slow_per_mille: u32) -> Self {
        let (base, drift) = (Instant::now(), ClockDrift::default());
        // Every witness is past its startup wait.
        let now_ms = 100_000;
        let mut session = Session::new(TTL, drift);
        let mut simulation = Self {
            now_ms,
            base,
            slow_per_mille,
            witnesses: (0..witnesses)
                .map(|_| (1, Witness::new(PROMISE_TERM, drift, base)))
                .collect(),
            witness_names: (0..witnesses).map(|index| format!("w{index}#1")).collect(),
            session: session.clone(),
            store_lease_until_ms: now_ms + TTL.as_millis() as u64,
            extension: Extension::new(PROMISE_TERM, OUTAGE_LIMIT, drift),
            store_confirmed_at: base,
            takeover: None,
            store_reachable: true,
            taken_over: false,
        };
        let sent_at = simulation.owner_now();
        session.record_renewal(sent_at);
        simulation.session = session;
        simulation.store_confirmed_at = sent_at;
        simulation
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn owner_now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms) * (1000 - self.slow_per_mille) / 1000
    }

    fn holder() -> Holder {
        Holder {
            member: "owner".to_owned(),
            incarnation: 1,
        }
    }

    fn owner_is_active(&self) -> bool {
        let now = self.owner_now();
        let extended = self
            .extension
            .valid_until(&self.witness_names, self.store_confirmed_at);
        self.session.is_valid(now) || extended.is_some_and(|until| now < until)
    }

    /// Whether the store still lists the owner, whose lease expires by the store's clock.
    fn owner_is_listed(&self) -> bool {
        self.now_ms < self.store_lease_until_ms
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        assert!(
            !(self.taken_over && self.owner_is_active()),
            "owner and taker are both active at {} ms",
            self.now_ms
        );
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.advance(ms),
            Step::Renew {
                request_delay_ms,
                response_delay_ms,
            } => {
                let sent_at = self.owner_now();
                self.advance(request_delay_ms);
                let renewed = self.store_reachable && self.owner_is_listed();
                if renewed {
                    self.store_lease_until_ms = self.now_ms + TTL.as_millis() as u64;
                }
                self.advance(response_delay_ms);
                if renewed {
                    self.session.record_renewal(sent_at);
                    self.store_confirmed_at = sent_at;
                }
            }
            Step::RequestPromise {
                witness,
                request_delay_ms,
                response_delay_ms,
            } => {
                let Some(index) = witness.checked_rem(self.witnesses.len()) else {
                    return;
                };
                let sent_at = self.owner_now();
                self.advance(request_delay_ms);
                let (now, reachable) = (self.now(), self.store_reachable);
                let (incarnation, witness) = &mut self.witnesses[index];
                let granted = witness.promise(&Self::holder(), now, reachable).is_ok();
                let name = format!("w{index}#{incarnation}");
                self.advance(response_delay_ms);
                if granted {
                    self.extension.record_promise(&name, sent_at);
                }
            }
            Step::RequestPromises => {
                for witness in 0..self.witnesses.len() {
                    self.apply(&Step::RequestPromise {
                        witness,
                        request_delay_ms: 1,
                        response_delay_ms: 1,
                    });
                }
            }
            Step::RequestRelease(witness) => self.request_release(witness),
            Step::RequestReleases => {
                (0..self.witnesses.len()).for_each(|index| self.request_release(index))
            }
            Step::RestartWitness(witness) => {
                let Some(index) = witness.checked_rem(self.witnesses.len()) else {
                    return;
                };
                let now = self.now();
                let (incarnation, witness) = &mut self.witnesses[index];
                *incarnation += 1;
                *witness = Witness::new(PROMISE_TERM, ClockDrift::default(), now);
            }
            Step::SetStoreReachable(reachable) => self.store_reachable = reachable,
            Step::TakeOver => self.try_take_over(),
        }
        // Checks the ownership after steps that take no time as well.
        self.advance(0);
    }

    fn request_release(&mut self, witness: usize) {
        let Some(index) = witness.checked_rem(self.witnesses.len()) else {
            return;
        };
        if self.owner_is_listed() || !self.store_reachable {
            return;
        }
        let (now, witness_names) = (self.now(), self.witness_names.clone());
        let takeover = self.takeover.get_or_insert_with(|| {
            Takeover::new(witness_names, now, OUTAGE_LIMIT, ClockDrift::default())
        });
        if self.witnesses[index]
            .1
            .release(&Self::holder(), now)
            .is_ok()
        {
            takeover.record_release(&self.witness_names[index]);
        }
    }

    fn try_take_over(&mut self) {
        let may_take_over = self
            .takeover
            .as_ref()
            .is_some_and(|takeover| takeover.decide(self.now()) == TakeoverDecision::TakeOver);
        if may_take_over && self.store_reachable && !self.owner_is_listed() {
            self.taken_over = true;
        }
    }
}

proptest! {
    #[test]
    fn ownership_is_exclusive(
        witnesses in 1..8usize,
        slow_per_mille in 0u32..=9,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut simulation = Simulation::new(witnesses, slow_per_mille);
        for step in &steps {
            simulation.apply(step);
        }
    }
}

#[test]
fn ownership_is_taken_over_from_a_dead_owner() {
    let mut simulation = Simulation::new(2, 0);
    simulation.advance(TTL.as_millis() as u64);
    for witness in 0..2 {
        simulation.request_release(witness);
    }
    simulation.try_take_over();
    assert!(simulation.taken_over);
}

#[test]
fn ownership_is_extended_during_a_store_outage() {
    let mut simulation = Simulation::new(2, 0);
    simulation.store_reachable = false;
    for _ in 0..20 {
        for witness in 0..2 {
            simulation.apply(&Step::RequestPromise {
                witness,
                request_delay_ms: 5,
                response_delay_ms: 5,
            });
        }
        simulation.advance(1_000);
        assert!(
            simulation.owner_is_active(),
            "ownership lost at {} ms",
            simulation.now_ms
        );
    }
    // The extension is bounded: operators rely on the outage limit.
    for _ in 0..60 {
        for witness in 0..2 {
            simulation.apply(&Step::RequestPromise {
                witness,
                request_delay_ms: 5,
                response_delay_ms: 5,
            });
        }
        simulation.advance(1_000);
    }
    assert!(!simulation.owner_is_active());
}

/// The owner's clock is as slow as the drift allows; those of the store and witnesses are exact.
#[test]
fn ownership_ends_first_on_a_slow_clock() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let slow = |real: Duration| real * (1000 - drift.rate_per_mille) / 1000;
    let mut session = Session::new(TTL, drift);
    session.record_renewal(base);
    assert!(session.is_valid(base + TTL / 2));
    assert!(
        !session.is_valid(base + slow(TTL)),
        "still valid after the lease in the store has expired"
    );
    let mut extension = Extension::new(PROMISE_TERM, OUTAGE_LIMIT, drift);
    let names = ["w#1".to_owned()];
    extension.record_promise("w#1", base);
    let until = extension.valid_until(&names, base).expect("extended");
    assert!(until > base + PROMISE_TERM / 2);
    assert!(
        until <= base + slow(PROMISE_TERM),
        "still valid after the promise has expired"
    );
    assert_eq!(
        extension.valid_until(&["w#2".to_owned()], base),
        None,
        "the promise came from another incarnation"
    );
}

/// After a write with an unknown outcome a taker may count the old witnesses or the new ones.
#[test]
fn ownership_needs_both_witness_sets_after_an_uncertain_write() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let mut extension = Extension::new(PROMISE_TERM, OUTAGE_LIMIT, drift);
    let set = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    let (old, new) = (set(&["b", "c", "d"]), set(&["c", "d"]));
    extension.record_promise("b", base);
    extension.record_promise("c", base);
    assert!(extension.valid_until(&old, base).is_some());
    let both = [old, new];
    assert_eq!(
        extension.valid_until_all(&both, base),
        None,
        "a release by d alone suffices for the new set"
    );
    extension.record_promise("d", base + PROMISE_TERM / 2);
    let until = extension
        .valid_until_all(&both, base)
        .expect("extended by both sets");
    assert_eq!(until, base + drift.safe_term(PROMISE_TERM));
}
