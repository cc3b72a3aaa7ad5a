//! The error budget report, merged from the reports of all daemons.

use crate::format::table;
use persimmon_wire::api::{BurnReport, LatencyCount, MinuteBurn, ServiceBurn};
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write};

/// The burn rate above which the report raises an alarm: it uses up a month's error budget in about
/// two days.
const BURN_RATE_ALARM_THRESHOLD: f64 = 14.4;

/// The requests and the error budget of one service, over all daemons.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct ServiceSummary {
    pub(crate) service: String,
    pub(crate) objective_latency_ms: u64,
    pub(crate) objective_percent: f64,
    pub(crate) good: u64,
    pub(crate) bad: u64,
    /// The percentage of the error budget that is left over the retained minutes; negative if more
    /// than the budget is spent.
    pub(crate) budget_left_percent: f64,
    /// The error rate over the short window, as a multiple of the rate that the objective allows.
    pub(crate) burn_rate_short: f64,
    pub(crate) burn_rate_long: f64,
    pub(crate) p50_up_to_ms: u64,
    pub(crate) p99_up_to_ms: u64,
    #[serde(skip)]
    pub(crate) minutes: Vec<MinuteBurn>,
}

/// The merged report.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    pub(crate) services: Vec<ServiceSummary>,
    pub(crate) deadlines_met: u64,
    pub(crate) deadlines_missed: u64,
    pub(crate) evictions: u64,
    pub(crate) busiest_minute_cpu_millis: u64,
    pub(crate) members: usize,
    pub(crate) missing_members: Vec<String>,
}

/// Merges the daemons' reports as of `unix_minute`; `short` and `long` are windows in minutes.
pub(crate) fn merge(report: &BurnReport, unix_minute: u64, short: u64, long: u64) -> Report {
    let mut by_service: BTreeMap<&str, Vec<&ServiceBurn>> = BTreeMap::new();
    for service in report.shares.iter().flat_map(|share| share.services.iter()) {
        by_service
            .entry(service.service.as_str())
            .or_default()
            .push(service);
    }
    let shares = &report.shares;
    Report {
        services: by_service
            .values()
            .map(|reports| merge_service(reports, unix_minute, short, long))
            .collect(),
        deadlines_met: shares.iter().map(|share| share.deadlines_met).sum(),
        deadlines_missed: shares.iter().map(|share| share.deadlines_missed).sum(),
        evictions: shares.iter().map(|share| share.evictions).sum(),
        // Each daemon reports the highest value that it knows of, not a part of a sum.
        busiest_minute_cpu_millis: shares
            .iter()
            .map(|share| share.busiest_minute_cpu_millis)
            .max()
            .unwrap_or(0),
        members: shares.len(),
        missing_members: report.missing_members.clone(),
    }
}

fn merge_service(
    reports: &[&ServiceBurn],
    unix_minute: u64,
    short: u64,
    long: u64,
) -> ServiceSummary {
    let mut minutes: BTreeMap<u64, MinuteBurn> = BTreeMap::new();
    let mut latency: BTreeMap<u64, u64> = BTreeMap::new();
    for report in reports {
        for minute in &report.minutes {
            let sum = minutes.entry(minute.unix_minute).or_default();
            sum.unix_minute = minute.unix_minute;
            sum.good += minute.good;
            sum.bad += minute.bad;
        }
        for LatencyCount { up_to_ms, count } in &report.latency {
            *latency.entry(*up_to_ms).or_default() += count;
        }
    }
    let first = reports[0];
    let objective = f64::from(first.objective_millipercent) / 100_000.0;
    let minutes: Vec<MinuteBurn> = minutes.into_values().collect();
    let (good, bad) = sum_requests(&minutes, 0);
    let burn_rate = |window: u64| {
        let (good, bad) = sum_requests(&minutes, (unix_minute + 1).saturating_sub(window));
        bad_ratio(good, bad) / (1.0 - objective)
    };
    ServiceSummary {
        service: first.service.clone(),
        objective_latency_ms: first.objective_latency_ms,
        objective_percent: objective * 100.0,
        good,
        bad,
        budget_left_percent: (1.0 - bad_ratio(good, bad) / (1.0 - objective)) * 100.0,
        burn_rate_short: burn_rate(short),
        burn_rate_long: burn_rate(long),
        p50_up_to_ms: percentile(&latency, 50),
        p99_up_to_ms: percentile(&latency, 99),
        minutes,
    }
}

