//! A stand-in of a runner, after PROTOCOL.md, "Running tasks" and "Service discovery".

use crate::{
    http::{Reply, Request, Server},
    json::Json,
    store::Store,
    Record,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How often a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_000);
/// Longest lease that a runner grants.
const HOLD_MAX_MS: u64 = 10_000;

/// What a runner is like.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A start that a runner has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    pub runner: String,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub struct End {
    pub task: String,
    pub how: String,
}

#[derive(Default)]
struct Seen {
    starts: Vec<Start>,
    ends: Vec<End>,
    /// Gangs by step and run: the members that are present, and when all of them are done.
    gangs: HashMap<(String, u32), (usize, Option<Instant>)>,
}

/// What the runners have seen.
#[derive(Clone)]
pub struct Log {
    seen: Arc<Mutex<Seen>>,
    record: Record,
}

impl Log {
    pub fn new(record: &Record) -> Self {
        Self {
            seen: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn starts(&self) -> Vec<Start> {
        self.seen.lock().unwrap().starts.clone()
    }

    pub fn ends(&self) -> Vec<End> {
        self.seen.lock().unwrap().ends.clone()
    }

    /// Adds a member to a run of a gang, which works from the moment when all are present.
    fn join_gang(&self, gang: &(String, u32), size: usize, work: Duration) {
        let mut seen = self.seen.lock().unwrap();
        let (present, done_at) = seen.gangs.entry(gang.clone()).or_default();
        *present += 1;
        if *present == size {
            *done_at = Some(Instant::now() + work);
        }
    }

    fn gang_done_at(&self, gang: &(String, u32)) -> Option<Instant> {
        let seen = self.seen.lock().unwrap();
        seen.gangs.get(gang).and_then(|it| it.1)
    }

    fn start(&self, runner: &str, task: &str, run: u32) {
        self.record
            .note(&format!("{runner} starts {task} run {run}"));
        let start = Start {
            runner: runner.to_owned(),
        };
        self.seen.lock().unwrap().starts.push(start);
    }

    fn end(&self, runner: &str, task: &str, run: u32, how: &str) {
        self.record
            .note(&format!("{runner} ends {task} run {run}: {how}"));
        let end = End {
            task: task.to_owned(),
            how: how.to_owned(),
        };
        self.seen.lock().unwrap().ends.push(end);
    }
}

struct Run {
    task: String,
    run: u32,
    /// When it is done; `None` for a task that lasts, and for a member of a gang.
    done_at: Option<Instant>,
    /// Step and run of the gang that it belongs to.
    gang: Option<(String, u32)>,
    /// Tail of a task that serves, in milliseconds, or processor time in use.
    measurement: u64,
}

/// One life of a runner.
struct Boot {
    born: u64,
    started: Instant,
    fence: u64,
    deadline_ms: Option<u64>,
    running: Vec<Run>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u32>,
}

impl Boot {
    fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born: since.map_or(0, |it| it.as_millis() as u64),
            started: Instant::now(),
            fence: 0,
            deadline_ms: None,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn grant(&mut self, deadline_ms: u64) {
        let deadline_ms = deadline_ms.min(self.clock_ms() + HOLD_MAX_MS);
        self.deadline_ms = Some(
            self.deadline_ms
                .map_or(deadline_ms, |it| it.max(deadline_ms)),
        );
    }

    fn end(&mut self, at: usize, how: &'static str, log: &Log, runner: &str) {
        let run = self.running.remove(at);
        log.end(runner, &run.task, run.run, how);
        self.last_end += 1;
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.ended.push((self.last_end, run.task, run.run, how));
    }

    fn tick(&mut self, log: &Log, runner: &str) {
        let now = Instant::now();
        if self.deadline_ms.is_some_and(|at| self.clock_ms() >= at) {
            self.deadline_ms = None;
            while !self.running.is_empty() {
                self.end(0, "lapsed", log, runner);
            }
        }
        let is_done = |run: &Run| {
            let of_gang = run.gang.as_ref().and_then(|gang| log.gang_done_at(gang));
            run.done_at.or(of_gang).is_some_and(|at| now >= at)
        };
        while let Some(at) = self.running.iter().position(is_done) {
            self.end(at, "done", log, runner);
        }
    }
}

type Life = Arc<Mutex<Boot>>;

pub struct Runner {
    pub options: Options,
    service: String,
    address: SocketAddr,
    store: Arc<Store>,
    log: Log,
    life: Mutex<Option<(Life, Server)>>,
}

impl Runner {
    /// Starts a runner and enters it into the store.
    pub fn start(
        options: Options,
        service: &str,
        store: &Arc<Store>,
        log: &Log,
    ) -> std::io::Result<Arc<Self>> {
        let probe = std::net::TcpListener::bind("127.0.0.1:0")?;
        let address = probe.local_addr()?;
        drop(probe);
        let runner = Arc::new(Self {
            options,
            service: service.to_owned(),
            address,
            store: Arc::clone(store),
            log: log.clone(),
            life: Mutex::new(None),
        });
        runner.boot()?;
        let alive = Arc::clone(&runner);
        thread::spawn(move || {
            let mut seq = 0;
            loop {
                thread::sleep(HEARTBEAT);
                seq += 1;
                alive.write_entry(seq);
            }
        });
        let alive = Arc::clone(&runner);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            if let Some((life, _)) = &*alive.life() {
                life.lock().unwrap().tick(&alive.log, &alive.options.id);
            }
        });
        Ok(runner)
    }

