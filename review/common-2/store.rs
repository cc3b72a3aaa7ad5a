//! A stand-in of the platform's store, after PROTOCOL.md, "The platform's metadata store".

use crate::{
    http::{Reply, Request, Server},
    json::Json,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the value that was written; `None` if the key was removed.
    history: Vec<(u64, String, Option<String>)>,
    leases: HashMap<u64, Lease>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let event = (self.revision, key.to_owned(), Some(value.to_owned()));
        self.history.push(event);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

pub struct Store {
    pub address: SocketAddr,
    shared: Shared,
    _server: Server,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let state = State {
            revision: 100,
            ..State::default()
        };
        let shared: Shared = Arc::new((Mutex::new(state), Condvar::new()));
        let for_calls = Arc::clone(&shared);
        let address = "127.0.0.1:0".parse().unwrap();
        let server = Server::start(address, move |request| handle(&for_calls, &request))?;
        let for_leases = Arc::clone(&shared);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = for_leases.0.lock().unwrap();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, it)| now >= it.ends_at);
            let ended: Vec<_> = ended.map(|(&lease, _)| lease).collect();
            for lease in &ended {
                state.end_lease(*lease);
            }
            if !ended.is_empty() {
                for_leases.1.notify_all();
            }
        });
        Ok(Self {
            address: server.address,
            shared,
            _server: server,
        })
    }

    /// Writes a key as the operator or a runner does.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.write().as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Number of times that the owner's key of the only group was written.
    pub fn takeovers(&self) -> usize {
        let state = self.shared.0.lock().unwrap();
        let writes = state.history.iter();
        let writes = writes.filter(|(_, key, value)| key == "ps/m/own/0" && value.is_some());
        writes.count()
    }
}

fn handle(shared: &Shared, request: &Request) -> Reply {
    let call = request.path.strip_prefix("/persimmonshift/")?;
    let text = |name: &str| request.query.get(name).map_or("", String::as_str);
    let reply = |status: u16, body: Json| Some((status, body.write()));
    if call == "kv-watch" {
        let after = text("after").parse().ok()?;
        let wait = Duration::from_millis(text("waitMs").parse().ok()?);
        return watch(shared, text("prefix"), after, wait);
    }
    let mut state = shared.0.lock().unwrap();
    let reply = match call {
        "kv-key" => match state.items.get(text("key")) {
            Some(item) => reply(200, describe(text("key"), item)),
            None => reply(404, Json::table([])),
        },
        "kv-range" => {
            let (prefix, after) = (text("prefix"), text("after"));
            let items = state.items.iter();
            let mut items =
                items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let page = items.by_ref().take(PAGE);
            let page: Vec<_> = page.map(|(key, it)| describe(key, it)).collect();
            let has_more = items.next().is_some();
            reply(
                200,
                Json::table([
                    ("items", Json::List(page)),
                    ("hasMore", Json::Bool(has_more)),
                    ("asOf", state.revision.into()),
                ]),
            )
        }
        "kv-txn" => {
            let (status, body) = apply(&mut state, &Json::parse(&request.body)?);
            reply(status, body)
        }
        "kv-lease" => {
            let ttl_ms = Json::parse(&request.body)?.get("ttlMs").u64();
            state.revision += 1;
            let lease = state.revision;
            let ttl = Duration::from_millis(ttl_ms);
            let ends_at = Instant::now() + ttl;
            state.leases.insert(lease, Lease { ttl, ends_at });
            let fields = [("lease", lease.into()), ("ttlMs", ttl_ms.into())];
            reply(200, Json::table(fields))
        }
        _ => {
            let (call, lease) = call.split_once('/')?;
            let lease = lease.parse().ok()?;
            match (call, state.leases.get_mut(&lease)) {
                ("kv-keep", Some(it)) => {
                    it.ends_at = Instant::now() + it.ttl;
                    reply(200, Json::table([]))
                }
                ("kv-lease-end", Some(_)) => {
                    state.end_lease(lease);
                    reply(200, Json::table([]))
                }
                _ => reply(404, Json::table([])),
            }
        }
    };
    drop(state);
    shared.1.notify_all();
    reply
}

fn describe(key: &str, item: &Item) -> Json {
    Json::table([
        ("key", Json::text(key)),
        ("value", Json::text(&item.value)),
        ("revision", item.revision.into()),
        ("lease", item.lease.into()),
    ])
}

fn apply(state: &mut State, txn: &Json) -> (u16, Json) {
    let expected = txn.get("expected").list();
    let revision = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
    let holds = |row: &Json| revision(state, row.get("key").str()) == row.get("revision").u64();
    if !expected.iter().all(holds) {
        let items = expected.iter().filter_map(|row| {
            let key = row.get("key").str();
            state.items.get(key).map(|it| describe(key, it))
        });
        let items = items.collect();
        return (412, Json::table([("items", Json::List(items))]));
    }
    let writes = txn.get("writes").list();
    let lease_of = |write: &Json| write.get("lease").u64();
    let is_known = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
    if !writes.iter().map(lease_of).all(is_known) {
        return (404, Json::table([]));
    }
    state.revision += 1;
    for write in writes {
        state.put(
            write.get("key").str(),
            write.get("value").str(),
            lease_of(write),
        );
    }
    for key in txn.get("remove").list() {
        state.remove(key.str());
    }
    (200, Json::table([("revision", state.revision.into())]))
}

fn watch(shared: &Shared, prefix: &str, after: u64, wait: Duration) -> Reply {
    let until = Instant::now() + wait;
    let mut state = shared.0.lock().unwrap();
    loop {
        let first = state.history.partition_point(|it| it.0 <= after);
        let events = state.history[first..].iter();
        let events = events.filter(|(_, key, _)| key.starts_with(prefix));
        let events: Vec<_> = events
            .map(|(revision, key, value)| {
                let revision = ("revision", (*revision).into());
                let key = ("key", Json::text(key));
                match value {
                    Some(value) => Json::table([key, revision, ("value", Json::text(value))]),
                    None => Json::table([key, revision, ("deleted", Json::Bool(true))]),
                }
            })
            .collect();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            let body = Json::table([
                ("events", Json::List(events)),
                ("asOf", state.revision.into()),
            ]);
            return Some((200, body.write()));
        }
        state = shared.1.wait_timeout(state, until - now).unwrap().0;
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*chunk.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            if at <= chunk.len() {
                let digit = (bits >> (18 - 6 * at)) & 63;
                out.push(DIGITS[digit as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
