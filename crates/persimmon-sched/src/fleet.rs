use crate::{JobId, TaskId};
use persimmon_types::Size;
use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

/// A runner as the instance list shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerInfo {
    /// Its id, unique among runners.
    pub id: String,
    /// Where it listens, `IP:PORT`.
    pub address: String,
    /// The pool that it belongs to.
    pub service: String,
    /// Whether it takes new tasks.
    pub state: RunnerState,
    /// What it can carry.
    pub capacity: Size,
    /// Its kind and its rack.
    pub labels: Vec<String>,
}

/// Whether a runner takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// What a runner says of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Tells its incarnations apart.
    pub incarnation_ms: u64,
    /// Its steady clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What ended and was not acknowledged yet.
    pub ended: Vec<End>,
}

/// A run that a runner lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStatus {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// A serving task's tail latency in milliseconds, any other task's processor use.
    pub measurement: u64,
    /// The share at which it works.
    pub percent: u8,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Its number, rising within an incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// With success.
    Done,
    /// Through its own fault or the runner's.
    Failed,
    /// It was stopped, its lease lapsed, or its gang broke.
    Cut,
}

/// A key into the engine's runners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct RunnerKey(pub(crate) u32);

/// What one run claims.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    pub(crate) size: Size,
    /// Processor time that a run takes from what others leave idle.
    pub(crate) fill_cpu_millis: u32,
    pub(crate) latency_critical: bool,
    pub(crate) image: Image,
    /// The share at which it may work.
    pub(crate) percent: u8,
    pub(crate) placed_at: Instant,
}

/// A key for the name of what tasks run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Image(pub(crate) u32);

/// A serving run's tail latency, as last reported.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tail {
    pub(crate) run: (TaskId, u32),
    pub(crate) image: Image,
    /// Its ratio to the target.
    pub(crate) ratio: f64,
    /// The logarithm of the ratio.
    pub(crate) ln_ratio: f64,
    /// Since when it has been near or over the target.
    pub(crate) over_since: Option<Instant>,
}

/// A run that fills and was placed lately.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Unseen {
    pub(crate) run: (TaskId, u32),
    pub(crate) image: Image,
    /// The share of the runner's processors that it takes at most.
    pub(crate) share: f64,
    pub(crate) placed_at: Instant,
}

/// An end that may be acknowledged once its job's version is committed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingEnd {
    pub(crate) number: u64,
    pub(crate) job: JobId,
    pub(crate) version: u64,
}

#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) info: RunnerInfo,
    /// The instance list still names it.
    pub(crate) listed: bool,
    pub(crate) incarnation_ms: Option<u64>,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) lease: Lease,
    pub(crate) claims: HashMap<(TaskId, u32), Claim>,
    pub(crate) used: Size,
    pub(crate) fill_cpu_millis: u32,
    pub(crate) serving_cpu_millis: u32,
    pub(crate) ends: VecDeque<PendingEnd>,
    /// The highest end taken into the jobs' state.
    pub(crate) processed: u64,
    /// The highest end that is committed.
    pub(crate) acknowledged: u64,
    /// Runs that failed or never answered since one was done.
    pub(crate) failures: u32,
    pub(crate) avoid_until: Option<Instant>,
    pub(crate) tails: Vec<Tail>,
    /// Runs that fill and were placed so lately that no figure shows them.
    pub(crate) unseen: Vec<Unseen>,
    /// When runs were last slowed, moved or sped up.
    pub(crate) paced_at: Option<Instant>,
}

/// How long a runner's runs may live without hearing from us.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    /// The latest deadline that may have been sent, by anyone, on the runner's clock.
    pub(crate) deadline_ms: u64,
    /// The runner's clock when it was last heard, and when that was.
    pub(crate) sample: Option<(u64, Instant)>,
    /// When runs that nobody told us of may end at the latest.
    pub(crate) unknown_until: Instant,
}

/// A runner's clock may be this much slow, in thousandths.
const CLOCK_SLOW_THOUSANDTHS: u64 = 20;
/// Added to a lease's end before its runs count as gone.
const LAPSE_MARGIN: Duration = Duration::from_millis(300);

impl Lease {
    /// Takes the runner's clock. Earlier owners may have sent deadlines up to `longest` after it.
    pub(crate) fn hear(&mut self, clock_ms: u64, longest: Duration, now: Instant) {
        if self.sample.is_none() {
            self.deadline_ms = clock_ms + longest.as_millis() as u64;
        }
        self.sample = Some((clock_ms, now));
    }

    /// Forgets the clock of an earlier incarnation.
    pub(crate) fn forget(&mut self) {
        self.deadline_ms = 0;
        self.sample = None;
    }

    /// When everything on the runner has ended unless it is heard again.
    pub(crate) fn lapses_at(&self) -> Instant {
        let Some((clock_ms, at)) = self.sample else {
            return self.unknown_until;
        };
        let left_ms = self.deadline_ms.saturating_sub(clock_ms);
        let slow_ms = left_ms * CLOCK_SLOW_THOUSANDTHS / 1_000;
        at + Duration::from_millis(left_ms + slow_ms) + LAPSE_MARGIN
    }
}

impl Runner {
    pub(crate) fn new(info: RunnerInfo, unknown_until: Instant) -> Self {
        Self {
            info,
            listed: true,
            incarnation_ms: None,
            heard_at: None,
            lease: Lease {
                deadline_ms: 0,
                sample: None,
                unknown_until,
            },
            claims: HashMap::new(),
            used: Size::ZERO,
            fill_cpu_millis: 0,
            serving_cpu_millis: 0,
            ends: VecDeque::new(),
            processed: 0,
            acknowledged: 0,
            failures: 0,
            avoid_until: None,
            tails: Vec::new(),
            unseen: Vec::new(),
            paced_at: None,
        }
    }

    pub(crate) fn claim(&mut self, task: TaskId, run: u32, claim: Claim) {
        if self.claims.insert((task, run), claim).is_none() {
            self.used = self.used.checked_add(claim.size).unwrap_or(self.used);
            self.fill_cpu_millis += claim.fill_cpu_millis;
            if claim.fill_cpu_millis > 0 {
                self.unseen.push(Unseen {
                    run: (task, run),
                    image: claim.image,
                    share: self.share(&claim),
                    placed_at: claim.placed_at,
                });
            }
            if claim.latency_critical {
                self.serving_cpu_millis += claim.size.cpu_millis;
            }
        }
    }

    pub(crate) fn release(&mut self, task: TaskId, run: u32) {
        if let Some(claim) = self.claims.remove(&(task, run)) {
            self.used = self.used.saturating_sub(claim.size);
            self.fill_cpu_millis = self.fill_cpu_millis.saturating_sub(claim.fill_cpu_millis);
            self.unseen.retain(|it| it.run != (task, run));
            if claim.latency_critical {
                let left = self.serving_cpu_millis;
                self.serving_cpu_millis = left.saturating_sub(claim.size.cpu_millis);
            }
        }
    }

    /// The share of the processors that a run which fills takes at most.
    pub(crate) fn share(&self, claim: &Claim) -> f64 {
        let capacity = f64::from(self.info.capacity.cpu_millis.max(1));
        f64::from(claim.fill_cpu_millis) / capacity
    }

    pub(crate) fn room(&self) -> Size {
        self.info.capacity.saturating_sub(self.used)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|it| it == label)
    }
}
