use crate::{engine::Backoff, JobId, SilentRunner, StepSpec, TaskId};
use persimmon_types::Size;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// A runner as described by the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Unique id of the runner.
    pub id: String,
    /// Listen address, `IP:PORT`.
    pub address: String,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Service (pool of runners) that it belongs to.
    pub service: String,
    /// Whether it accepts new tasks.
    pub state: RunnerState,
    /// How much longer it is slow after its start.
    pub cold_remaining: Duration,
    /// Total resources.
    pub capacity: Size,
    /// Labels; the first is the kind of the runner, the second its rack.
    pub labels: Vec<String>,
}

/// Whether a runner accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerState {
    /// Accepts new tasks.
    Ready,
    /// About to leave; accepts no new tasks.
    Draining,
}

/// Status report of a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identifies the incarnation of the runner: it changes with each restart.
    pub incarnation_ms: u64,
    /// Reading of the runner's monotonic clock.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ended runs that have not been acknowledged yet.
    pub ended: Vec<End>,
    /// Whether there may be ended runs that did not fit in the report.
    pub has_more_ends: bool,
}

/// Status of a run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Tail latency in milliseconds of a latency-critical task; processor use, in thousandths of a
    /// core, of any other task.
    pub measurement: u64,
    /// CPU limit in effect, in percent of what the run may use unthrottled; 0 pauses it.
    pub percent: u8,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Sequence number, increasing within an incarnation of the runner.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// Outcome of the run.
    pub kind: EndKind,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed, through its own fault or the runner's.
    Failed,
    /// The run was stopped, or another member of its gang ended.
    Cut,
    /// The run's lease expired. Ends before it that are not acknowledged count no more.
    Lapsed,
}

/// Index into the engine's runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunnerKey(pub(crate) u32);

/// Resources reserved for one run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) size: Size,
    /// Maximum processor time of a best-effort run; 0 for any other run.
    pub(crate) best_effort_cpu_millis: u32,
    pub(crate) latency_critical: bool,
    pub(crate) image: ImageKey,
    /// Processor use in the last report, in thousandths of a core; `None` before the first one that
    /// covers the run, and for a latency-critical run.
    pub(crate) measured_cpu_millis: Option<u32>,
    /// CPU limit last ordered, in percent; 100 is unthrottled. `None` if an earlier owner may have
    /// ordered any.
    pub(crate) percent: Option<u8>,
    /// When the order of this limit is sent again; `None` once the runner has acknowledged it.
    pub(crate) throttle_due_at: Option<Instant>,
    /// Since when a best-effort run has used no processor time, or was last resumed without effect.
    pub(crate) idle_since: Option<Instant>,
    pub(crate) placed_at: Instant,
}

impl Claim {
    /// Returns whether the run may have been placed by an earlier owner.
    pub(crate) fn is_of_earlier_owner(&self) -> bool {
        self.percent.is_none()
    }

    /// Processor time by what the run used in the last report, in thousandths of a core; before the
    /// first one by what it may use.
    fn busy_cpu_millis(&self) -> i64 {
        if self.latency_critical {
            return i64::from(self.size.cpu_millis) * LATENCY_CRITICAL_USE_PERCENT / 100;
        }
        let most = self.size.cpu_millis + self.best_effort_cpu_millis;
        i64::from(self.measured_cpu_millis.unwrap_or(most))
    }

    /// The claim of an unthrottled run of a step whose image has this key.
    pub(crate) fn new(step: &StepSpec, image: ImageKey, placed_at: Instant) -> Self {
        let best_effort_cpu_millis = if step.best_effort {
            step.size.cpu_millis
        } else {
            0
        };
        Self {
            size: step.claim(),
            best_effort_cpu_millis,
            latency_critical: step.is_latency_critical(),
            image,
            measured_cpu_millis: None,
            percent: Some(100),
            throttle_due_at: None,
            idle_since: None,
            placed_at,
        }
    }
}

