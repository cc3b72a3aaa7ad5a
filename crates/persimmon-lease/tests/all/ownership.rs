//! One shard, its owner, a taker and the witnesses between them: messages late or lost, witnesses
//! restarted, the owner cut off or frozen. Never may both act for the shard.

use persimmon_lease::{
    ClockDrift, Extension, Holder, Session, Takeover, TakeoverDecision, Witness,
};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const TTL: Duration = Duration::from_secs(3);
const TERM: Duration = Duration::from_secs(3);
const LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    /// The owner renews its session, if the store still has it and can be reached.
    Renew {
        there_ms: u64,
        back_ms: u64,
    },
    /// The owner asks a witness; the answer comes after both ways.
    AskPromise {
        witness: usize,
        there_ms: u64,
        back_ms: u64,
    },
    /// The owner asks all witnesses.
    AskPromises,
    /// The taker asks a witness for a release.
    AskRelease(usize),
    /// The taker asks all witnesses.
    AskReleases,
    Restart(usize),
    SetStore(bool),
    /// The taker writes the record, if it may.
    Take,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_000u64).prop_map(Step::Pass),
        2 => (0..2_000u64, 0..2_000u64)
            .prop_map(|(there_ms, back_ms)| Step::Renew { there_ms, back_ms }),
        5 => (0..7usize, 0..2_000u64, 0..4_000u64).prop_map(|(witness, there_ms, back_ms)| {
            Step::AskPromise { witness, there_ms, back_ms }
        }),
        4 => (0..7usize).prop_map(Step::AskRelease),
        2 => Just(Step::AskPromises),
        2 => Just(Step::AskReleases),
        3 => (0..40u64).prop_map(Step::Pass),
        1 => (0..7usize).prop_map(Step::Restart),
        1 => any::<bool>().prop_map(Step::SetStore),
        3 => Just(Step::Take),
    ]
}

struct World {
    now_ms: u64,
    base: Instant,
    /// The owner's clock runs slower by this, so that it relies on its leases for longer.
    slow_per_mille: u32,
    witnesses: Vec<(u64, Witness)>,
    names: Vec<String>,
    session: Session,
    session_until_ms: u64,
    extension: Extension,
    heard_at: Instant,
    takeover: Option<Takeover>,
    store_up: bool,
    taken: bool,
}

impl World {
    fn new(witnesses: usize, slow_per_mille: u32) -> Self {
        let (base, drift) = (Instant::now(), ClockDrift::default());
        // All have been running for long.
        let now_ms = 100_000;
        let mut session = Session::new(TTL, drift);
        let mut world = Self {
            now_ms,
            base,
            slow_per_mille,
            witnesses: (0..witnesses)
                .map(|_| (1, Witness::new(TERM, drift, base)))
                .collect(),
            names: (0..witnesses).map(|at| format!("w{at}#1")).collect(),
            session: session.clone(),
            session_until_ms: now_ms + TTL.as_millis() as u64,
            extension: Extension::new(TERM, LIMIT, drift),
            heard_at: base,
            takeover: None,
            store_up: true,
            taken: false,
        };
        let asked_at = world.owner_now();
        session.record_renewal(asked_at);
        world.session = session;
        world.heard_at = asked_at;
        world
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

    fn owner_acts(&self) -> bool {
        let now = self.owner_now();
        let extended = self.extension.valid_until(&self.names, self.heard_at);
        self.session.is_valid(now) || extended.is_some_and(|until| now < until)
    }

    /// Whether the store still lists the owner; its lease ends by the store's own clock.
    fn listed(&self) -> bool {
        self.now_ms < self.session_until_ms
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        assert!(
            !(self.taken && self.owner_acts()),
            "both act at {} ms",
            self.now_ms
        );
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Pass(ms) => self.pass(ms),
            Step::Renew { there_ms, back_ms } => {
                let asked_at = self.owner_now();
                self.pass(there_ms);
                let renewed = self.store_up && self.listed();
                if renewed {
                    self.session_until_ms = self.now_ms + TTL.as_millis() as u64;
                }
                self.pass(back_ms);
                if renewed {
                    self.session.record_renewal(asked_at);
                    self.heard_at = asked_at;
                }
            }
            Step::AskPromise {
                witness,
                there_ms,
                back_ms,
            } => {
                let Some(at) = witness.checked_rem(self.witnesses.len()) else {
                    return;
                };
                let asked_at = self.owner_now();
                self.pass(there_ms);
                let (now, reachable) = (self.now(), self.store_up);
                let (incarnation, witness) = &mut self.witnesses[at];
                let given = witness.promise(&Self::holder(), now, reachable).is_ok();
                let name = format!("w{at}#{incarnation}");
                self.pass(back_ms);
                if given {
                    self.extension.record_promise(&name, asked_at);
                }
            }
            Step::AskPromises => {
                for witness in 0..self.witnesses.len() {
                    self.take(&Step::AskPromise {
                        witness,
                        there_ms: 1,
                        back_ms: 1,
                    });
                }
            }
            Step::AskRelease(witness) => self.ask_release(witness),
            Step::AskReleases => (0..self.witnesses.len()).for_each(|at| self.ask_release(at)),
            Step::Restart(witness) => {
                let Some(at) = witness.checked_rem(self.witnesses.len()) else {
                    return;
                };
                let now = self.now();
                let (incarnation, witness) = &mut self.witnesses[at];
                *incarnation += 1;
                *witness = Witness::new(TERM, ClockDrift::default(), now);
            }
            Step::SetStore(up) => self.store_up = up,
            Step::Take => self.try_take(),
        }
        self.pass(0);
    }

