//! Data centres that operators evacuate: their runners are given no new tasks.

use super::Engine;
use crate::fleet::RunnerKey;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// As of when the lists are known that say where tasks may not be started.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Listings {
    runners_as_of: Option<Instant>,
    evacuations_as_of: Option<Instant>,
}

/// An evacuation in force.
#[derive(Debug, Clone, Copy)]
pub(super) struct Evacuation {
    /// Revision of the request in the store.
    revision: u64,
    since: Instant,
}

/// Data centres that are evacuated, by name.
pub(super) type Evacuations = BTreeMap<String, Evacuation>;

impl Engine {
    /// Records that all changes of the instance list before `as_of` have been passed on.
    pub fn confirm_listing(&mut self, as_of: Instant) {
        let known = &mut self.listings.runners_as_of;
        *known = (*known).max(Some(as_of));
    }

    /// Records that all requests for evacuations, and their ends, before `as_of` have been passed on.
    pub fn confirm_evacuations(&mut self, as_of: Instant) {
        let known = &mut self.listings.evacuations_as_of;
        *known = (*known).max(Some(as_of));
    }

    /// Returns whether the instance list, and the list of evacuations where there is one, are known
    /// well enough to start tasks: a runner that leaves or is evacuated is in the part that is not
    /// known yet.
    pub(crate) fn is_listing_current(&self, now: Instant) -> bool {
        let is_current = |as_of: Option<Instant>| {
            as_of.is_some_and(|at| now < at + self.options.listing_age_max)
        };
        is_current(self.listings.runners_as_of)
            && (!self.options.follows_evacuations || is_current(self.listings.evacuations_as_of))
    }

    /// Gives the runners of a data centre no new tasks from now on, as the request with this revision
    /// asks. What runs there goes on; tasks whose start is not ordered yet are placed elsewhere.
    pub fn begin_evacuation(&mut self, data_centre: &str, revision: u64, now: Instant) {
        if data_centre.is_empty() {
            log::warn!("event=evacuation.invalid revision={revision} fault=\"no data centre\"");
            return;
        }
        if let Some(known) = self.evacuations.get_mut(data_centre) {
            known.revision = revision;
            return;
        }
        let evacuation = Evacuation {
            revision,
            since: now,
        };
        self.evacuations.insert(data_centre.to_owned(), evacuation);
        let keys = self.runners_in(data_centre);
        for &key in &keys {
            self.runner_mut(key).is_evacuated = true;
            self.release_uncommitted(key, now);
        }
        let runs: usize = keys.iter().map(|&key| self.runner(key).claims.len()).sum();
        log::info!(
            "event=evacuation.begin data_centre={data_centre} revision={revision} \
             known_age_ms={:?} runners={} runs={runs}",
            self.evacuations_age(now).map(|age| age.as_millis()),
            keys.len()
        );
    }

    /// Gives the runners of a data centre tasks again.
    pub fn end_evacuation(&mut self, data_centre: &str, now: Instant) {
        let Some(evacuation) = self.evacuations.remove(data_centre) else {
            return;
        };
        let keys = self.runners_in(data_centre);
        for &key in &keys {
            self.runner_mut(key).is_evacuated = false;
        }
        let runs: usize = keys.iter().map(|&key| self.runner(key).claims.len()).sum();
        log::info!(
            "event=evacuation.end data_centre={data_centre} revision={} lasted_ms={} \
             known_age_ms={:?} runners={} runs={runs}",
            evacuation.revision,
            now.saturating_duration_since(evacuation.since).as_millis(),
            self.evacuations_age(now).map(|age| age.as_millis()),
            keys.len()
        );
    }

    /// Returns whether the runners of a data centre are given no new tasks.
    pub(super) fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuations.contains_key(data_centre)
    }

    fn runners_in(&self, data_centre: &str) -> Vec<RunnerKey> {
        let runners = self.runners.iter().enumerate();
        let inside = runners.filter(|(_, runner)| runner.info.data_centre == data_centre);
        inside.map(|(at, _)| RunnerKey(at as u32)).collect()
    }

    fn evacuations_age(&self, now: Instant) -> Option<Duration> {
        let as_of = self.listings.evacuations_as_of?;
        Some(now.saturating_duration_since(as_of))
    }
}