/// Interned name of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ImageKey(pub(crate) u32);

/// What the runs of one image claim of a runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ImageClaims {
    pub(crate) latency_critical_runs: u32,
    pub(crate) best_effort_runs: u32,
    pub(crate) best_effort_cpu_millis: u64,
}

/// Tail latency of a latency-critical run, as last reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TailLatency {
    pub(crate) run: (TaskId, u32),
    pub(crate) image: ImageKey,
    /// Ratio of the tail latency to its target.
    pub(crate) ratio: f64,
    /// Natural logarithm of `ratio`.
    pub(crate) ln_ratio: f64,
    /// Since when the ratio has been at or above the throttling threshold; `None` while no
    /// best-effort run uses the runner.
    pub(crate) violating_since: Option<Instant>,
}

/// Tail latencies of the latency-critical runs of one image on a runner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ImageTails {
    pub(crate) image: ImageKey,
    pub(crate) runs: u32,
    /// The highest [`TailLatency::ratio`], and its natural logarithm.
    pub(crate) worst_ratio: f64,
    pub(crate) worst_ln_ratio: f64,
}

/// Best-effort runs too recent to be reflected in measurements.
#[derive(Debug, Default)]
pub(crate) struct UnmeasuredRuns {
    runs: BTreeMap<(TaskId, u32), UnmeasuredRun>,
    /// Maximum processor time of the runs of each image.
    cpu_millis: BTreeMap<ImageKey, u64>,
}

#[derive(Debug, Clone, Copy)]
struct UnmeasuredRun {
    image: ImageKey,
    cpu_millis: u32,
    placed_at: Instant,
}

impl UnmeasuredRuns {
    fn insert(&mut self, run: (TaskId, u32), claim: &Claim) {
        let unmeasured = UnmeasuredRun {
            image: claim.image,
            cpu_millis: claim.best_effort_cpu_millis,
            placed_at: claim.placed_at,
        };
        if self.runs.insert(run, unmeasured).is_none() {
            *self.cpu_millis.entry(claim.image).or_default() +=
                u64::from(claim.best_effort_cpu_millis);
        }
    }

    fn remove(&mut self, run: (TaskId, u32)) {
        let Some(removed) = self.runs.remove(&run) else {
            return;
        };
        if let Some(cpu_millis) = self.cpu_millis.get_mut(&removed.image) {
            *cpu_millis = cpu_millis.saturating_sub(u64::from(removed.cpu_millis));
            if *cpu_millis == 0 {
                self.cpu_millis.remove(&removed.image);
            }
        }
    }

    /// Drops the runs that were placed by this time.
    pub(crate) fn drop_placed_by(&mut self, at: Instant) {
        let measured = self.runs.iter().filter(|(_, it)| it.placed_at <= at);
        let measured: Vec<_> = measured.map(|(&run, _)| run).collect();
        measured.into_iter().for_each(|run| self.remove(run));
    }

    /// Maximum processor time of the runs of each image, in thousandths of a core.
    pub(crate) fn by_image(&self) -> &BTreeMap<ImageKey, u64> {
        &self.cpu_millis
    }
}

/// A best-effort run that was placed to measure its effect.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trial {
    pub(crate) run: (TaskId, u32),
    pub(crate) placed_at: Instant,
    /// Whether a tail latency has reached the throttling threshold since it was placed.
    pub(crate) has_done_harm: bool,
    /// Whether the run has ended and no tail latency is at the threshold any more.
    pub(crate) has_ended: bool,
}

/// An ended run that may be acknowledged once this version of its job is committed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    pub(crate) version: u64,
}

/// Assumed processor use of latency-critical runs, which do not report it, in percent of their claim.
pub(crate) const LATENCY_CRITICAL_USE_PERCENT: i64 = 50;

/// Most ends of a runner that wait behind one that is kept back, half of those that fit in a report:
/// a run whose end does not fit would be taken for lost.
pub(crate) const KEPT_BACK_ENDS_MAX: usize = 250;