    fn ask_release(&mut self, witness: usize) {
        let Some(at) = witness.checked_rem(self.witnesses.len()) else {
            return;
        };
        if self.listed() || !self.store_up {
            return;
        }
        let (now, names) = (self.now(), self.names.clone());
        let takeover = self
            .takeover
            .get_or_insert_with(|| Takeover::new(names, now, LIMIT, ClockDrift::default()));
        if self.witnesses[at].1.release(&Self::holder(), now).is_ok() {
            takeover.record_release(&self.names[at]);
        }
    }

    fn try_take(&mut self) {
        let may = self
            .takeover
            .as_ref()
            .is_some_and(|it| it.decide(self.now()) == TakeoverDecision::TakeOver);
        if may && self.store_up && !self.listed() {
            self.taken = true;
        }
    }
}

proptest! {
    #[test]
    fn ownership_never_both(
        witnesses in 1..8usize,
        slow_per_mille in 0u32..=9,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut world = World::new(witnesses, slow_per_mille);
        for step in &steps {
            world.take(step);
        }
    }
}

#[test]
fn ownership_dead_owner_is_taken() {
    let mut world = World::new(2, 0);
    world.pass(TTL.as_millis() as u64);
    for witness in 0..2 {
        world.ask_release(witness);
    }
    world.try_take();
    assert!(world.taken);
}

#[test]
fn ownership_outage_is_bridged() {
    let mut world = World::new(2, 0);
    world.store_up = false;
    for _ in 0..20 {
        for witness in 0..2 {
            world.take(&Step::AskPromise {
                witness,
                there_ms: 5,
                back_ms: 5,
            });
        }
        world.pass(1_000);
        assert!(world.owner_acts(), "lost at {} ms", world.now_ms);
    }
    // Not without bound: operators may count on the limit.
    for _ in 0..60 {
        for witness in 0..2 {
            world.take(&Step::AskPromise {
                witness,
                there_ms: 5,
                back_ms: 5,
            });
        }
        world.pass(1_000);
    }
    assert!(!world.owner_acts());
}

/// The owner's clock is as slow as is allowed for; the store's and the witnesses' are not.
#[test]
fn ownership_ends_before_others_think_so() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let slow = |real: Duration| real * (1000 - drift.rate_per_mille) / 1000;
    let mut session = Session::new(TTL, drift);
    session.record_renewal(base);
    assert!(session.is_valid(base + TTL / 2));
    assert!(
        !session.is_valid(base + slow(TTL)),
        "relied on when the store's lease has ended"
    );
    let mut extension = Extension::new(TERM, LIMIT, drift);
    let names = ["w#1".to_owned()];
    extension.record_promise("w#1", base);
    let until = extension.valid_until(&names, base).expect("extended");
    assert!(until > base + TERM / 2);
    assert!(
        until <= base + slow(TERM),
        "relied on when the promise has ended"
    );
    assert_eq!(
        extension.valid_until(&["w#2".to_owned()], base),
        None,
        "another incarnation"
    );
}

/// A write that may have changed the witnesses: a taker may count the old ones or the new.
#[test]
fn ownership_witnesses_in_doubt() {
    let (base, drift) = (Instant::now(), ClockDrift::default());
    let mut extension = Extension::new(TERM, LIMIT, drift);
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
        "d alone may release the new set"
    );
    extension.record_promise("d", base + TERM / 2);
    let until = extension
        .valid_until_all(&both, base)
        .expect("extended by both");
    assert_eq!(until, base + drift.safe_part(TERM));
}
