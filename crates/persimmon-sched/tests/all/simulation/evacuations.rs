//! Data centres that are evacuated and taken back beside the other faults. Their choices have a
//! generator of their own, so that simulations without them stay as they are.

use super::{Simulation, FAULTS_MS, LISTING_AGE_MAX_MS, LIST_DELAY_MAX_MS};
use persimmon_sched::{Engine, Options, TaskId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

const DATA_CENTRES: [&str; 2] = ["a", "b"];
/// Chance of a change per tick, in thousandths.
const CHANGE_PERMILLE: u32 = 10;

/// Data centre of a worker, by its number.
pub(super) fn data_centre(worker: &str) -> &'static str {
    let number: usize = worker[1..].parse().expect("a number");
    DATA_CENTRES[number % 2]
}

/// A change that has not reached the owners yet.
struct Change {
    made_at_ms: u64,
    at_ms: u64,
    data_centre: &'static str,
    is_requested: bool,
}

#[derive(Default)]
pub(super) struct Evacuations {
    /// `None` in simulations without evacuations.
    rng: Option<ChaCha8Rng>,
    /// When each evacuation in force was requested.
    requested_ms: BTreeMap<&'static str, u64>,
    /// In the order in which they were made.
    changes: Vec<Change>,
    revision: u64,
}

impl Evacuations {
    /// Tells an owner as of when it knows the evacuations.
    pub(super) fn confirm(&self, engine: &mut Engine, now: Instant, started_at: Instant) {
        if self.rng.is_none() {
            return;
        }
        let oldest = self.changes.first();
        let as_of = oldest.map(|it| started_at + Duration::from_millis(it.made_at_ms));
        engine.confirm_evacuations(as_of.unwrap_or(now));
    }

    fn set(&mut self, data_centre: &'static str, is_requested: bool, now_ms: u64, delay_ms: u64) {
        if is_requested {
            self.requested_ms.insert(data_centre, now_ms);
        } else {
            self.requested_ms.remove(data_centre);
        }
        // Changes arrive in order.
        let earliest_ms = self.changes.last().map_or(0, |it| it.at_ms);
        self.changes.push(Change {
            made_at_ms: now_ms,
            at_ms: (now_ms + delay_ms).max(earliest_ms),
            data_centre,
            is_requested,
        });
    }
}

impl Simulation {
    pub(super) fn with_evacuations(seed: u64) -> Self {
        let mut simulation = Self::new(seed, 1);
        simulation.evacuations.rng = Some(ChaCha8Rng::seed_from_u64(seed));
        simulation.owners.clear();
        simulation.take_over();
        simulation
    }

    pub(super) fn options(&self) -> Options {
        Options {
            follows_evacuations: self.evacuations.rng.is_some(),
            ..Options::default()
        }
    }

    /// Shows a new owner the evacuations as they are, and the others all changes before.
    pub(super) fn show_evacuations(&mut self, engine: &mut Engine) {
        self.deliver_evacuations(u64::MAX);
        let now = self.now();
        for data_centre in self.evacuations.requested_ms.keys() {
            engine.begin_evacuation(data_centre, self.evacuations.revision, now);
        }
    }

    /// Requests evacuations and takes them back at times, while there are faults.
    pub(super) fn change_evacuations(&mut self) {
        let now_ms = self.now_ms;
        self.deliver_evacuations(now_ms);
        if now_ms >= FAULTS_MS {
            return;
        }
        let Some(rng) = &mut self.evacuations.rng else {
            return;
        };
        if rng.random_range(0..1_000) < CHANGE_PERMILLE {
            let data_centre = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
            let delay_ms = rng.random_range(0..LIST_DELAY_MAX_MS);
            let is_requested = !self.evacuations.requested_ms.contains_key(data_centre);
            self.evacuations
                .set(data_centre, is_requested, now_ms, delay_ms);
        }
    }

    pub(super) fn end_evacuations(&mut self) {
        let now_ms = self.now_ms;
        for data_centre in DATA_CENTRES {
            if self.evacuations.requested_ms.contains_key(data_centre) {
                self.evacuations.set(data_centre, false, now_ms, 0);
            }
        }
        self.deliver_evacuations(u64::MAX);
    }

    fn deliver_evacuations(&mut self, until_ms: u64) {
        let now = self.now();
        while let Some(change) = self.evacuations.changes.first() {
            if change.at_ms > until_ms {
                break;
            }
            let change = self.evacuations.changes.remove(0);
            self.evacuations.revision += 1;
            for owner in &mut self.owners {
                if change.is_requested {
                    let revision = self.evacuations.revision;
                    owner
                        .engine
                        .begin_evacuation(change.data_centre, revision, now);
                } else {
                    owner.engine.end_evacuation(change.data_centre, now);
                }
            }
        }
    }

    /// No start is sent to a worker that has been evacuated for longer than the list may be old.
    pub(super) fn check_evacuation(&self, worker: usize, task: TaskId) {
        let id = &self.workers[worker].id;
        if let Some(since_ms) = self.evacuations.requested_ms.get(data_centre(id)) {
            let evacuated_ms = self.now_ms - since_ms;
            assert!(
                evacuated_ms <= LISTING_AGE_MAX_MS,
                "{task} starts on {id}, which is evacuated for {evacuated_ms} ms"
            );
        }
    }
}