/// Version of an end that is not acknowledged while its job is kept: a run that succeeded although
/// it was given up, after another one was started. Acknowledged, both would count.
pub(crate) const NEVER_COMMITTED: u64 = u64::MAX;

#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    /// Whether the instance list contains the runner.
    pub(crate) listed: bool,
    /// Whether its data centre is evacuated.
    pub(crate) is_evacuated: bool,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Option<Instant>,
    pub(crate) incarnation_ms: Option<u64>,
    pub(crate) last_report_at: Option<Instant>,
    /// Whether a report request has gone unanswered since the last report.
    pub(crate) has_missed_report: bool,
    pub(crate) lease: Lease,
    /// Changed by [`Self::claim`], [`Self::release`] and [`Self::set_measured`] alone, but for fields
    /// that no sum below depends on.
    pub(crate) claims: BTreeMap<(TaskId, u32), Claim>,
    /// Sums of the claims by image, without those that are neither latency-critical nor best-effort.
    image_claims: BTreeMap<ImageKey, ImageClaims>,
    /// Number of claims by [`Claim::placed_at`].
    placement_times: BTreeMap<Instant, u32>,
    /// Sum of [`Claim::busy_cpu_millis`].
    busy_cpu_millis: i64,
    pub(crate) used: Size,
    pub(crate) best_effort_cpu_millis: u32,
    pub(crate) latency_critical_cpu_millis: u32,
    pub(crate) pending_ends: VecDeque<PendingEnd>,
    /// Highest sequence number of an ended run applied to the jobs' state.
    pub(crate) processed: u64,
    /// Highest sequence number of an ended run that is committed.
    pub(crate) acknowledged: u64,
    pub(crate) backoff: Backoff,
    /// Whether another runner has taken its address.
    pub(crate) is_replaced: bool,
    /// Runs of tasks that may crash the runner, while they are new.
    pub(crate) suspected_runs: BTreeSet<(TaskId, u32)>,
    /// Whether one of [`Self::suspected_runs`] is of a task that was the only possible cause of a
    /// crash. No other run is placed beside it, so that none is lost or suspected with it.
    pub(crate) has_sole_suspect: bool,
    /// Runs that were new when the runner was last heard, if its runs were given up since, or an
    /// earlier owner found it silent.
    pub(crate) new_runs_given_up: Vec<(TaskId, u32)>,
    /// Set by [`Self::set_tails`].
    tails: Vec<TailLatency>,
    image_tails: Vec<ImageTails>,
    pub(crate) unmeasured: UnmeasuredRuns,
    /// Since when reports have shown no processor use by best-effort runs.
    pub(crate) unused_since: Option<Instant>,
    /// The latest best-effort run on trial, unless its effect is measured and did no harm.
    pub(crate) trial: Option<Trial>,
    /// When runs were last throttled, evicted or unthrottled.
    pub(crate) throttled_at: Option<Instant>,
}

/// Lease that bounds how long the runs of an unreachable runner may continue.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    /// Latest deadline, on the runner's clock, that this owner has sent; 0 before the first.
    pub(crate) deadline_ms: u64,
    /// Latest deadline, on the runner's clock, that an earlier owner may have sent.
    pub(crate) earlier_deadline_ms: u64,
    /// Reading of the runner's clock in its last report, and when the report arrived.
    pub(crate) clock_sample: Option<(u64, Instant)>,
    /// When leases granted by earlier owners have expired, whatever the runner's clock.
    pub(crate) unknown_leases_until: Instant,
    /// When leases that calls meant for an earlier incarnation gave this one have expired.
    misdirected_leases_until: Option<Instant>,
}

