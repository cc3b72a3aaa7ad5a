//! The cases.

use super::*;

/// Plays a case; returns whether the rule held, `None` if the case could not run.
pub fn play(number: &str, folder: PathBuf, trouble: bool) -> Option<bool> {
    let held = match number {
        "12" => checkpoints_at_once(folder, trouble),
        "13" => lone_survivor(folder, trouble),
        "11" => large_checkpoints(folder, trouble),
        "14" => hopeless_jobs(folder, trouble),
        _ => return None,
    };
    (!NOT_RUN.load(Ordering::SeqCst)).then_some(held)
}

fn words(text: &str) -> HashMap<&str, &str> {
    text.split_whitespace()
        .filter_map(|it| it.split_once('='))
        .collect()
}

/// Two of three machines and a runner are lost for good.
fn lone_survivor(folder: PathBuf, trouble: bool) -> bool {
    let mut it = Deployment::new(folder);
    it.write_manifest(4);
    for at in 1..4 {
        it.add_machine(&format!("edge-a-{at}"), "z-a");
    }
    for at in 0..8 {
        it.add_runner(&format!("i-{at}"), 16_000, &format!("a,r1-{}", at / 4));
    }
    it.wait_ready();
    it.settle();
    it.submit(
        0,
        "00000000000000b1",
        "{\"spec\":\"last\",\"phases\":[{\"count\":4,\"cpu\":1000,\"memMb\":100,\"estimateMs\":500,\"longRunning\":true,\"maxPerServer\":1}]}",
    );
    thread::sleep(millis(4_000));
    let said = it.said();
    let first = said
        .iter()
        .find(|(_, text)| text.contains(" start task=00000000000000b1.0.0.0"));
    let Some((_, first)) = first else {
        it.give_up("the task doesn't start");
    };
    let runner = words(first)["runner"].to_owned();
    let lost = it
        .runners
        .iter()
        .position(|it| it.id == runner)
        .unwrap_or(0);
    let owner = it.owner().unwrap_or(0);
    let others: Vec<_> = (0..3).filter(|at| *at != owner).collect();
    let lost_at = unix_ms();
    if trouble {
        it.kill_runner(lost);
        it.kill_machine(owner);
        it.kill_machine(others[0]);
    }
    thread::sleep(millis(40_000));
    it.state(others[1], "00000000000000b1");
    let said = it.said();
    if !trouble {
        return !said.iter().any(|it| it.1.contains(" end task="));
    }
    let again = said
        .iter()
        .find(|(at, text)| *at > lost_at && text.contains(" start task=00000000000000b1.0.0.0"));
    let idle = again.map(|it| it.0 - lost_at);
    it.record
        .note(&format!("the task runs again after {idle:?} ms"));
    idle.is_some_and(|it| it < 14_000)
}

/// Among a hundred jobs are five that can never be done; they need the label of one runner.
fn hopeless_jobs(folder: PathBuf, trouble: bool) -> bool {
    let mut it = Deployment::new(folder);
    it.write_manifest(4);
    it.add_machine("edge-a-1", "z-a");
    it.add_machine("edge-a-2", "z-a");
    for at in 0..9 {
        it.add_runner(&format!("i-{at}"), 16_000, &format!("a,r1-{}", at / 4));
    }
    it.add_runner("i-9", 16_000, "b,r1-2");
    it.wait_ready();
    it.settle();
    let mut hopeless = Vec::new();
    for n in 0..100 {
        let id = format!("{:016x}", 0xc000 + n);
        let step = "\"count\":1,\"cpu\":500,\"memMb\":100,\"estimateMs\":50";
        if n % 20 < 19 {
            it.submit(
                n % 2,
                &id,
                &format!("{{\"spec\":\"work=50\",\"phases\":[{{{step}}}]}}"),
            );
        } else if trouble {
            let step = format!("{step},\"constraints\":\"b\"");
            it.submit(
                n % 2,
                &id,
                &format!("{{\"spec\":\"work=50 fail=99\",\"phases\":[{{{step}}}]}}"),
            );
            hopeless.push(id);
        }
        thread::sleep(millis(25));
    }
    let traffic_ends_ms = unix_ms();
    it.record.note("the traffic ends");
    thread::sleep(millis(14_000));
    let mut idle = Vec::new();
    while unix_ms() < traffic_ends_ms + 45_000 {
        let from_ms = unix_ms();
        let states: Vec<_> = hopeless.iter().map(|id| it.state(1, id)).collect();
        thread::sleep(millis(3_000));
        let said = it.said();
        for (id, state) in hopeless.iter().zip(states) {
            let of_job = format!(" start task={id}.");
            let has_begun = said
                .iter()
                .any(|it| it.0 > from_ms && it.1.contains(&of_job));
            // A run takes 50 ms, so none that began before lasts for the three seconds.
            if !has_begun && ["queued", "active"].contains(&state.as_str()) {
                idle.push(id.clone());
            }
        }
    }
    let jobs: HashSet<_> = idle.iter().collect();
    it.record.note(&format!(
        "jobs that are open and have nothing running for 3 s on end, from 14 s after the traffic: {}",
        jobs.len()
    ));
    for n in 0..100 {
        let id = format!("{:016x}", 0xc000 + n);
        if trouble || n % 20 < 19 {
            it.state(0, &id);
        }
    }
    idle.is_empty()
}

