//! Stand-ins for the cases of this review: the platform's store, runners as processes, clients, and
//! the small deployment that a case starts. Standard library only.
//!
//!     standins runner STORE ID ADDRESS SERVICE ZONE CPU LABELS   one runner, until it is killed
//!     standins case N FOLDER TROUBLE                             plays a case, exits with 0, 1 or 2

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU16, Ordering},
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

mod cases;

/// `heartbeatMs` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_100);
/// `holdMaxMs` of the deployment.
const HOLD_MAX_MS: u64 = 10_000;
/// `stopMs` of the deployment: a stop takes at most this long.
const STOP: Duration = Duration::from_millis(100);
/// `valueBytes` of the deployment.
const VALUE_BYTES_MAX: usize = 1_048_576;
/// How long the store takes to answer.
const STORE_ANSWER: Duration = Duration::from_millis(4);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = Self::value(&bytes, &mut at)?;
        Some(value)
    }

    fn space(text: &[char], at: &mut usize) {
        while text.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(text: &[char], at: &mut usize) -> Option<Self> {
        Self::space(text, at);
        match *text.get(*at)? {
            '{' => {
                let mut map = BTreeMap::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    if *text.get(*at)? == '}' {
                        *at += 1;
                        return Some(Self::Map(map));
                    }
                    if *text.get(*at)? == ',' {
                        *at += 1;
                        continue;
                    }
                    let Self::Str(key) = Self::value(text, at)? else {
                        return None;
                    };
                    Self::space(text, at);
                    if *text.get(*at)? != ':' {
                        return None;
                    }
                    *at += 1;
                    map.insert(key, Self::value(text, at)?);
                }
            }
            '[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    match *text.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        ',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            '"' => {
                let mut out = String::new();
                *at += 1;
                loop {
                    let c = *text.get(*at)?;
                    *at += 1;
                    match c {
                        '"' => return Some(Self::Str(out)),
                        '\\' => {
                            let c = *text.get(*at)?;
                            *at += 1;
                            match c {
                                'n' => out.push('\n'),
                                't' => out.push('\t'),
                                'r' => out.push('\r'),
                                'b' => out.push('\u{8}'),
                                'f' => out.push('\u{c}'),
                                'u' => {
                                    let digits: String = text.get(*at..*at + 4)?.iter().collect();
                                    *at += 4;
                                    let code = u32::from_str_radix(&digits, 16).ok()?;
                                    out.push(char::from_u32(code).unwrap_or('?'));
                                }
                                c => out.push(c),
                            }
                        }
                        c => out.push(c),
                    }
                }
            }
            't' => {
                *at += 4;
                Some(Self::Bool(true))
            }
            'f' => {
                *at += 5;
                Some(Self::Bool(false))
            }
            'n' => {
                *at += 4;
                Some(Self::Null)
            }
            _ => {
                let from = *at;
                while text
                    .get(*at)
                    .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
                {
                    *at += 1;
                }
                let digits: String = text[from..*at].iter().collect();
                digits.parse().ok().map(Self::Num)
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    pub fn str(&self) -> &str {
        match self {
            Self::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> Option<u64> {
        match self {
            Self::Num(value) => Some(*value as u64),
            _ => None,
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut value = 0u32;
        for at in 0..3 {
            value = value << 8 | u32::from(*chunk.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            if at <= chunk.len() {
                out.push(DIGITS[(value >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 2;
            }
            b'+' => out.push(b' '),
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let method = parts.next()?.to_owned();
    let target = parts.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers.get("content-length");
    let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), unescape(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves connections; `answer` returns status and body, or `None` to close without an answer.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    let Some((status, body)) = answer(request) else {
                        let _ = writer.shutdown(Shutdown::Both);
                        return;
                    };
                    let head = format!(
                        "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes one call on a connection of its own. `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status: u16 = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns an address on loopback whose port is free, below those of outgoing connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() * 97 % 12_000) as u16;
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 14_000 + start.wrapping_add(offset) % 12_000;
        let udp = std::net::UdpSocket::bind(("127.0.0.1", port));
        if let (Ok(listener), Ok(_)) = (TcpListener::bind(("127.0.0.1", port)), udp) {
            if let Ok(address) = listener.local_addr() {
                return address;
            }
        }
    }
}

// --------------------------------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if it was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    /// Entries of runners, with the time of their last report.
    beats: HashMap<String, Instant>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Items>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Items {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Event {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, it)| now >= it.until);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
        let silent = self
            .beats
            .iter()
            .filter(|(_, at)| now >= **at + 3 * HEARTBEAT);
        let silent: Vec<_> = silent.map(|(key, _)| key.clone()).collect();
        for key in silent {
            self.beats.remove(&key);
            self.revision += 1;
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start() -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("the store's address");
        let items = Items {
            revision: 1,
            ..Items::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(items), Condvar::new())),
        };
        let it = store.clone();
        thread::spawn(move || loop {
            thread::sleep(millis(20));
            lock(&it.state.0).expire();
            it.state.1.notify_all();
        });
        let it = store.clone();
        serve(listener, move |request| Some(it.answer(&request)));
        store
    }

    pub fn write(&self, key: &str, value: &str) {
        let mut items = lock(&self.state.0);
        items.revision += 1;
        items.put(key, base64(value.as_bytes()), 0);
        drop(items);
        self.state.1.notify_all();
    }

    /// Keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = lock(&self.state.0);
        let keys = items.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// The value of a key, as base64.
    pub fn value(&self, key: &str) -> Option<String> {
        lock(&self.state.0)
            .items
            .get(key)
            .map(|it| it.value.clone())
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.strip_prefix("/persimmonshift/").unwrap_or("");
        let query = |key: &str| request.query.get(key).cloned().unwrap_or_default();
        if path != "kv-watch" {
            thread::sleep(STORE_ANSWER);
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut items = lock(&self.state.0);
        match (
            request.method.as_str(),
            path.split('/').next().unwrap_or(""),
        ) {
            ("GET", "kv-key") => match items.items.get(&query("key")) {
                Some(item) => (200, item_json(&query("key"), item)),
                None => (404, format!("{{\"asOf\":{}}}", items.revision)),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let matching = items.items.iter();
                let matching =
                    matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut rows: Vec<_> = matching.map(|(key, it)| item_json(key, it)).collect();
                let has_more = rows.len() > 500;
                rows.truncate(500);
                let rows = rows.join(",");
                let revision = items.revision;
                (
                    200,
                    format!("{{\"items\":[{rows}],\"hasMore\":{has_more},\"asOf\":{revision}}}"),
                )
            }
            ("GET", "kv-watch") => {
                let prefix = query("prefix");
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = millis(query("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = items.history.iter();
                    let events =
                        events.filter(|it| it.revision > after && it.key.starts_with(&prefix));
                    let rows: Vec<_> = events
                        .map(|it| match &it.item {
                            Some(item) => item_json(&it.key, item),
                            None => format!(
                                "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                                quote(&it.key),
                                it.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !rows.is_empty() || now >= until {
                        let (rows, revision) = (rows.join(","), items.revision);
                        return (200, format!("{{\"events\":[{rows}],\"asOf\":{revision}}}"));
                    }
                    let waited = self.state.1.wait_timeout(items, until - now);
                    items = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            ("POST", "kv-txn") => {
                let revision_of =
                    |items: &Items, key: &str| items.items.get(key).map_or(0, |it| it.revision);
                let expected = body.get("expected").list();
                let holds = |row: &Json| {
                    row.get("revision").num() == Some(revision_of(&items, row.get("key").str()))
                };
                if !expected.iter().all(holds) {
                    let keys: HashSet<_> =
                        expected.iter().map(|row| row.get("key").str()).collect();
                    let rows = keys
                        .iter()
                        .filter_map(|key| items.items.get(*key).map(|it| item_json(key, it)));
                    let rows: Vec<_> = rows.collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                let writes = body.get("writes").list();
                let is_too_large =
                    |it: &Json| it.get("value").str().len() / 4 * 3 > VALUE_BYTES_MAX;
                if writes.iter().any(is_too_large) {
                    return (
                        400,
                        "{\"error\":\"a value is larger than valueBytes\"}".to_owned(),
                    );
                }
                let leases = writes.iter().filter_map(|it| it.get("lease").num());
                if leases
                    .into_iter()
                    .any(|it| it != 0 && !items.leases.contains_key(&it))
                {
                    return (404, "{}".to_owned());
                }
                items.revision += 1;
                for write in writes {
                    let lease = write.get("lease").num().unwrap_or(0);
                    items.put(
                        write.get("key").str(),
                        write.get("value").str().to_owned(),
                        lease,
                    );
                }
                for key in body.get("remove").list() {
                    items.remove(key.str());
                }
                let revision = items.revision;
                drop(items);
                self.state.1.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "kv-lease") => {
                let ttl_ms = body.get("ttlMs").num().unwrap_or(1_000);
                if !(1_000..=600_000).contains(&ttl_ms) {
                    return (400, "{}".to_owned());
                }
                items.last_lease += 1;
                let (lease, ttl) = (items.last_lease, millis(ttl_ms));
                let until = Instant::now() + ttl;
                items.leases.insert(lease, Lease { ttl, until });
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", "kv-keep") => {
                let lease = path.rsplit('/').next().and_then(|it| it.parse().ok());
                match lease.and_then(|it: u64| items.leases.get_mut(&it)) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", "kv-lease-end") => {
                let lease = path.rsplit('/').next().and_then(|it| it.parse().ok());
                items.end_lease(lease.unwrap_or(0));
                drop(items);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            // How the runners of these stand-ins write their entries.
            ("POST", "beat") => {
                let key = format!("servers/{}", query("id"));
                let value = base64(request.body.as_bytes());
                items.beats.insert(key.clone(), Instant::now());
                items.revision += 1;
                items.put(&key, value, 0);
                drop(items);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// -------------------------------------------------------------------------------------- runner

/// What the runner of these stand-ins does with a task, by the words of the job's `spec`:
/// `work=MS` of work, or `last` for a task that lasts; `fail=N`: the runs up to number N fail.
struct Work {
    takes: Option<Duration>,
    failing_runs: u64,
    /// Length of its checkpoints; 0 for none.
    checkpoint_length: usize,
}

impl Work {
    fn parse(spec: &str) -> Self {
        let word = |name: &str| {
            let words = spec.split_whitespace();
            let found = words
                .filter_map(|it| it.split_once('='))
                .find(|it| it.0 == name);
            found.and_then(|it| it.1.parse::<u64>().ok())
        };
        Self {
            takes: word("work").map(millis),
            failing_runs: word("fail").unwrap_or(0),
            checkpoint_length: word("checkpoint").unwrap_or(0) as usize,
        }
    }
}

struct Run {
    number: u64,
    started_at: Instant,
    work: Work,
    stopped_at: Option<Instant>,
}

impl Run {
    /// The latest checkpoint: one for each second of work.
    fn saved(&self) -> String {
        let seconds = self.started_at.elapsed().as_secs();
        let length = self.work.checkpoint_length;
        if seconds == 0 || length == 0 {
            return String::new();
        }
        let mut text = format!("{:016x}", self.number << 32 | seconds);
        while text.len() < length {
            text.push('0');
        }
        text.truncate(length);
        text
    }
}

#[derive(Default)]
struct Running {
    fence: u64,
    /// Whether the lease has run out, also with nothing running.
    is_over: bool,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    /// Number, task, run and how.
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    last_seen: u64,
    last_listed: u64,
    /// Runs up to this number are rejected.
    stopped: HashMap<String, u64>,
}

fn say(id: &str, text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} runner={id} {text}", unix_ms());
    let _ = out.flush();
}

impl Running {
    fn end(&mut self, id: &str, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        self.last_end += 1;
        self.ended
            .push((self.last_end, task.to_owned(), run.number, how, run.saved()));
        say(
            id,
            &format!(
                "end number={} task={task} run={} how={how}",
                self.last_end, run.number
            ),
        );
    }

    fn advance(&mut self, id: &str, clock_ms: u64) -> bool {
        let before = self.last_end;
        if clock_ms >= self.deadline_ms && !std::mem::replace(&mut self.is_over, true) {
            say(id, &format!("lease over deadline={}", self.deadline_ms));
        }
        self.is_over = clock_ms >= self.deadline_ms;
        if !self.runs.is_empty() && clock_ms >= self.deadline_ms {
            let tasks: Vec<_> = self.runs.keys().cloned().collect();
            tasks.iter().for_each(|task| self.end(id, task, "lapsed"));
        }
        let now = Instant::now();
        let ending = self.runs.iter().filter_map(|(task, run)| {
            if run.stopped_at.is_some_and(|at| now >= at + STOP) {
                return Some((task.clone(), "stopped"));
            }
            let takes = run.work.takes?;
            let is_over = now >= run.started_at + takes;
            let fails = run.number <= run.work.failing_runs;
            is_over.then(|| (task.clone(), if fails { "failed" } else { "done" }))
        });
        let ending: Vec<_> = ending.collect();
        ending
            .iter()
            .for_each(|(task, how)| self.end(id, task, how));
        self.last_end > before
    }
}

fn run_runner(args: &[String]) -> Option<()> {
    let store: SocketAddr = args.first()?.parse().ok()?;
    let id = args.get(1)?.clone();
    let address: SocketAddr = args.get(2)?.parse().ok()?;
    let (service, zone, cpu) = (
        args.get(3)?.clone(),
        args.get(4)?.clone(),
        args.get(5)?.clone(),
    );
    let labels: Vec<_> = args.get(6)?.split(',').map(quote).collect();
    let labels = labels.join(",");
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(millis(20)),
        }
    };
    let (born, started_at) = (unix_ms(), Instant::now());
    let clock_ms = move || started_at.elapsed().as_millis() as u64;
    say(&id, &format!("born={born}"));
    let state = Arc::new((Mutex::new(Running::default()), Condvar::new()));
    let (ticked, own) = (Arc::clone(&state), id.clone());
    thread::spawn(move || loop {
        thread::sleep(millis(10));
        if lock(&ticked.0).advance(&own, clock_ms()) {
            ticked.1.notify_all();
        }
    });
    let own = id.clone();
    serve(listener, move |request| {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let refusal = |status: u16, reason: &str| {
            let clock_ms = clock_ms();
            Some((
                status,
                format!("{{\"clockMs\":{clock_ms},\"reason\":\"{reason}\"}}"),
            ))
        };
        let path = request
            .path
            .strip_prefix("/persimmonshift/")
            .unwrap_or("")
            .to_owned();
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|it| *it != own)
        {
            return refusal(421, "instance");
        }
        let mut it = lock(&state.0);
        it.advance(&own, clock_ms());
        let fence = body.get("fencingToken").num().unwrap_or(0);
        if fence < it.fence {
            return refusal(409, "fence");
        }
        it.fence = fence;
        let deadline_ms = body.get("deadlineMs").num();
        let task = body.get("task").str().to_owned();
        let run = body.get("run").num().unwrap_or(0);
        match path.as_str() {
            "run-start" => {
                let deadline_ms = deadline_ms.unwrap_or(0);
                if deadline_ms <= clock_ms() {
                    return refusal(409, "late");
                }
                it.deadline_ms = it
                    .deadline_ms
                    .max(deadline_ms.min(clock_ms() + HOLD_MAX_MS));
                if it.runs.get(&task).is_some_and(|it| it.number == run) {
                    return refusal(200, "");
                }
                let is_old = it.stopped.get(&task).is_some_and(|it| run <= *it);
                let ended = it.ended.iter().any(|it| it.1 == task && run <= it.2);
                if is_old || ended || it.runs.contains_key(&task) {
                    return refusal(409, "old");
                }
                let spec = body.get("spec").str();
                say(
                    &own,
                    &format!("start task={task} run={run} fence={fence} spec={spec:?}"),
                );
                it.runs.insert(
                    task.clone(),
                    Run {
                        number: run,
                        started_at: Instant::now(),
                        work: Work::parse(spec),
                        stopped_at: None,
                    },
                );
                let number = run;
                let known = it.stopped.entry(task).or_default();
                *known = (*known).max(number - 1);
                refusal(200, "")
            }
            "run-stop" => {
                say(&own, &format!("stop task={task} run={run}"));
                let known = it.stopped.entry(task.clone()).or_default();
                *known = (*known).max(run);
                if let Some(it) = it.runs.get_mut(&task).filter(|it| it.number <= run) {
                    it.stopped_at.get_or_insert_with(Instant::now);
                }
                refusal(200, "")
            }
            "pace" => refusal(200, ""),
            "hold" => {
                if let Some(deadline_ms) = deadline_ms {
                    let granted = deadline_ms.min(clock_ms() + HOLD_MAX_MS);
                    it.deadline_ms = it.deadline_ms.max(granted);
                }
                let seen = body.get("lastSeen").num().unwrap_or(0);
                if seen > it.last_seen {
                    it.last_seen = seen;
                    say(&own, &format!("seen up to={seen}"));
                }
                let forgotten: Vec<_> =
                    it.ended.iter().filter(|it| it.0 <= seen).cloned().collect();
                for (_, task, run, ..) in forgotten {
                    let known = it.stopped.entry(task).or_default();
                    *known = (*known).max(run);
                }
                it.ended.retain(|it| it.0 > seen);
                let wait = millis(body.get("waitMs").num().unwrap_or(0).min(2_000));
                let until = Instant::now() + wait;
                while it.ended.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    let waited = state.1.wait_timeout(it, left);
                    it = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
                let running = it.runs.iter().map(|(task, run)| {
                    format!(
                        "[{},{},\"{}\",100,100]",
                        quote(task),
                        run.number,
                        run.saved()
                    )
                });
                let running: Vec<_> = running.collect();
                let ended = it
                    .ended
                    .iter()
                    .take(500)
                    .map(|(number, task, run, how, saved)| {
                        format!("[{number},{},{run},\"{how}\",\"{saved}\"]", quote(task))
                    });
                let ended: Vec<_> = ended.collect();
                let last_listed = it.ended.iter().take(500).map(|it| it.0).max();
                if let Some(last) = last_listed.filter(|last| *last > it.last_listed) {
                    it.last_listed = last;
                    say(&own, &format!("listed to={last}"));
                }
                let body = format!(
                    "{{\"clockMs\":{},\"born\":{born},\"running\":[{}],\"endedRuns\":[{}]}}",
                    clock_ms(),
                    running.join(","),
                    ended.join(",")
                );
                Some((200, body))
            }
            _ => refusal(404, ""),
        }
    });
    let mut seq = 0;
    loop {
        seq += 1;
        let entry = format!(
            "{{\"service\":{},\"address\":\"{address}\",\"zone\":{},\"version\":\"1\",\"slots\":8,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":{born},\
             \"capacity\":{{\"cpu\":{cpu},\"memMb\":64000}},\"labels\":[{labels}]}}",
            quote(&service),
            quote(&zone)
        );
        let path = format!("/persimmonshift/beat?id={id}");
        call(store, "POST", &path, "store", &entry, millis(1_000));
        thread::sleep(HEARTBEAT);
    }
}

// ---------------------------------------------------------------------------------- deployment

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    /// What the runners said, with the Unix millisecond.
    pub said: Arc<Mutex<Vec<(u64, String)>>>,
    began_ms: u64,
}

impl Record {
    pub fn line(&self, at_ms: u64, text: &str) {
        let mut file = lock(&self.file);
        let at = at_ms as i64 - self.began_ms as i64;
        let _ = writeln!(file, "{:9.3} {text}", at as f64 / 1_000.0);
    }

    pub fn note(&self, text: &str) {
        self.line(unix_ms(), text);
    }
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    cpu: u32,
    labels: String,
    zone: String,
    process: Option<Child>,
}

pub struct Machine {
    pub name: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

/// A small deployment.
pub struct Deployment {
    pub store: Store,
    pub record: Record,
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub runners: Vec<Runner>,
    logs: PathBuf,
}

pub const HOST: &str = "queue.example";
pub const PREFIX: &str = "/jobs/";

impl Deployment {
    pub fn new(folder: PathBuf) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        let logs = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&logs).expect("a temporary folder");
        Self {
            store: Store::start(),
            record: Record {
                file: Arc::new(Mutex::new(file)),
                said: Arc::default(),
                began_ms: unix_ms(),
            },
            folder,
            machines: Vec::new(),
            runners: Vec::new(),
            logs,
        }
    }

    /// Writes a manifest with the queue of these stand-ins.
    pub fn write_manifest(&self, max_attempts: u32) {
        self.store.write(
            "op/config",
            &format!(
                "{{\"version\":7,\"routes\":[{{\"name\":\"jobs\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
                 \"service\":\"desk\",\"priority\":0,\"maxAttempts\":{max_attempts},\"stretch\":2,\
                 \"targetDurationMs\":1000}}],\"services\":[{{\"name\":\"desk\",\"admissionControl\":true}}],\
                 \"limits\":{{\"maxBodyBytes\":262144}}}}"
            ),
        );
    }

    pub fn add_machine(&mut self, name: &str, zone: &str) {
        let (frontend, readiness, peers) = (free_address(), free_address(), free_address());
        let settings = self.logs.join(format!("{name}.json"));
        let store = self.store.address;
        let text = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"entry\",\"machineClass\":\"edge\",\"serves\":[\"edge\"],\
             \"ip\":\"127.0.0.1\",\"zone\":\"{zone}\",\"region\":\"r\",\"zones\":{{\"{zone}\":\"r\"}},\
             \"listenAddrs\":{{\"frontend\":\"{frontend}\",\"readiness\":\"{readiness}\"}},\
             \"portRange\":[{0},{0}],\"seeds\":[],\"bootstrap\":true,\"inTolerance\":false,\
             \"limits\":{{\"cpuShare\":0.25,\"cores\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
             \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeatMs\":1100,\
             \"faultTolerance\":{{\"machines\":2,\"zones\":0,\"regionCount\":0}},\
             \"bounds\":{{\"contactMs\":3000,\"ackMs\":4000,\"drainMs\":2000,\"graceS\":6,\"holdMaxMs\":10000,\"stopMs\":200}},\
             \"orders\":\"invoke\",\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
            peers.port()
        );
        std::fs::write(&settings, text).expect("the settings file");
        self.machines.push(Machine {
            name: name.to_owned(),
            frontend,
            readiness,
            settings,
            process: None,
        });
        let at = self.machines.len() - 1;
        self.start_machine(at);
    }

    pub fn start_machine(&mut self, at: usize) {
        let it = &mut self.machines[at];
        let log = self.logs.join(format!("{}-{}.log", it.name, unix_ms()));
        let log = File::create(log).expect("a log file");
        let process = Command::new("target/release/persimmonshift-platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PERSIMMONSHIFT_BOOT", &it.settings)
            .stdout(log)
            .spawn();
        match process {
            Ok(process) => it.process = Some(process),
            Err(err) => self.give_up(&format!(
                "the program of the deploy file doesn't start: {err}"
            )),
        }
        let name = &self.machines[at].name;
        self.record.note(&format!("machine {name} started"));
    }

    /// Sends SIGKILL.
    pub fn kill_machine(&mut self, at: usize) {
        let it = &mut self.machines[at];
        if let Some(mut process) = it.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.record.note(&format!("machine {} killed", it.name));
    }

    /// Sends a signal by its name.
    pub fn signal_machine(&mut self, at: usize, signal: &str) {
        let it = &self.machines[at];
        if let Some(process) = &it.process {
            let pid = process.id().to_string();
            let _ = Command::new("kill")
                .args([format!("-{signal}"), pid])
                .status();
        }
        self.record
            .note(&format!("machine {} gets SIG{signal}", it.name));
    }

    /// The index of the machine that owns the group, as the store says.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("ps/m/own/0")?;
        let starts = |it: &Machine| {
            // Whole groups of three bytes, so that the text is a prefix in base64 too.
            let name = format!("{}#", it.name);
            let whole = name.len() / 3 * 3;
            value.starts_with(&base64(&name.as_bytes()[..whole]))
        };
        self.machines.iter().position(starts)
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let address = self.machines[at].readiness;
        let answer = call(
            address,
            "GET",
            "/persimmonshift/readyz",
            "x",
            "",
            millis(500),
        );
        answer.is_some_and(|it| it.0 == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + millis(15_000);
        while !(0..self.machines.len()).all(|at| self.is_ready(at)) || self.owner().is_none() {
            if Instant::now() > until {
                self.give_up("the machines don't get ready");
            }
            thread::sleep(millis(50));
        }
        self.record.note("all machines are ready");
    }

    pub fn add_runner(&mut self, id: &str, cpu: u32, labels: &str) -> usize {
        self.runners.push(Runner {
            id: id.to_owned(),
            address: free_address(),
            cpu,
            labels: labels.to_owned(),
            zone: "z-a".to_owned(),
            process: None,
        });
        let at = self.runners.len() - 1;
        self.start_runner(at);
        at
    }

    pub fn start_runner(&mut self, at: usize) {
        let it = &mut self.runners[at];
        let program = std::env::current_exe().expect("this program");
        let process = Command::new(program)
            .args(["runner", &self.store.address.to_string(), &it.id])
            .args([&it.address.to_string(), "desk", &it.zone])
            .args([&it.cpu.to_string(), &it.labels])
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut process) = process else {
            self.give_up("a runner doesn't start");
        };
        let out = process.stdout.take().expect("the runner's output");
        it.process = Some(process);
        let record = self.record.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let Some((at, text)) = line.split_once(' ') else {
                    continue;
                };
                let at: u64 = at.parse().unwrap_or(0);
                record.line(at, text);
                lock(&record.said).push((at, text.to_owned()));
            }
        });
    }

    pub fn kill_runner(&mut self, at: usize) {
        let it = &mut self.runners[at];
        if let Some(mut process) = it.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
        self.record.note(&format!("runner={} killed", it.id));
    }

    /// Waits until a machine has heard of all runners: they are in the store for a second.
    pub fn settle(&self) {
        thread::sleep(millis(2_500));
    }

    pub fn call(&self, at: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let answer = call(
            self.machines[at].frontend,
            method,
            &path,
            HOST,
            body,
            millis(3_000),
        );
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let name = &self.machines[at].name;
        self.record
            .note(&format!("client {method} {id} at {name} {body} -> {shown}"));
        answer
    }

    /// Hands a job in until it is accepted.
    pub fn submit(&self, at: usize, id: &str, body: &str) {
        for _ in 0..10 {
            if self
                .call(at, "POST", id, body)
                .is_some_and(|it| it.0 / 100 == 2)
            {
                return;
            }
            thread::sleep(millis(500));
        }
        self.give_up("a job is not accepted");
    }

    /// The state of a job, as a machine shows it.
    pub fn state(&self, at: usize, id: &str) -> String {
        match self.call(at, "GET", id, "") {
            Some((200, body)) => {
                Json::parse(&body).map_or(String::new(), |it| it.get("state").str().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => String::new(),
        }
    }

    /// Lines that the runners said, each with the Unix millisecond.
    pub fn said(&self) -> Vec<(u64, String)> {
        let mut said = lock(&self.record.said).clone();
        said.sort();
        said
    }

    /// Waits until a runner says this.
    pub fn wait_said(&self, text: &str, timeout_ms: u64) {
        let until = Instant::now() + millis(timeout_ms);
        while !self.said().iter().any(|it| it.1.contains(text)) {
            if Instant::now() > until {
                self.give_up(&format!("no runner said {text:?}"));
            }
            thread::sleep(millis(5));
        }
    }

    /// Ends all processes.
    pub fn end(&mut self) {
        for it in &mut self.machines {
            if let Some(mut process) = it.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        for it in &mut self.runners {
            if let Some(mut process) = it.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.logs);
        } else {
            println!("logs in {}", self.logs.display());
        }
    }

    /// The case can't run.
    pub fn give_up(&self, reason: &str) -> ! {
        self.record.note(&format!("the case can't run: {reason}"));
        eprintln!("the case can't run: {reason}");
        NOT_RUN.store(true, Ordering::SeqCst);
        panic!("{reason}");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

static NOT_RUN: AtomicBool = AtomicBool::new(false);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    match args.get(1).map(String::as_str) {
        Some("runner") => {
            run_runner(&args[2..]);
            std::process::exit(2);
        }
        Some("case") if args.len() == 5 => {
            let (number, folder) = (args[2].clone(), PathBuf::from(&args[3]));
            let trouble = args[4] != "0";
            let played = thread::spawn(move || cases::play(&number, folder, trouble));
            let code = match played.join() {
                Ok(Some(true)) => 0,
                Ok(Some(false)) => 1,
                _ => 2,
            };
            std::process::exit(code);
        }
        _ => {
            eprintln!("standins runner .. | standins case N FOLDER TROUBLE");
            std::process::exit(2);
        }
    }
}
