//! The scenarios. Each returns what was broken, `None` if the rule held, or why it could not run.

use crate::{
    client,
    json::Json,
    runner::{Log, Options, Runner, Start},
    store::Store,
    system::{System, HOST},
    Record,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

pub type Verdict = Result<Option<String>, String>;

const PREFIX: &str = "/jobs/";
const SERVICE: &str = "desk";
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

pub fn run(name: &str, trouble: bool, record: &Record) -> Verdict {
    match name {
        "crashes" => crashes(trouble, record),
        "hopeless-jobs" => hopeless_jobs(trouble, record),
        _ => Err(format!("no scenario {name}")),
    }
}

struct World {
    store: Arc<Store>,
    log: Log,
    runners: Vec<Arc<Runner>>,
    system: System,
    record: Record,
}

impl World {
    /// A small deployment: processes, runners of 32 cores, eight a rack, and one queue.
    fn start(processes: usize, runners: usize, record: &Record) -> Result<Self, String> {
        let fail = |err: std::io::Error| err.to_string();
        let store = Arc::new(Store::start().map_err(fail)?);
        let log = Log::new(record);
        let route = Json::table([
            ("name", Json::text("jobs")),
            ("host", Json::text(HOST)),
            ("prefix", Json::text(PREFIX)),
            ("service", Json::text(SERVICE)),
            ("priority", 0.into()),
            ("maxAttempts", 2.into()),
            ("stretch", Json::Number(1.5)),
            ("targetDurationMs", 1_000.into()),
        ]);
        let service = [("name", Json::text(SERVICE)), ("admissionControl", Json::Bool(true))];
        let limits = Json::table([("maxBodyBytes", 262_144.into())]);
        let config = Json::table([
            ("version", 3.into()),
            ("routes", Json::List(vec![route])),
            ("services", Json::List(vec![Json::table(service)])),
            ("limits", limits),
        ]);
        store.write("op/config", &config);
        let mut all = Vec::new();
        for number in 0..runners {
            let options = Options {
                id: format!("r-{number:02}"),
                rack: format!("rack-{}", number / 8),
                cpu: 32_000,
                mem_mb: 128_000,
            };
            all.push(Runner::start(options, SERVICE, &store, &log).map_err(fail)?);
        }
        let system = System::start(processes, store.address, record).map_err(fail)?;
        if !system.wait_ready() {
            return Err("the processes are not ready".to_owned());
        }
        // The owner has polled the runners by then.
        thread::sleep(Duration::from_millis(1_500));
        Ok(Self {
            store,
            log,
            runners: all,
            system,
            record: record.clone(),
        })
    }

    /// Submits a job at a process; returns the status, 0 without an answer.
    fn submit(&self, process: usize, id: &str, spec: &str, phases: &str) -> u16 {
        let body = format!("{{\"spec\":\"{spec}\",\"phases\":{phases}}}");
        let to = self.system.processes[process].frontend;
        let path = format!("{PREFIX}{id}");
        let answer = client::call(to, "POST", HOST, &path, &body, CALL_TIMEOUT);
        let status = answer.map_or(0, |it| it.0);
        self.record.note(&format!("POST {id}: {status}"));
        status
    }

    /// The state of a job as a process tells it; the status if it is not 200.
    fn state(&self, process: usize, id: &str) -> String {
        let to = self.system.processes[process].frontend;
        let path = format!("{PREFIX}{id}");
        match client::call(to, "GET", HOST, &path, "", CALL_TIMEOUT) {
            Some((200, body)) => Json::parse(&body).map_or(body.clone(), |it| it.get("state").str().to_owned()),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Waits for a start of a task that was not seen before.
    fn wait_start(&self, job: &str, seen: usize, timeout: Duration) -> Option<Start> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            let starts = self.log.starts();
            let mut of_job = starts.into_iter().filter(|it| it.task.starts_with(job));
            if let Some(start) = of_job.nth(seen) {
                return Some(start);
            }
            thread::sleep(Duration::from_millis(2));
        }
        None
    }

    /// Waits until a job has ended; returns its last state.
    fn wait_end(&self, process: usize, id: &str, timeout: Duration) -> String {
        let until = Instant::now() + timeout;
        let mut last = String::new();
        loop {
            let state = self.state(process, id);
            if state != last {
                self.record.note(&format!("GET {id}: {state}"));
                last = state;
            }
            let is_final = ["completed", "failed", "cancelled"].contains(&last.as_str());
            if is_final || Instant::now() >= until {
                return last;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn note_log(&self, text: &str) {
        for line in self.system.log_lines(text) {
            self.record.note(&line);
        }
    }
}

/// Two runners crash, one after the other, soon after the same task has started on them.
fn crashes(trouble: bool, record: &Record) -> Verdict {
    let world = World::start(3, 8, record)?;
    let id = "00000000000000a1";
    let phases = "[{\"count\":1,\"cpu\":2000,\"memMb\":1024,\"estimateMs\":2000}]";
    if world.submit(0, id, "work=2000", phases) != 200 {
        return Err("the job was not accepted".to_owned());
    }
    for crash in 0..2 {
        let start = world.wait_start(id, crash, Duration::from_secs(20));
        let start = start.ok_or("the task was not started")?;
        if !trouble {
            break;
        }
        thread::sleep(Duration::from_millis(300));
        let runner = world.runners.iter().find(|it| it.options.id == start.runner);
        let runner = runner.ok_or("no such runner")?;
        runner.crash();
        thread::sleep(Duration::from_millis(1_500));
        runner.boot().map_err(|err| err.to_string())?;
    }
    let state = world.wait_end(1, id, Duration::from_secs(25));
    world.note_log("event=run.crash");
    world.note_log("event=task.give_up");
    let failed_ends = world.log.ends().iter().filter(|it| it.how == "failed").count();
    match state.as_str() {
        "completed" => Ok(None),
        "failed" if failed_ends < 2 => Ok(Some(format!(
            "LOST: the job is shown as failed after {failed_ends} of 2 attempts have ended failed"
        ))),
        other => Err(format!("the job ended as {other}")),
    }
}

/// Small jobs that could run at once, and one in twenty that can never be done: it has many steps,
/// and each task asks for more memory than any runner has. No more of these come once no small job
/// has started for three seconds.
fn hopeless_jobs(trouble: bool, record: &Record) -> Verdict {
    let step = "{\"count\":40,\"cpu\":1000,\"memMb\":256000,\"estimateMs\":1000,\"image\":\"i\",\
                \"fills\":true}";
    let hopeless = format!("[{}]", vec![step; 1_000].join(","));
    let phases = "[{\"count\":1,\"cpu\":1000,\"memMb\":512,\"estimateMs\":300}]";
    let world = World::start(3, 8, record)?;
    let mut jobs = Vec::new();
    let mut waits_since = None;
    let until = Instant::now() + Duration::from_secs(40);
    let mut spells = 0;
    for number in 0.. {
        let next = Instant::now() + Duration::from_millis(200);
        if next > until {
            break;
        }
        if trouble && number % 20 == 10 && waits_since.is_none() {
            spells += 1;
            let id = format!("00000000000000{spells:02x}");
            let status = world.submit(0, &id, "work=1000", &hopeless);
            if status != 200 {
                return Err(format!("a job was answered {status}"));
            }
        }
        let id = format!("000000000001{number:04x}");
        if world.submit(number % 3, &id, "work=300", phases) == 200 {
            jobs.push(id);
        }
        let last_start = world.log.starts().last().map(|it| it.at_ms);
        if last_start.is_some_and(|at| record.ms() > at + 3_000) && waits_since.is_none() {
            record.note("no small job has started for 3 s; the traffic goes on for 4 s");
            waits_since = Some(Instant::now());
        }
        if waits_since.is_some_and(|at| at.elapsed() > Duration::from_secs(4)) {
            break;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    record.note(&format!("{spells} hopeless jobs of {} bytes came", hopeless.len()));
    record.note(&format!("the traffic ends; {} small jobs were accepted", jobs.len()));
    thread::sleep(FINISH);
    // For three seconds, see which jobs that are not done have a run.
    let state = |id: &String| world.state(1, id);
    let open: Vec<_> = jobs.iter().filter(|id| state(id) != "completed").cloned().collect();
    record.note(&format!("{} s later {} of them are not done", FINISH.as_secs(), open.len()));
    let mut idle = open.clone();
    let mut most_running = 0;
    let until = Instant::now() + Duration::from_millis(3_100);
    while Instant::now() < until {
        let running: Vec<_> = world.runners.iter().flat_map(|it| it.running()).collect();
        most_running = running.len().max(most_running);
        idle.retain(|id| !running.iter().any(|task| task.starts_with(id.as_str())));
        thread::sleep(Duration::from_millis(10));
    }
    idle.retain(|id| state(id) != "completed");
    for id in &idle {
        record.note(&format!("{id} is {} and has had nothing running for 3 s", state(id)));
    }
    record.note(&format!("at most {most_running} tasks ran meanwhile, of 256 that fit"));
    let count = |text: &str| world.system.log_lines(text).len();
    record.note(&format!(
        "the system withheld {} starts, lost {} sessions, took its group {} times",
        count("event=start.withheld"),
        count("event=session.lost"),
        world.store.takeovers()
    ));
    let rounds = world.system.log_lines("event=group.activity");
    rounds.iter().rev().take(5).for_each(|line| record.note(line));
    if idle.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: {} of {} accepted jobs have nothing running for 3 s, {} s after the end of the \
         traffic, while at most {most_running} of 256 cores are in use",
        idle.len(),
        jobs.len(),
        FINISH.as_secs()
    )))
}