/// A large job whose tasks save their progress; small jobs come beside it.
fn large_checkpoints(folder: PathBuf, trouble: bool) -> bool {
    let mut it = Deployment::new(folder);
    it.write_manifest(4);
    for at in 1..4 {
        it.add_machine(&format!("edge-a-{at}"), "z-a");
    }
    for at in 0..8 {
        it.add_runner(&format!("i-{at}"), 32_000, &format!("a,r1-{}", at / 4));
    }
    it.wait_ready();
    it.settle();
    let length = if trouble { 2_800 } else { 16 };
    let large = "00000000000000e1";
    let step =
        "{\"count\":100,\"cpu\":100,\"memMb\":10,\"estimateMs\":2500,\"checkpointing\":true}";
    let steps = [step; 4].join(",");
    let spec = format!("work=2500 checkpoint={length}");
    it.submit(
        0,
        large,
        &format!("{{\"spec\":\"{spec}\",\"phases\":[{steps}]}}"),
    );
    let mut small = Vec::new();
    for n in 0..120 {
        let id = format!("{:016x}", 0xf000 + n);
        let body = "{\"spec\":\"work=100\",\"phases\":[{\"count\":36,\"cpu\":500,\"memMb\":10,\"estimateMs\":100}]}";
        it.submit(n % 3, &id, body);
        small.push(id);
        thread::sleep(millis(250));
    }
    it.record.note("the traffic ends");
    thread::sleep(millis(14_000));
    let from_ms = unix_ms();
    thread::sleep(millis(3_000));
    let said = it.said();
    let mut open = Vec::new();
    for id in small.iter().map(String::as_str).chain([large]) {
        let state = it.state(1, id);
        let of_job = format!("task={id}.");
        let is_at_work = said
            .iter()
            .any(|it| it.0 > from_ms && it.1.contains(&of_job));
        if state != "completed" && !is_at_work {
            let done = format!("{of_job}0.");
            let done = said
                .iter()
                .filter(|it| it.1.contains(&done) && it.1.ends_with("how=done"));
            it.record.note(&format!(
                "job {id} is {state}; ends done of its tasks: {}",
                done.count()
            ));
            open.push(id);
        }
    }
    it.record.note(&format!(
        "jobs that are open and have nothing running for 3 s on end, 14 s after the traffic: {} of 121",
        open.len()
    ));
    open.is_empty()
}

