use crate::{
    args::StoreArgs,
    http::{announce, bind, json, serve, text, Body, Call},
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

/// The changes kept for watches.
const HISTORY_MAX: usize = 20_000;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Switches {
    /// Every call is answered 503.
    down: bool,
    /// Every call takes this much longer.
    slow_ms: u64,
    /// The next writes take effect and are answered 500.
    lose_answers: u32,
    /// All leases end now.
    expire_leases: bool,
}

#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    writes: u64,
    reads: u64,
    limited: u64,
}

struct Value {
    text: String,
    revision: u64,
    lease: Option<u64>,
}

struct LeaseEntry {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    values: BTreeMap<String, Value>,
    history: VecDeque<Entry>,
    leases: HashMap<u64, LeaseEntry>,
    last_lease: u64,
    switches: Switches,
    counters: Counters,
    second: Option<Instant>,
    writes_in_second: u32,
    reads_in_second: u32,
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
    announce(&Addresses {
        store: address.to_string(),
    });
    let sweeper = Arc::clone(&store);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            sweeper.expire();
        }
    });
    serve(listener, u32::MAX, store, answer).await;
    Ok(())
}

async fn answer(store: Arc<Store>, call: Call) -> Response<Body> {
    if call.path.starts_with("/control") {
        return control(&store, &call);
    }
    let write = call.method == "POST";
    let (down, slow_ms) = {
        let inner = store.lock();
        (inner.switches.down, inner.switches.slow_ms)
    };
    if down {
        return text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    if !store.admit(write) {
        return text(StatusCode::TOO_MANY_REQUESTS, "too many calls");
    }
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    let response = match call.path.as_str() {
        "/v1/kv" => store.get(&call),
        "/v1/range" => store.range(&call),
        "/v1/cas" => store.cas(&call),
        "/v1/lease" => store.grant(&call),
        "/v1/lease/renew" => store.renew(&call),
        "/v1/lease/revoke" => store.revoke(&call),
        "/v1/watch" => return store.watch(&call).await,
        _ => text(StatusCode::NOT_FOUND, "no such call"),
    };
    if write && store.loses_answer() {
        return text(StatusCode::INTERNAL_SERVER_ERROR, "the answer was lost");
    }
    response
}

fn control(store: &Store, call: &Call) -> Response<Body> {
    if call.path == "/control/counters" {
        return json(StatusCode::OK, &store.lock().counters);
    }
    let switches: Switches = match call.json() {
        Ok(switches) => switches,
        Err(response) => return *response,
    };
    let expire = switches.expire_leases;
    store.lock().switches = switches;
    if expire {
        let now = Instant::now();
        store
            .lock()
            .leases
            .values_mut()
            .for_each(|lease| lease.until = now);
        store.expire();
    }
    text(StatusCode::OK, "{}")
}

impl Store {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, write: bool) -> bool {
        let mut inner = self.lock();
        let now = Instant::now();
        let fresh = inner
            .second
            .is_none_or(|start| now - start >= Duration::from_secs(1));
        if fresh {
            inner.second = Some(now);
            (inner.writes_in_second, inner.reads_in_second) = (0, 0);
        }
        let admitted = if write {
            inner.writes_in_second += 1;
            inner.writes_in_second <= self.writes_per_s
        } else {
            inner.reads_in_second += 1;
            inner.reads_in_second <= self.reads_per_s
        };
        inner.counters.limited += u64::from(!admitted);
        inner.counters.writes += u64::from(admitted && write);
        inner.counters.reads += u64::from(admitted && !write);
        admitted
    }

    fn loses_answer(&self) -> bool {
        let mut inner = self.lock();
        let loses = inner.switches.lose_answers > 0;
        inner.switches.lose_answers -= u32::from(loses);
        loses
    }

    fn get(&self, call: &Call) -> Response<Body> {
        let key = call.query.get("key").cloned().unwrap_or_default();
        let inner = self.lock();
        let Some(value) = inner.values.get(&key) else {
            return text(StatusCode::NOT_FOUND, "absent");
        };
        let entry = Entry {
            key,
            value: Some(value.text.clone()),
            revision: value.revision,
        };
        json(StatusCode::OK, &entry)
    }

    fn range(&self, call: &Call) -> Response<Body> {
        let prefix = call.query.get("prefix").cloned().unwrap_or_default();
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
        json(
            StatusCode::OK,
            &RangeResponse {
                entries,
                revision: inner.revision,
            },
        )
    }

    fn cas(&self, call: &Call) -> Response<Body> {
        let cas: CasRequest = match call.json() {
            Ok(cas) => cas,
            Err(response) => return *response,
        };
        if cas
            .value
            .as_ref()
            .is_some_and(|value| value.len() > VALUE_MAX_BYTES)
        {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "the value is over 1 MiB");
        }
        let mut inner = self.lock();
        let current = inner.values.get(&cas.key).map_or(0, |value| value.revision);
        if current != cas.expected_revision {
            return json(StatusCode::CONFLICT, &CasResponse { revision: current });
        }
        if cas
            .lease
            .is_some_and(|lease| !inner.leases.contains_key(&lease))
        {
            return text(StatusCode::PRECONDITION_FAILED, "no such lease");
        }
        let revision = inner.change(cas.key, cas.value, cas.lease);
        drop(inner);
        self.changed.notify_waiters();
        json(StatusCode::OK, &CasResponse { revision })
    }

    fn grant(&self, call: &Call) -> Response<Body> {
        let grant: GrantRequest = match call.json() {
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
                until: Instant::now() + ttl,
            },
        );
        json(StatusCode::OK, &Lease { lease })
    }

    fn renew(&self, call: &Call) -> Response<Body> {
        let lease: Lease = match call.json() {
            Ok(lease) => lease,
            Err(response) => return *response,
        };
        match self.lock().leases.get_mut(&lease.lease) {
            Some(entry) => {
                entry.until = Instant::now() + entry.ttl;
                json(StatusCode::OK, &lease)
            }
            None => text(StatusCode::NOT_FOUND, "no such lease"),
        }
    }

    fn revoke(&self, call: &Call) -> Response<Body> {
        let lease: Lease = match call.json() {
            Ok(lease) => lease,
            Err(response) => return *response,
        };
        self.lock().end_lease(lease.lease);
        self.changed.notify_waiters();
        json(StatusCode::OK, &lease)
    }

    async fn watch(&self, call: &Call) -> Response<Body> {
        let number = |name: &str| {
            call.query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let prefix = call.query.get("prefix").cloned().unwrap_or_default();
        let (after, wait_ms) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let notified = self.changed.notified();
            {
                let inner = self.lock();
                if inner.switches.down {
                    return text(StatusCode::SERVICE_UNAVAILABLE, "down");
                }
                let oldest = inner.history.front().map_or(0, |entry| entry.revision);
                if inner.history.len() >= HISTORY_MAX && after + 1 < oldest {
                    return text(StatusCode::GONE, "compacted");
                }
                let entries = inner.since(after, &prefix);
                if !entries.is_empty() || tokio::time::Instant::now() >= until {
                    return json(
                        StatusCode::OK,
                        &RangeResponse {
                            entries,
                            revision: inner.revision,
                        },
                    );
                }
            }
            let poll = tokio::time::Instant::now() + Duration::from_millis(200);
            let _ = tokio::time::timeout_at(until.min(poll), notified).await;
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        let ended: Vec<u64> = inner
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(number, _)| *number)
            .collect();
        for lease in &ended {
            inner.end_lease(*lease);
        }
        drop(inner);
        if !ended.is_empty() {
            self.changed.notify_waiters();
        }
    }
}

impl Inner {
    fn change(&mut self, key: String, value: Option<String>, lease: Option<u64>) -> u64 {
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
                Value {
                    text,
                    revision,
                    lease,
                },
            )),
            None => drop(self.values.remove(&key)),
        }
        revision
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self
            .values
            .iter()
            .filter(|(_, value)| value.lease == Some(lease));
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.change(key, None, None);
        }
    }

    /// The newest change of each key under `prefix` after `revision`.
    fn since(&self, revision: u64, prefix: &str) -> Vec<Entry> {
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