/// Maximum drift of a runner's clock, in thousandths.
const CLOCK_DRIFT_PERMILLE: u64 = 20;
/// Maximum lag of a runner's clock over one lease term.
pub(crate) const LEASE_CLOCK_SLACK: Duration = Duration::from_millis(500);
/// How long after the end of a lease its runs are kept while no request for a report has failed: a
/// runner that is not heard because of our own connections may have finished them in time.
const UNASKED_MAX: Duration = Duration::from_secs(8);
/// Safety margin after the end of a lease before its runs count as ended.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(300);

impl Lease {
    /// The lease of a runner of which nothing has been heard.
    fn new(unknown_leases_until: Instant) -> Self {
        Self {
            deadline_ms: 0,
            earlier_deadline_ms: 0,
            clock_sample: None,
            unknown_leases_until,
            misdirected_leases_until: None,
        }
    }

    /// Records that the leases granted by earlier owners have expired by `until`.
    pub(crate) fn limit_earlier_owners(&mut self, until: Instant) {
        let until = self
            .misdirected_leases_until
            .map_or(until, |misdirected| misdirected.max(until));
        self.unknown_leases_until = self.unknown_leases_until.min(until);
    }

    /// Records a reading of the runner's clock. Before the first one, earlier owners may have sent
    /// deadlines up to `lease_term_max` after it.
    pub(crate) fn update_clock(&mut self, clock_ms: u64, lease_term_max: Duration, now: Instant) {
        if self.clock_sample.is_none() {
            self.earlier_deadline_ms = clock_ms.saturating_add(lease_term_max.as_millis() as u64);
        }
        self.clock_sample = Some((clock_ms, now));
    }

    /// Discards the clock of an earlier incarnation. A call without an answer that was meant for
    /// it may have given the new one a lease of up to `lease_term_max`.
    pub(crate) fn reset(&mut self, lease_term_max: Duration, now: Instant) {
        self.deadline_ms = 0;
        self.clock_sample = None;
        let until = now + lease_term_max + LEASE_CLOCK_SLACK;
        self.unknown_leases_until = self.unknown_leases_until.max(until);
        self.misdirected_leases_until = Some(until);
    }

    /// Returns when all runs on the runner have ended, unless the lease is renewed.
    pub(crate) fn expires_at(&self) -> Instant {
        let Some((clock_ms, at)) = self.clock_sample else {
            return self.unknown_leases_until;
        };
        let expires_at = |deadline_ms: u64| {
            let left_ms = deadline_ms.saturating_sub(clock_ms);
            let drift_ms = left_ms.saturating_mul(CLOCK_DRIFT_PERMILLE) / 1_000;
            at + Duration::from_millis(left_ms.saturating_add(drift_ms)) + LEASE_EXPIRY_MARGIN
        };
        let earlier = expires_at(self.earlier_deadline_ms).min(self.unknown_leases_until);
        expires_at(self.deadline_ms).max(earlier)
    }
}

impl Runner {
    pub(crate) fn new(info: RunnerInfo, unknown_leases_until: Instant) -> Self {
        Self {
            info,
            listed: true,
            is_evacuated: false,
            cold_until: None,
            incarnation_ms: None,
            last_report_at: None,
            has_missed_report: false,
            lease: Lease::new(unknown_leases_until),
            claims: BTreeMap::new(),
            image_claims: BTreeMap::new(),
            placement_times: BTreeMap::new(),
            busy_cpu_millis: 0,
            used: Size::ZERO,
            best_effort_cpu_millis: 0,
            latency_critical_cpu_millis: 0,
            pending_ends: VecDeque::new(),
            processed: 0,
            acknowledged: 0,
            backoff: Backoff::default(),
            suspected_runs: BTreeSet::new(),
            is_replaced: false,
            has_sole_suspect: false,
            new_runs_given_up: Vec::new(),
            tails: Vec::new(),
            image_tails: Vec::new(),
            unmeasured: UnmeasuredRuns::default(),
            unused_since: None,
            trial: None,
            throttled_at: None,
        }
    }

