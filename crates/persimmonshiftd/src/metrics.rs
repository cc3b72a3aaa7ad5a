//! Metrics in the OpenMetrics text format, named by the conventions of Prometheus.

use prometheus_client::{
    encoding::{text::encode, EncodeLabelSet},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{exponential_buckets, Histogram},
    },
    registry::Registry,
};
use std::sync::atomic::AtomicU64;

/// Labels of a request's metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) service: String,
    pub(crate) outcome: String,
}

/// Labels of a service's metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) service: String,
}

/// All metrics of the daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) request_seconds: Family<ServiceLabels, Histogram>,
    pub(crate) retries: Family<ServiceLabels, Counter>,
    pub(crate) placements: Counter,
    pub(crate) commits: Counter,
    pub(crate) store_calls: Gauge,
    pub(crate) mesh_sent_bytes: Gauge,
    pub(crate) mesh_received_bytes: Gauge,
    pub(crate) shards_owned: Gauge,
    pub(crate) config_number: Gauge,
    pub(crate) ready: Gauge,
    pub(crate) resident_bytes: Gauge,
    pub(crate) cpu_seconds: Gauge<f64, AtomicU64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("persimmonshift");
        let request_seconds = Family::<ServiceLabels, Histogram>::new_with_constructor(|| {
            // Buckets from 1 ms to about 16 s.
            Histogram::new(exponential_buckets(0.001, 2.0, 15))
        });
        let requests = Family::default();
        let (retries, placements, commits) =
            (Family::default(), Counter::default(), Counter::default());
        registry.register(
            "requests",
            "Requests to services, by outcome",
            requests.clone(),
        );
        registry.register(
            "request_duration_seconds",
            "Time to a whole answer",
            request_seconds.clone(),
        );
        registry.register("retries", "Requests sent again", retries.clone());
        registry.register("placements", "Tasks placed on workers", placements.clone());
        registry.register("commits", "Writes of shard records", commits.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge: Gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let store_calls = gauge("store_calls", "Calls to the store since the start");
        let mesh_sent_bytes = gauge("mesh_sent_bytes", "Bytes sent to other daemons");
        let mesh_received_bytes = gauge("mesh_received_bytes", "Bytes received from daemons");
        let shards_owned = gauge("shards_owned", "Shards that this daemon owns");
        let config_number = gauge("config_number", "Number of the configuration in force");
        let ready = gauge("ready", "Whether the daemon takes new work");
        let resident_bytes = gauge("process_resident_memory_bytes", "Resident memory");
        let cpu_seconds = Gauge::<f64, AtomicU64>::default();
        registry.register(
            "process_cpu_seconds",
            "Processor time used since the start",
            cpu_seconds.clone(),
        );
        Self {
            registry,
            requests,
            request_seconds,
            retries,
            placements,
            commits,
            store_calls,
            mesh_sent_bytes,
            mesh_received_bytes,
            shards_owned,
            config_number,
            ready,
            resident_bytes,
            cpu_seconds,
        }
    }

    /// Updates the process metrics and returns the response of `GET /metrics`.
    pub(crate) fn encode(&self) -> String {
        let usage = process_usage();
        self.resident_bytes.set(usage.resident_bytes as i64);
        self.cpu_seconds.set(usage.cpu_seconds);
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

struct ProcessUsage {
    resident_bytes: u64,
    cpu_seconds: f64,
}

/// Reads the resource usage of this process from procfs; zero where it can't be read.
fn process_usage() -> ProcessUsage {
    const PAGE_BYTES: u64 = 4096;
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // Fields are counted after the command name, which may contain spaces and parentheses.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map_or("", |(_, rest)| rest)
        .split_whitespace()
        .collect();
    let field = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    ProcessUsage {
        resident_bytes: field(21) * PAGE_BYTES,
        cpu_seconds: (field(11) + field(12)) as f64 / TICKS_PER_SECOND,
    }
}