fn sum_requests(minutes: &[MinuteBurn], from_minute: u64) -> (u64, u64) {
    let recent = minutes
        .iter()
        .filter(|minute| minute.unix_minute >= from_minute);
    recent.fold((0, 0), |(good, bad), minute| {
        (good + minute.good, bad + minute.bad)
    })
}

fn bad_ratio(good: u64, bad: u64) -> f64 {
    bad as f64 / (good + bad).max(1) as f64
}

fn percentile(latency: &BTreeMap<u64, u64>, percent: u64) -> u64 {
    let total: u64 = latency.values().sum();
    let mut rank = (total * percent).div_ceil(100);
    for (up_to_ms, count) in latency {
        if rank <= *count {
            return *up_to_ms;
        }
        rank -= count;
    }
    0
}

pub(crate) fn to_text(report: &Report) -> String {
    let rows: Vec<_> = report
        .services
        .iter()
        .map(|service| {
            vec![
                service.service.clone(),
                format!(
                    "{:.3}% in {} ms",
                    service.objective_percent, service.objective_latency_ms
                ),
                (service.good + service.bad).to_string(),
                service.bad.to_string(),
                format!("{:.1}%", service.budget_left_percent),
                format!("{:.2}", service.burn_rate_short),
                format!("{:.2}", service.burn_rate_long),
                format!("<={}", service.p50_up_to_ms),
                format!("<={}", service.p99_up_to_ms),
            ]
        })
        .collect();
    let heading = [
        "SERVICE",
        "OBJECTIVE",
        "REQUESTS",
        "BAD",
        "BUDGET LEFT",
        "BURN SHORT",
        "BURN LONG",
        "P50 MS",
        "P99 MS",
    ];
    let mut text = table(&heading, &rows);
    let _ = write!(
        text,
        "\nbatch: deadlines met {}, missed {}, evictions {}\nbusiest minute of the month: {:.3} \
         cores claimed by batch tasks\nfrom {} members",
        report.deadlines_met,
        report.deadlines_missed,
        report.evictions,
        report.busiest_minute_cpu_millis as f64 / 1000.0,
        report.members
    );
    if !report.missing_members.is_empty() {
        let _ = write!(
            text,
            "; no answer from {}",
            report.missing_members.join(", ")
        );
    }
    // Both windows must exceed the threshold: the long one, so that a short burst of errors raises
    // no alarm, and the short one, so that the alarm ends soon after the errors do.
    for service in report.services.iter().filter(|service| {
        service.burn_rate_short.min(service.burn_rate_long) > BURN_RATE_ALARM_THRESHOLD
    }) {
        let _ = write!(
            text,
            "\nALARM {}: the budget burns {:.0} times too fast",
            service.service, service.burn_rate_long
        );
    }
    text.push('\n');
    text
}

/// Renders a self-contained HTML page: the text of the report, and a bar chart of each service's
/// requests per minute.
pub(crate) fn to_html(report: &Report) -> String {
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>\n<style>body{font:14px \
         sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}rect.good{fill:#7aa874}\
         rect.bad{fill:#c0392b}</style>\n<h1>Service-level burn</h1>\n<pre>",
    );
    page += &to_text(report).replace('&', "&amp;").replace('<', "&lt;");
    page += "</pre>\n";
    for service in &report.services {
        let _ = writeln!(
            page,
            "<h2>{}</h2>\n{}",
            service.service,
            bar_chart(&service.minutes)
        );
    }
    page
}

fn bar_chart(minutes: &[MinuteBurn]) -> String {
    const HEIGHT_PX: f64 = 120.0;
    const BAR_PITCH_PX: usize = 6;
    let shown = &minutes[minutes.len().saturating_sub(180)..];
    let highest = shown
        .iter()
        .map(|minute| minute.good + minute.bad)
        .max()
        .unwrap_or(1)
        .max(1) as f64;
    let width = shown.len() * BAR_PITCH_PX;
    let mut svg = format!("<svg width=\"{width}\" height=\"{HEIGHT_PX}\">");
    for (index, minute) in shown.iter().enumerate() {
        let (good, bad) = (
            minute.good as f64 / highest * HEIGHT_PX,
            minute.bad as f64 / highest * HEIGHT_PX,
        );
        let x = index * BAR_PITCH_PX;
        let _ = write!(
            svg,
            "<rect class=good x={x} y={:.1} width=5 height={good:.1} /><rect class=bad x={x} \
             y={:.1} width=5 height={bad:.1} />",
            HEIGHT_PX - good,
            HEIGHT_PX - good - bad
        );
    }
    svg + "</svg>"
}