    pub(crate) fn claim(&mut self, task: TaskId, run: u32, claim: Claim) {
        match self.claims.insert((task, run), claim) {
            Some(replaced) => self.subtract(&replaced),
            None if claim.best_effort_cpu_millis > 0 => self.unmeasured.insert((task, run), &claim),
            None => {}
        }
        self.add(&claim);
    }

    pub(crate) fn release(&mut self, task: TaskId, run: u32) {
        if let Some(claim) = self.claims.remove(&(task, run)) {
            self.subtract(&claim);
            self.unmeasured.remove((task, run));
            self.remove_suspected_run((task, run));
        }
    }

    /// Sets [`Claim::measured_cpu_millis`] of a run.
    pub(crate) fn set_measured(&mut self, run: (TaskId, u32), cpu_millis: Option<u32>) {
        if let Some(claim) = self.claims.get_mut(&run) {
            self.busy_cpu_millis -= claim.busy_cpu_millis();
            claim.measured_cpu_millis = cpu_millis;
            self.busy_cpu_millis += claim.busy_cpu_millis();
        }
    }

    fn add(&mut self, claim: &Claim) {
        self.used = self.used.checked_add(claim.size).unwrap_or(self.used);
        self.best_effort_cpu_millis += claim.best_effort_cpu_millis;
        self.busy_cpu_millis += claim.busy_cpu_millis();
        *self.placement_times.entry(claim.placed_at).or_default() += 1;
        if claim.latency_critical {
            self.latency_critical_cpu_millis += claim.size.cpu_millis;
            let image = self.image_claims.entry(claim.image).or_default();
            image.latency_critical_runs += 1;
        }
        if claim.best_effort_cpu_millis > 0 {
            let image = self.image_claims.entry(claim.image).or_default();
            image.best_effort_runs += 1;
            image.best_effort_cpu_millis += u64::from(claim.best_effort_cpu_millis);
        }
    }

    fn subtract(&mut self, claim: &Claim) {
        self.used = self.used.saturating_sub(claim.size);
        let best_effort_left = self.best_effort_cpu_millis;
        self.best_effort_cpu_millis = best_effort_left.saturating_sub(claim.best_effort_cpu_millis);
        self.busy_cpu_millis -= claim.busy_cpu_millis();
        if let Some(count) = self.placement_times.get_mut(&claim.placed_at) {
            *count -= 1;
            if *count == 0 {
                self.placement_times.remove(&claim.placed_at);
            }
        }
        let Some(image) = self.image_claims.get_mut(&claim.image) else {
            return;
        };
        if claim.latency_critical {
            let left = self.latency_critical_cpu_millis;
            self.latency_critical_cpu_millis = left.saturating_sub(claim.size.cpu_millis);
            image.latency_critical_runs -= 1;
        }
        if claim.best_effort_cpu_millis > 0 {
            image.best_effort_runs -= 1;
            image.best_effort_cpu_millis -= u64::from(claim.best_effort_cpu_millis);
        }
        if image.latency_critical_runs == 0 && image.best_effort_runs == 0 {
            self.image_claims.remove(&claim.image);
        }
    }

    /// Sums of the latency-critical and best-effort claims by image.
    pub(crate) fn image_claims(&self) -> &BTreeMap<ImageKey, ImageClaims> {
        &self.image_claims
    }

    /// Processor time in use by the last report, in thousandths of a core.
    pub(crate) fn busy_cpu_millis(&self) -> i64 {
        self.busy_cpu_millis
    }

    pub(crate) fn tails(&self) -> &[TailLatency] {
        &self.tails
    }

    pub(crate) fn image_tails(&self) -> &[ImageTails] {
        &self.image_tails
    }

    /// The highest ratio of a tail latency to its target; 0 for none.
    pub(crate) fn worst_tail_ratio(&self) -> f64 {
        let images = self.image_tails.iter();
        images.map(|it| it.worst_ratio).fold(0.0, f64::max)
    }

