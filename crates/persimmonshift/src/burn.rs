//! The report on service-level burn, merged from the daemons' shares.

use crate::print::table;
use persimmon_wire::api::{BurnReport, LatencyCount, MinuteBurn, ServiceBurn};
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write};

/// A burn rate at which a month's budget is gone in about two days.
const FAST_BURN: f64 = 14.4;

/// One service over all daemons.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct Service {
    pub(crate) service: String,
    pub(crate) objective_latency_ms: u64,
    pub(crate) objective_percent: f64,
    pub(crate) good: u64,
    pub(crate) bad: u64,
    /// The part of the error budget left over the minutes kept, in hundredths; negative when spent.
    pub(crate) budget_left_percent: f64,
    /// How many times faster than allowed the budget goes, over the short window.
    pub(crate) burn_rate_short: f64,
    pub(crate) burn_rate_long: f64,
    pub(crate) p50_up_to_ms: u64,
    pub(crate) p99_up_to_ms: u64,
    #[serde(skip)]
    pub(crate) minutes: Vec<MinuteBurn>,
}

/// The whole report.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(crate) struct Report {
    pub(crate) services: Vec<Service>,
    pub(crate) deadlines_met: u64,
    pub(crate) deadlines_missed: u64,
    pub(crate) evictions: u64,
    pub(crate) busiest_minute_cpu_millis: u64,
    pub(crate) members: usize,
    pub(crate) missing_members: Vec<String>,
}

/// Merges the shares as of `unix_minute`, with windows in minutes.
pub(crate) fn merge(report: &BurnReport, unix_minute: u64, short: u64, long: u64) -> Report {
    let mut by_name: BTreeMap<&str, Vec<&ServiceBurn>> = BTreeMap::new();
    for service in report.shares.iter().flat_map(|share| share.services.iter()) {
        by_name
            .entry(service.service.as_str())
            .or_default()
            .push(service);
    }
    let shares = &report.shares;
    Report {
        services: by_name
            .values()
            .map(|them| service(them, unix_minute, short, long))
            .collect(),
        deadlines_met: shares.iter().map(|share| share.deadlines_met).sum(),
        deadlines_missed: shares.iter().map(|share| share.deadlines_missed).sum(),
        evictions: shares.iter().map(|share| share.evictions).sum(),
        // Every daemon keeps the highest that it has heard of.
        busiest_minute_cpu_millis: shares
            .iter()
            .map(|share| share.busiest_minute_cpu_millis)
            .max()
            .unwrap_or(0),
        members: shares.len(),
        missing_members: report.missing_members.clone(),
    }
}

fn service(shares: &[&ServiceBurn], unix_minute: u64, short: u64, long: u64) -> Service {
    let mut minutes: BTreeMap<u64, MinuteBurn> = BTreeMap::new();
    let mut latency: BTreeMap<u64, u64> = BTreeMap::new();
    for share in shares {
        for minute in &share.minutes {
            let sum = minutes.entry(minute.unix_minute).or_default();
            sum.unix_minute = minute.unix_minute;
            sum.good += minute.good;
            sum.bad += minute.bad;
        }
        for LatencyCount { up_to_ms, count } in &share.latency {
            *latency.entry(*up_to_ms).or_default() += count;
        }
    }
    let first = shares[0];
    let objective = f64::from(first.objective_millipercent) / 100_000.0;
    let minutes: Vec<MinuteBurn> = minutes.into_values().collect();
    let (good, bad) = count(&minutes, 0);
    let rate = |window: u64| {
        let (good, bad) = count(&minutes, (unix_minute + 1).saturating_sub(window));
        bad_part(good, bad) / (1.0 - objective)
    };
    Service {
        service: first.service.clone(),
        objective_latency_ms: first.objective_latency_ms,
        objective_percent: objective * 100.0,
        good,
        bad,
        budget_left_percent: (1.0 - bad_part(good, bad) / (1.0 - objective)) * 100.0,
        burn_rate_short: rate(short),
        burn_rate_long: rate(long),
        p50_up_to_ms: quantile(&latency, 50),
        p99_up_to_ms: quantile(&latency, 99),
        minutes,
    }
}

fn count(minutes: &[MinuteBurn], from_minute: u64) -> (u64, u64) {
    let recent = minutes
        .iter()
        .filter(|minute| minute.unix_minute >= from_minute);
    recent.fold((0, 0), |(good, bad), minute| {
        (good + minute.good, bad + minute.bad)
    })
}

fn bad_part(good: u64, bad: u64) -> f64 {
    bad as f64 / (good + bad).max(1) as f64
}

fn quantile(latency: &BTreeMap<u64, u64>, percent: u64) -> u64 {
    let total: u64 = latency.values().sum();
    let mut left = (total * percent).div_ceil(100);
    for (up_to_ms, count) in latency {
        if left <= *count {
            return *up_to_ms;
        }
        left -= count;
    }
    0
}

pub(crate) fn text(report: &Report) -> String {
    let rows: Vec<_> = report
        .services
        .iter()
        .map(|it| {
            vec![
                it.service.clone(),
                format!(
                    "{:.3}% in {} ms",
                    it.objective_percent, it.objective_latency_ms
                ),
                (it.good + it.bad).to_string(),
                it.bad.to_string(),
                format!("{:.1}%", it.budget_left_percent),
                format!("{:.2}", it.burn_rate_short),
                format!("{:.2}", it.burn_rate_long),
                format!("<={}", it.p50_up_to_ms),
                format!("<={}", it.p99_up_to_ms),
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
    for it in report
        .services
        .iter()
        .filter(|it| it.burn_rate_short.min(it.burn_rate_long) > FAST_BURN)
    {
        let _ = write!(
            text,
            "\nALARM {}: the budget burns {:.0} times too fast",
            it.service, it.burn_rate_long
        );
    }
    text.push('\n');
    text
}

/// A page without outside parts: a table, and the bad requests by minute of each service.
pub(crate) fn html(report: &Report) -> String {
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>\n<style>body{font:14px \
         sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em}rect.good{fill:#7aa874}\
         rect.bad{fill:#c0392b}</style>\n<h1>Service-level burn</h1>\n<pre>",
    );
    page += &text(report).replace('&', "&amp;").replace('<', "&lt;");
    page += "</pre>\n";
    for service in &report.services {
        let _ = writeln!(
            page,
            "<h2>{}</h2>\n{}",
            service.service,
            plot(&service.minutes)
        );
    }
    page
}

fn plot(minutes: &[MinuteBurn]) -> String {
    const HEIGHT: f64 = 120.0;
    const BAR: usize = 6;
    let shown = &minutes[minutes.len().saturating_sub(180)..];
    let most = shown
        .iter()
        .map(|it| it.good + it.bad)
        .max()
        .unwrap_or(1)
        .max(1) as f64;
    let width = shown.len() * BAR;
    let mut svg = format!("<svg width=\"{width}\" height=\"{HEIGHT}\">");
    for (at, minute) in shown.iter().enumerate() {
        let (good, bad) = (
            minute.good as f64 / most * HEIGHT,
            minute.bad as f64 / most * HEIGHT,
        );
        let x = at * BAR;
        let _ = write!(
            svg,
            "<rect class=good x={x} y={:.1} width=5 height={good:.1} /><rect class=bad x={x} \
             y={:.1} width=5 height={bad:.1} />",
            HEIGHT - good,
            HEIGHT - good - bad
        );
    }
    svg + "</svg>"
}
