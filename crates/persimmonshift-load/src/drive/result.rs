use super::send::{PlannedRequest, RequestOutcome};
use crate::args::DriveArgs;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The result of a run, as written to the file of `--out`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct DriveResult {
    pub(crate) rate_per_s: u32,
    pub(crate) seconds: u32,
    pub(crate) seed: u64,
    pub(crate) deadline_ms: u64,
    /// Requests with an outcome of any kind, including those that could not be sent.
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) not_sent: u64,
    /// Requests whose connection failed after they were sent, that timed out, or whose response was
    /// incomplete.
    pub(crate) broken: u64,
    /// Requests whose response does not match them or has an unexpected status.
    pub(crate) wrong: u64,
    /// Answered requests with a latency of at most the deadline.
    pub(crate) in_time: u64,
    /// Violations of delivery guarantees that the audit returned; it returns at most 20.
    pub(crate) faults: u64,
    /// Latencies of answered requests, measured from the intended send time.
    pub(crate) p50_ms: f64,
    pub(crate) p90_ms: f64,
    pub(crate) p99_ms: f64,
    pub(crate) p999_ms: f64,
    pub(crate) max_ms: f64,
}

/// Outcomes and latencies recorded so far.
pub(crate) struct Tally {
    result: DriveResult,
    deadline: Duration,
    latency_us: Histogram<u64>,
    /// Request id, whether the request is a POST, and its outcome.
    pub(crate) outcomes: Vec<(String, bool, RequestOutcome)>,
}

impl Tally {
    pub(crate) fn new(args: &DriveArgs) -> Self {
        const HOUR_US: u64 = 3_600_000_000;
        // The bounds satisfy the requirements of the histogram, so the fallback is never taken.
        let latency_us = Histogram::new_with_bounds(1, HOUR_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("3 digits are allowed"));
        Self {
            result: DriveResult {
                rate_per_s: args.rate,
                seconds: args.seconds,
                seed: args.seed,
                deadline_ms: args.deadline_ms,
                ..DriveResult::default()
            },
            deadline: Duration::from_millis(args.deadline_ms),
            latency_us,
            outcomes: Vec::new(),
        }
    }

    pub(crate) fn add(
        &mut self,
        planned: &PlannedRequest,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        let result = &mut self.result;
        result.sent += 1;
        match outcome {
            RequestOutcome::Answered => {
                result.answered += 1;
                result.in_time += u64::from(latency <= self.deadline);
                self.latency_us
                    .saturating_record(latency.as_micros() as u64);
            }
            RequestOutcome::Wrong => result.wrong += 1,
            RequestOutcome::NotRun => result.not_run += 1,
            RequestOutcome::Unknown => result.unknown += 1,
            RequestOutcome::NotSent => result.not_sent += 1,
            RequestOutcome::Broken => result.broken += 1,
        }
        self.outcomes
            .push((planned.id.clone(), planned.post, outcome));
    }

    pub(crate) fn progress(&self) -> String {
        let DriveResult {
            sent,
            answered,
            not_run,
            unknown,
            ..
        } = self.result;
        format!("{sent} ended, {answered} answered, {not_run} not run, {unknown} unknown")
    }

    pub(crate) fn into_result(self, faults: u64) -> DriveResult {
        let ms = |percent: f64| self.latency_us.value_at_percentile(percent) as f64 / 1000.0;
        DriveResult {
            faults,
            p50_ms: ms(50.0),
            p90_ms: ms(90.0),
            p99_ms: ms(99.0),
            p999_ms: ms(99.9),
            max_ms: self.latency_us.max() as f64 / 1000.0,
            ..self.result
        }
    }
}

impl DriveResult {
    pub(crate) fn table(&self) -> String {
        format!(
            "sent {}, answered {} ({} in time), not run {}, unknown {}, not sent {}, broken {}, \
             wrong {}, promises broken {}\nlatency ms: p50 {:.2}, p90 {:.2}, p99 {:.2}, p99.9 \
             {:.2}, max {:.2}",
            self.sent,
            self.answered,
            self.in_time,
            self.not_run,
            self.unknown,
            self.not_sent,
            self.broken,
            self.wrong,
            self.faults,
            self.p50_ms,
            self.p90_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms
        )
    }
}
