//! What an owner and its relays exchange.

use persimmon_sched::{Answer, End, EndKind, Report, RunStatus, TaskId};
use serde::{Deserialize, Serialize};

/// Where a runner is called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerAddress {
    /// Unique id of the runner.
    pub id: String,
    /// Listen address, `IP:PORT`.
    pub address: String,
}

/// Number of a runner on a link; never used again for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunnerIndex(pub u32);

/// A session of an owner with a relay. Owners number theirs independently of each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    /// The group.
    pub group: u16,
    /// The owner's fencing token.
    pub fencing_token: u64,
    /// Number of the session among those of the owner.
    pub number: u64,
}

/// What an owner sends to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The group.
    pub group: u16,
    /// The owner's fencing token.
    pub fencing_token: u64,
    /// Number of the session; a higher one makes the relay forget the earlier ones.
    pub session: u64,
    /// When the batch was made, in microseconds on the owner's clock.
    pub made_at_us: u64,
    /// Number of the last [`News`] that the owner had handled; 0 for none.
    pub handled_news: u64,
    /// How long a runner without runs may delay its report.
    pub idle_wait_ms: u32,
    pub(crate) added: Vec<(RunnerIndex, RunnerAddress)>,
    pub(crate) removed: Vec<RunnerIndex>,
    pub(crate) grants: Vec<Grant>,
    pub(crate) orders: Vec<OrderWire>,
}

/// What a relay may tell a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Grant {
    pub(crate) runner: RunnerIndex,
    /// Lease deadline on the runner's clock; 0 for none.
    pub(crate) deadline_ms: u64,
    /// The highest number of an ended run that the runner may drop from its reports.
    pub(crate) acknowledged_end: u64,
}

/// A call that a relay is to make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OrderWire {
    pub(crate) runner: RunnerIndex,
    pub(crate) task: TaskId,
    pub(crate) run: u32,
    pub(crate) kind: OrderKindWire,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OrderKindWire {
    Start {
        checkpoint: String,
        deadline_ms: u64,
    },
    Stop,
    Throttle {
        percent: u8,
    },
}

/// What a relay sends to the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The session that it belongs to.
    pub session: u64,
    /// Number of this message, increasing within a session from 1.
    pub number: u64,
    pub(crate) reports: Vec<ReportWire>,
    pub(crate) missed: Vec<RunnerIndex>,
    pub(crate) answers: Vec<AnswerWire>,
}

/// The difference of a runner's report to the last one sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReportWire {
    pub(crate) runner: RunnerIndex,
    /// [`Batch::made_at_us`] of the last batch that came before the report was requested.
    pub(crate) requested_us: u64,
    pub(crate) incarnation_ms: u64,
    pub(crate) clock_ms: u64,
    pub(crate) gone: Vec<(TaskId, u32)>,
    pub(crate) changed: Vec<RowWire>,
    pub(crate) ended: Vec<EndWire>,
    pub(crate) has_more_ends: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RowWire(TaskId, u32, String, u64, u8);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EndWire {
    pub(crate) number: u64,
    task: TaskId,
    run: u32,
    kind: EndKindWire,
    checkpoint: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum EndKindWire {
    Done,
    Failed,
    Cut,
    Lapsed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum AnswerWire {
    Start(TaskId, u32, StartAnswerWire),
    Stopped(TaskId, u32),
    Throttled(TaskId, u32, u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StartAnswerWire {
    Started,
    Fenced,
    Old,
    Room,
    Refused,
    NotSent,
    Withheld,
    Unknown,
}

impl From<&RunStatus> for RowWire {
    fn from(row: &RunStatus) -> Self {
        let checkpoint = row.checkpoint.clone();
        Self(row.task, row.run, checkpoint, row.measurement, row.percent)
    }
}

impl From<RowWire> for RunStatus {
    fn from(wire: RowWire) -> Self {
        let RowWire(task, run, checkpoint, measurement, percent) = wire;
        Self {
            task,
            run,
            checkpoint,
            measurement,
            percent,
        }
    }
}

impl From<&End> for EndWire {
    fn from(end: &End) -> Self {
        Self {
            number: end.number,
            task: end.task,
            run: end.run,
            kind: match end.kind {
                EndKind::Done => EndKindWire::Done,
                EndKind::Failed => EndKindWire::Failed,
                EndKind::Cut => EndKindWire::Cut,
                EndKind::Lapsed => EndKindWire::Lapsed,
            },
            checkpoint: end.checkpoint.clone(),
        }
    }
}

impl From<EndWire> for End {
    fn from(wire: EndWire) -> Self {
        Self {
            number: wire.number,
            task: wire.task,
            run: wire.run,
            kind: match wire.kind {
                EndKindWire::Done => EndKind::Done,
                EndKindWire::Failed => EndKind::Failed,
                EndKindWire::Cut => EndKind::Cut,
                EndKindWire::Lapsed => EndKind::Lapsed,
            },
            checkpoint: wire.checkpoint,
        }
    }
}

impl From<Answer> for StartAnswerWire {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Started => Self::Started,
            Answer::Fenced => Self::Fenced,
            Answer::Old => Self::Old,
            Answer::Room => Self::Room,
            Answer::Refused => Self::Refused,
            Answer::NotSent => Self::NotSent,
            Answer::Withheld => Self::Withheld,
            Answer::Unknown => Self::Unknown,
        }
    }
}

impl From<StartAnswerWire> for Answer {
    fn from(wire: StartAnswerWire) -> Self {
        match wire {
            StartAnswerWire::Started => Self::Started,
            StartAnswerWire::Fenced => Self::Fenced,
            StartAnswerWire::Old => Self::Old,
            StartAnswerWire::Room => Self::Room,
            StartAnswerWire::Refused => Self::Refused,
            StartAnswerWire::NotSent => Self::NotSent,
            StartAnswerWire::Withheld => Self::Withheld,
            StartAnswerWire::Unknown => Self::Unknown,
        }
    }
}

impl Batch {
    /// The session that it belongs to.
    pub fn session_key(&self) -> SessionKey {
        SessionKey {
            group: self.group,
            fencing_token: self.fencing_token,
            number: self.session,
        }
    }

    /// Returns whether the batch asks for anything.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.removed.is_empty()
            && self.grants.is_empty()
            && self.orders.is_empty()
    }
}

impl ReportWire {
    /// Number of runs that it tells of.
    pub(crate) fn rows(&self) -> usize {
        self.gone.len() + self.changed.len() + self.ended.len()
    }

    /// Completes the report with the rows of the earlier ones, which it updates.
    pub(crate) fn into_report(self, rows: &mut Rows) -> Report {
        for run in &self.gone {
            rows.remove(run);
        }
        for row in self.changed {
            let row = RunStatus::from(row);
            rows.insert((row.task, row.run), row);
        }
        Report {
            incarnation_ms: self.incarnation_ms,
            clock_ms: self.clock_ms,
            running: rows.values().cloned().collect(),
            ended: self.ended.into_iter().map(End::from).collect(),
            has_more_ends: self.has_more_ends,
        }
    }
}

/// Runs in progress on a runner, as last reported.
pub(crate) type Rows = std::collections::BTreeMap<(TaskId, u32), RunStatus>;
