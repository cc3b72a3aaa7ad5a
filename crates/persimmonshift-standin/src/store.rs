use crate::{
    args::StoreArgs,
    http::{bind, json_response, print_addresses, serve, text_response, Body, BufferedRequest},
    Error,
};
use hyper::{Response, StatusCode};
use persimmon_wire::store::{
    CasRequest, CasResponse, Entry, GrantRequest, Lease, RangeResponse, VALUE_MAX_BYTES,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// Number of changes kept for watches; a watch from an older revision gets 410.
const HISTORY_MAX: usize = 20_000;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FaultSettings {
    /// Answers every call with 503.
    down: bool,
    /// Delay of every call, in milliseconds.
    slow_ms: u64,
    /// Number of upcoming POST calls that take effect but are answered with 500.
    lose_answers: u32,
    /// Expires all leases immediately.
    expire_leases: bool,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    writes: u64,
    reads: u64,
    limited: u64,
}

struct StoredValue {
    text: String,
    revision: u64,
    lease: Option<u64>,
}

struct LeaseEntry {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    history: VecDeque<Entry>,
    leases: HashMap<u64, LeaseEntry>,
    last_lease: u64,
    faults: FaultSettings,
    counters: Counters,
    window_started_at: Option<Instant>,
    writes_in_window: u32,
    reads_in_window: u32,
}

struct Store {
    inner: Mutex<Inner>,
    changed: Notify,
    writes_per_s: u32,
    reads_per_s: u32,
}

#[derive(Serialize)]
struct Addresses {
    store: String,
}

pub(crate) async fn run(args: StoreArgs) -> Result<(), Error> {
    let listener = bind(args.port).await?;
    let store = Arc::new(Store {
        inner: Mutex::new(Inner::default()),
        changed: Notify::new(),
        writes_per_s: args.writes_per_s,
        reads_per_s: args.reads_per_s,
    });
    let address = listener
        .local_addr()
        .map_err(|err| Error::new("listen", err))?;
    print_addresses(&Addresses {
        store: address.to_string(),
    });
    let sweeper = Arc::clone(&store);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            sweeper.expire();
        }
    });
    serve(listener, u32::MAX, store, handle).await;
    Ok(())
}