    pub(crate) fn set_tails(&mut self, tails: Vec<TailLatency>) {
        let mut images: BTreeMap<ImageKey, ImageTails> = BTreeMap::new();
        for tail in &tails {
            let image = images.entry(tail.image).or_insert(ImageTails {
                image: tail.image,
                runs: 0,
                worst_ratio: tail.ratio,
                worst_ln_ratio: tail.ln_ratio,
            });
            image.runs += 1;
            image.worst_ratio = image.worst_ratio.max(tail.ratio);
            image.worst_ln_ratio = image.worst_ln_ratio.max(tail.ln_ratio);
        }
        self.tails = tails;
        self.image_tails = images.into_values().collect();
    }

    /// Restores what an earlier owner knew of a runner that may have crashed under a new run.
    pub(crate) fn restore_silence(&mut self, silent: &SilentRunner, run: (TaskId, u32)) {
        if self.info.address.is_empty() {
            self.info.address.clone_from(&silent.address);
        }
        self.incarnation_ms.get_or_insert(silent.incarnation_ms);
        self.new_runs_given_up.push(run);
    }

    pub(crate) fn remove_suspected_run(&mut self, run: (TaskId, u32)) {
        self.suspected_runs.remove(&run);
        self.has_sole_suspect &= !self.suspected_runs.is_empty();
    }

    /// Share of the runner's processors that this time is, in thousandths of a core.
    pub(crate) fn share(&self, cpu_millis: u64) -> f64 {
        cpu_millis as f64 / f64::from(self.info.capacity.cpu_millis.max(1))
    }

    /// Returns whether the lease has expired on a runner that is not listed or does not answer, or
    /// long ago on any other.
    pub(crate) fn has_lost_runs(&self, now: Instant) -> bool {
        let is_asked = self.has_missed_report || !self.listed;
        let grace = if is_asked {
            Duration::ZERO
        } else {
            UNASKED_MAX
        };
        now >= self.lease.expires_at() + grace
    }

    /// Returns whether failures keep new tasks off the runner: it is backed off from, or on probation
    /// with a new task.
    pub(crate) fn is_backed_off(&self, now: Instant) -> bool {
        let has_new_task = |since: Instant| self.last_placed_at().is_some_and(|at| at >= since);
        !self.backoff.is_over(now) || self.backoff.probation_since(now).is_some_and(has_new_task)
    }

    /// Returns whether a task of this job may find out if the runner is the cause of its failures.
    pub(crate) fn may_be_probed_by(&self, job: JobId, now: Instant) -> bool {
        let since = self.backoff.probe_since(job, now);
        since.is_some_and(|since| self.last_placed_at().is_none_or(|at| at < since))
    }

    /// When the newest of its claims was placed.
    fn last_placed_at(&self) -> Option<Instant> {
        self.placement_times.keys().next_back().copied()
    }

    /// Updates the description of the runner by the instance list. An entry says how long the runner
    /// stays cold as of its last change.
    pub(crate) fn update(&mut self, info: RunnerInfo, now: Instant) {
        let has_changed = info.cold_remaining != self.info.cold_remaining;
        if has_changed {
            self.cold_until = (!info.cold_remaining.is_zero()).then(|| now + info.cold_remaining);
        }
        self.info = info;
        self.listed = true;
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns whether the runner is given no new tasks, whatever its state: it leaves, has left or is
    /// evacuated.
    pub(crate) fn is_closed(&self) -> bool {
        !self.listed || self.is_evacuated || self.info.state == RunnerState::Draining
    }

    pub(crate) fn free_capacity(&self) -> Size {
        self.info.capacity.saturating_sub(self.used)
    }

    /// Returns whether the claim of a run fits into the capacity beside all others.
    pub(crate) fn fits_beside_others(&self, run: (TaskId, u32)) -> bool {
        self.claims.get(&run).is_some_and(|claim| {
            let others = self.used.saturating_sub(claim.size);
            claim.size.fits(self.info.capacity.saturating_sub(others))
        })
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|it| it == label)
    }
}