    fn life(&self) -> MutexGuard<'_, Option<(Life, Server)>> {
        self.life.lock().unwrap()
    }

    /// Boots the runner at its address, under its id.
    pub fn boot(&self) -> std::io::Result<()> {
        let life: Life = Arc::new(Mutex::new(Boot::new()));
        let (of_calls, log, id) = (Arc::clone(&life), self.log.clone(), self.options.id.clone());
        let server = Server::start(self.address, move |request| {
            handle(&of_calls, &request, &log, &id)
        })?;
        *self.life() = Some((life, server));
        self.log.record.note(&format!("{} boots", self.options.id));
        self.write_entry(0);
        Ok(())
    }

    /// The tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let life = self.life();
        let Some((life, _)) = &*life else {
            return Vec::new();
        };
        let boot = life.lock().unwrap();
        boot.running.iter().map(|it| it.task.clone()).collect()
    }

    fn write_entry(&self, seq: u64) {
        let Some(born) = self
            .life()
            .as_ref()
            .map(|(life, _)| life.lock().unwrap().born)
        else {
            return;
        };
        let Options {
            id,
            rack,
            cpu,
            mem_mb,
        } = &self.options;
        let capacity = [
            ("cpu", (*cpu).into()),
            ("memMb", (*mem_mb).into()),
            ("gpu", 0.into()),
        ];
        let entry = Json::table([
            ("service", Json::text(&self.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text("zone-a")),
            ("version", Json::text("1")),
            ("slots", 8.into()),
            ("state", Json::text("ready")),
            ("coldRemainingMs", 0.into()),
            ("seq", seq.into()),
            ("born", born.into()),
            ("capacity", Json::table(capacity)),
            (
                "labels",
                Json::List(vec![Json::text("a"), Json::text(rack)]),
            ),
        ]);
        self.store.write(&format!("servers/{id}"), &entry);
    }
}