async fn handle(store: Arc<Store>, request: BufferedRequest) -> Response<Body> {
    if request.path.starts_with("/control") {
        return control(&store, &request);
    }
    let is_write = request.method == "POST";
    let (down, slow_ms) = {
        let inner = store.lock();
        (inner.faults.down, inner.faults.slow_ms)
    };
    if down {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    if !store.admit(is_write) {
        return text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
    }
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let response = match request.path.as_str() {
        "/v1/kv" => store.get(&request),
        "/v1/range" => store.range(&request),
        "/v1/cas" => store.cas(&request),
        "/v1/lease" => store.grant(&request),
        "/v1/lease/renew" => store.renew(&request),
        "/v1/lease/revoke" => store.revoke(&request),
        "/v1/watch" => return store.watch(&request).await,
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    };
    if is_write && store.take_lost_answer() {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost");
    }
    response
}

fn control(store: &Store, request: &BufferedRequest) -> Response<Body> {
    if request.path == "/control/counters" {
        return json_response(StatusCode::OK, &store.lock().counters);
    }
    let faults: FaultSettings = match request.json() {
        Ok(faults) => faults,
        Err(response) => return *response,
    };
    let expire = faults.expire_leases;
    store.lock().faults = faults;
    if expire {
        let now = Instant::now();
        store
            .lock()
            .leases
            .values_mut()
            .for_each(|lease| lease.expires_at = now);
        store.expire();
    }
    text_response(StatusCode::OK, "{}")
}

impl Store {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, is_write: bool) -> bool {
        let mut inner = self.lock();
        let now = Instant::now();
        let window_ended = inner
            .window_started_at
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if window_ended {
            inner.window_started_at = Some(now);
            (inner.writes_in_window, inner.reads_in_window) = (0, 0);
        }
        let admitted = if is_write {
            inner.writes_in_window += 1;
            inner.writes_in_window <= self.writes_per_s
        } else {
            inner.reads_in_window += 1;
            inner.reads_in_window <= self.reads_per_s
        };
        inner.counters.limited += u64::from(!admitted);
        inner.counters.writes += u64::from(admitted && is_write);
        inner.counters.reads += u64::from(admitted && !is_write);
        admitted
    }

    /// Returns whether to lose the answer to this call, and decrements the number of answers to
    /// lose.
    fn take_lost_answer(&self) -> bool {
        let mut inner = self.lock();
        let lost = inner.faults.lose_answers > 0;
        inner.faults.lose_answers -= u32::from(lost);
        lost
    }

    fn get(&self, request: &BufferedRequest) -> Response<Body> {
        let key = request.query.get("key").cloned().unwrap_or_default();
        let inner = self.lock();
        let Some(value) = inner.values.get(&key) else {
            return text_response(StatusCode::NOT_FOUND, "absent");
        };
        let entry = Entry {
            key,
            value: Some(value.text.clone()),
            revision: value.revision,
        };
        json_response(StatusCode::OK, &entry)
    }

    fn range(&self, request: &BufferedRequest) -> Response<Body> {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let inner = self.lock();
        let found = inner
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let entries = found
            .map(|(key, value)| Entry {
                key: key.clone(),
                value: Some(value.text.clone()),
                revision: value.revision,
            })
            .collect();
        json_response(
            StatusCode::OK,
            &RangeResponse {
                entries,
                revision: inner.revision,
            },
        )
    }

    fn cas(&self, request: &BufferedRequest) -> Response<Body> {
        let cas: CasRequest = match request.json() {
            Ok(cas) => cas,
            Err(response) => return *response,
        };
        if cas
            .value
            .as_ref()
            .is_some_and(|value| value.len() > VALUE_MAX_BYTES)
        {
            return text_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the value is larger than 1 MiB",
            );
        }
        let mut inner = self.lock();
        let current = inner.values.get(&cas.key).map_or(0, |value| value.revision);
        if current != cas.expected_revision {
            return json_response(StatusCode::CONFLICT, &CasResponse { revision: current });
        }
        if cas
            .lease
            .is_some_and(|lease| !inner.leases.contains_key(&lease))
        {
            return text_response(StatusCode::PRECONDITION_FAILED, "no such lease");
        }
        let revision = inner.apply_change(cas.key, cas.value, cas.lease);
        drop(inner);
        self.changed.notify_waiters();
        json_response(StatusCode::OK, &CasResponse { revision })
    }

    fn grant(&self, request: &BufferedRequest) -> Response<Body> {
        let grant: GrantRequest = match request.json() {
            Ok(grant) => grant,
            Err(response) => return *response,
        };
        let mut inner = self.lock();
        inner.last_lease += 1;
        let (lease, ttl) = (inner.last_lease, Duration::from_millis(grant.ttl_ms));
        inner.leases.insert(
            lease,
            LeaseEntry {
                ttl,
                expires_at: Instant::now() + ttl,
            },
        );
        json_response(StatusCode::OK, &Lease { lease })
    }

    fn renew(&self, request: &BufferedRequest) -> Response<Body> {
        let lease: Lease = match request.json() {
            Ok(lease) => lease,
            Err(response) => return *response,
        };
        match self.lock().leases.get_mut(&lease.lease) {
            Some(entry) => {
                entry.expires_at = Instant::now() + entry.ttl;
                json_response(StatusCode::OK, &lease)
            }
            None => text_response(StatusCode::NOT_FOUND, "no such lease"),
        }
    }

    fn revoke(&self, request: &BufferedRequest) -> Response<Body> {
        let lease: Lease = match request.json() {
            Ok(lease) => lease,
            Err(response) => return *response,
        };
        self.lock().remove_lease(lease.lease);
        self.changed.notify_waiters();
        json_response(StatusCode::OK, &lease)
    }

    async fn watch(&self, request: &BufferedRequest) -> Response<Body> {
        let query_u64 = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let (after, wait_ms) = (
            query_u64("after").unwrap_or(0),
            query_u64("wait_ms").unwrap_or(0),
        );
        let wait_until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let notified = self.changed.notified();
            {
                let inner = self.lock();
                if inner.faults.down {
                    return text_response(StatusCode::SERVICE_UNAVAILABLE, "down");
                }
                let oldest = inner.history.front().map_or(0, |entry| entry.revision);
                if inner.history.len() >= HISTORY_MAX && after + 1 < oldest {
                    return text_response(StatusCode::GONE, "compacted");
                }
                let entries = inner.changes_since(after, &prefix);
                if !entries.is_empty() || tokio::time::Instant::now() >= wait_until {
                    return json_response(
                        StatusCode::OK,
                        &RangeResponse {
                            entries,
                            revision: inner.revision,
                        },
                    );
                }
            }
            // Changed fault settings wake no watch, so `down` is checked at least every 200 ms.
            let next_check_at = tokio::time::Instant::now() + Duration::from_millis(200);
            let _ = tokio::time::timeout_at(wait_until.min(next_check_at), notified).await;
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        let expired: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(number, _)| *number)
            .collect();
        for lease in &expired {
            inner.remove_lease(*lease);
        }
        drop(inner);
        if !expired.is_empty() {
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    fn apply_change(&mut self, key: String, value: Option<String>, lease: Option<u64>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.history.push_back(Entry {
            key: key.clone(),
            value: value.clone(),
            revision,
        });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        match value {
            Some(text) => drop(self.values.insert(
                key,
                StoredValue {
                    text,
                    revision,
                    lease,
                },
            )),
            None => drop(self.values.remove(&key)),
        }
        revision
    }

    fn remove_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = self
            .values
            .iter()
            .filter(|(_, value)| value.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.apply_change(key, None, None);
        }
    }

    /// Returns the newest change after `revision` of each key under `prefix`.
    fn changes_since(&self, revision: u64, prefix: &str) -> Vec<Entry> {
        let newer = self
            .history
            .iter()
            .filter(|entry| entry.revision > revision);
        let matching = newer.filter(|entry| entry.key.starts_with(prefix));
        let newest: BTreeMap<&str, &Entry> =
            matching.map(|entry| (entry.key.as_str(), entry)).collect();
        newest.into_values().cloned().collect()
    }
}