/// Large jobs whose tasks save their progress, four a second, beside a job whose tasks last.
fn checkpoints_at_once(folder: PathBuf, trouble: bool) -> bool {
    let mut it = Deployment::new(folder);
    it.write_manifest(4);
    for at in 1..4 {
        it.add_machine(&format!("edge-a-{at}"), "z-a");
    }
    for at in 0..8 {
        it.add_runner(&format!("i-{at}"), 32_000, &format!("a,r1-{}", at / 4));
    }
    it.wait_ready();
    it.settle();
    let lasting = "00000000000000a1";
    it.submit(
        0,
        lasting,
        "{\"spec\":\"last\",\"phases\":[{\"count\":8,\"cpu\":100,\"memMb\":100,\"estimateMs\":500,\"longRunning\":true,\"maxPerServer\":1,\"mayMiss\":1}]}",
    );
    thread::sleep(millis(3_000));
    let length = if trouble { 3_400 } else { 16 };
    let step = "{\"count\":100,\"cpu\":36,\"memMb\":10,\"estimateMs\":30000,\"checkpointing\":true}";
    let steps = [step; 3].join(",");
    let spec = format!("work=30000 checkpoint={length}");
    for n in 0..20 {
        let id = format!("{:016x}", 0xe00 + n);
        it.submit(
            n % 3,
            &id,
            &format!("{{\"spec\":\"{spec}\",\"phases\":[{steps}]}}"),
        );
        thread::sleep(millis(250));
    }
    it.record.note("the traffic ends");
    thread::sleep(millis(30_000));
    let ends_ms = unix_ms();
    it.state(1, lasting);
    let said = it.said();
    let lapsed = said
        .iter()
        .filter(|it| it.1.ends_with("how=lapsed"))
        .count();
    it.record
        .note(&format!("runs whose lease lapsed: {lapsed}"));
    let idle = longest_idle(&said, lasting, 8, ends_ms);
    it.record.note(&format!(
        "longest time without a run of a task that lasts: {idle} ms"
    ));
    let twice = started_after_done(&said);
    for text in twice.iter().take(20) {
        it.record.note(text);
    }
    it.record.note(&format!(
        "tasks that were started again after an end done that counts as taken note of: {}",
        twice.len()
    ));
    // Due from 6 s after its last run; the rule allows 3 s.
    idle <= 9_000
}

/// Longest time without a run of a lasting task, in milliseconds.
fn longest_idle(said: &[(u64, String)], job: &str, tasks: usize, ends_ms: u64) -> u64 {
    let mut longest = 0;
    for index in 0..tasks {
        let task = format!("task={job}.0.0.{index} ");
        let mut idle_since = None;
        for (at, text) in said.iter().filter(|it| it.1.contains(&task)) {
            if text.contains(" end number=") {
                idle_since = Some(*at);
            } else if text.contains(" start ") {
                longest = longest.max(idle_since.map_or(0, |since: u64| at - since));
                idle_since = None;
            }
        }
        longest = longest.max(idle_since.map_or(0, |since| ends_ms - since));
    }
    longest
}

/// Starts of tasks after a run has ended `done` and that end counts as taken note of: `lastSeen` has
/// reached it, or a runner listed it 100 ms ago, and the runner's lease had not run out before.
fn started_after_done(said: &[(u64, String)]) -> Vec<String> {
    // The open ends done of each runner, by number, with task and time.
    let mut open: HashMap<String, BTreeMap<u64, (String, u64)>> = HashMap::new();
    let mut noted: HashMap<String, (u64, u64, String)> = HashMap::new();
    let mut broken = Vec::new();
    for (at, text) in said {
        let map = words(text);
        let Some(runner) = map.get("runner").map(|it| (*it).to_owned()) else {
            continue;
        };
        let kind = text.split_whitespace().nth(1).unwrap_or("");
        match kind {
            "end" if map["how"] == "done" => {
                let number = map["number"].parse().unwrap_or(0);
                let end = (map["task"].to_owned(), *at);
                open.entry(runner).or_default().insert(number, end);
            }
            // What has not been listed by now is never taken note of.
            "lease" => drop(open.remove(&runner)),
            "listed" | "seen" => {
                let to: u64 = map["to"].parse().unwrap_or(0);
                let ends = open.entry(runner.clone()).or_default();
                let rest = ends.split_off(&(to + 1));
                for (_, (task, ended_at)) in std::mem::replace(ends, rest) {
                    let noted_at = if kind == "listed" { at + 100 } else { *at };
                    noted.insert(task, (ended_at, noted_at, runner.clone()));
                }
            }
            "start" => {
                let before = noted.get(map["task"]).filter(|it| *at > it.1);
                if let Some((ended_at, _, other)) = before {
                    let (task, ago) = (map["task"], at - ended_at);
                    broken.push(format!("{task} is started on {runner}, {ago} ms after a run on {other} has ended done"));
                }
            }
            _ => {}
        }
    }
    broken
}