/// The number after this name in the payload of a job, which says how its tasks behave: `work` is
/// how long a task works, in milliseconds; `gang` the number of members; `tail` the tail that a
/// serving task reports, in milliseconds.
fn number(spec: &str, name: &str) -> Option<u64> {
    let text = spec.split(name).nth(1)?;
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn handle(life: &Life, request: &Request, log: &Log, id: &str) -> Reply {
    let call = request.path.strip_prefix("/persimmonshift/")?;
    let expected = request.headers.get("expect-instance");
    let body = Json::parse(&request.body).unwrap_or(Json::Null);
    let mut boot = life.lock().unwrap();
    boot.tick(log, id);
    let clock = |boot: &Boot| ("clockMs", boot.clock_ms().into());
    let refuse = |boot: &Boot, status: u16, reason: &str| {
        let fields = [clock(boot), ("reason", Json::text(reason))];
        Some((status, Json::table(fields).write()))
    };
    if expected.is_some_and(|it| it != id) {
        return refuse(&boot, 421, "instance");
    }
    let fence = body.get("fencingToken").u64();
    if fence < boot.fence {
        return refuse(&boot, 409, "fence");
    }
    boot.fence = fence;
    let (task, run) = (body.get("task").str(), body.get("run").u64() as u32);
    let at = boot
        .running
        .iter()
        .position(|it| it.task == task && it.run == run);
    match call {
        "run-start" => {
            let deadline_ms = body.get("deadlineMs").u64();
            if at.is_some() {
                return Some((200, Json::table([clock(&boot)]).write()));
            }
            if boot.closed.get(task).is_some_and(|closed| run <= *closed) {
                boot.grant(deadline_ms);
                return refuse(&boot, 409, "old");
            }
            if deadline_ms <= boot.clock_ms() {
                return refuse(&boot, 409, "late");
            }
            boot.grant(deadline_ms);
            log.start(id, task, run);
            let spec = body.get("spec").str();
            let work = number(spec, "work=").map(Duration::from_millis);
            let size = number(spec, "gang=");
            let step = task.rsplit_once('.').map_or(task, |it| it.0);
            let gang = size.map(|_| (step.to_owned(), run));
            if let (Some(gang), Some(size), Some(work)) = (&gang, size, work) {
                log.join_gang(gang, size as usize, work);
            }
            boot.running.push(Run {
                task: task.to_owned(),
                run,
                done_at: work
                    .filter(|_| gang.is_none())
                    .map(|it| Instant::now() + it),
                gang,
                measurement: number(spec, "tail=").unwrap_or(1),
            });
            Some((200, Json::table([clock(&boot)]).write()))
        }
        "run-stop" => {
            if let Some(at) = at {
                boot.end(at, "stopped", log, id);
            }
            let closed = boot.closed.entry(task.to_owned()).or_default();
            *closed = run.max(*closed);
            Some((200, Json::table([clock(&boot)]).write()))
        }
        "pace" => Some((200, Json::table([clock(&boot)]).write())),
        "hold" => {
            if !body.get("deadlineMs").is_null() {
                boot.grant(body.get("deadlineMs").u64());
            }
            let last_seen = body.get("lastSeen").u64();
            boot.ended.retain(|end| end.0 > last_seen);
            let wait = Duration::from_millis(body.get("waitMs").u64());
            let until = Instant::now() + wait;
            while boot.ended.is_empty() && Instant::now() < until {
                drop(boot);
                thread::sleep(Duration::from_millis(3));
                boot = life.lock().unwrap();
                boot.tick(log, id);
            }
            let running = boot.running.iter().map(|it| {
                let row = vec![
                    Json::text(&it.task),
                    u64::from(it.run).into(),
                    Json::text(""),
                    100.into(),
                    it.measurement.into(),
                ];
                Json::List(row)
            });
            let ended = boot.ended.iter().take(500).map(|(number, task, run, how)| {
                let row = vec![
                    (*number).into(),
                    Json::text(task),
                    u64::from(*run).into(),
                    Json::text(how),
                    Json::text(""),
                ];
                Json::List(row)
            });
            let body = Json::table([
                clock(&boot),
                ("born", boot.born.into()),
                ("running", Json::List(running.collect())),
                ("endedRuns", Json::List(ended.collect())),
            ]);
            Some((200, body.write()))
        }
        _ => Some((404, Json::table([]).write())),
    }
}
