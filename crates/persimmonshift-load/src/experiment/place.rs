//! Placement: cost of a decision by shard size, and batch throughput compared with first fit.

use persimmon_place::{naive, place, ClaimKey, Ledger, Shares, WorkKind, WorkerKey};
use persimmon_shard::{
    Charts, Core, JobTable, Options, Submission, SyncAnswer, TaskStatus, TaskView, WorkerSpec,
};
use persimmon_ticket::{BatchClass, Rerun};
use persimmon_types::Size;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeMap,
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

const SHARES: Shares = Shares {
    latency_critical_percent: 50,
    batch_percent: 50,
};
const CAPACITY: Size = Size {
    cpu_millis: 32_000,
    memory_mib: 128_000,
    accelerators: 0,
};
/// Tasks per worker at the target scale: 38,000 tasks on 4,200 workers.
const TASKS_PER_WORKER: usize = 9;
const DECISIONS: usize = 200_000;

pub(super) fn run(seed: u64) -> String {
    let mut text =
        format!("seed {seed}\n\nledger alone: choose, claim and release, shard 85 % full\n");
    text += "workers  place/s  ns each  first fit/s  ns each\n";
    for workers in [66, 525, 4_200] {
        let (place_ns, first_fit_ns) = (
            claim_cycle_ns(workers, seed, true),
            claim_cycle_ns(workers, seed, false),
        );
        text += &format!(
            "{workers:>7} {:>8.0} {:>8.0} {:>12.0} {:>8.0}\n",
            1e9 / place_ns,
            place_ns,
            1e9 / first_fit_ns,
            first_fit_ns
        );
    }
    text += "\nwhole decision: submit, decide, commit, start, report, complete; 9 tasks a worker\n";
    text += "workers  running  jobs/s  us each\n";
    for workers in [16, 66, 264] {
        let (jobs, elapsed) = core_decision_cost(workers);
        let us = elapsed.as_secs_f64() * 1e6 / jobs as f64;
        let running = workers * TASKS_PER_WORKER;
        text += &format!("{workers:>7} {running:>8} {:>7.0} {us:>8.1}\n", 1e6 / us);
    }
    text += "\nbatch throughput: processor hours done in 8 h on 66 workers, 2 accelerators on every 8th\n";
    text += "case               first fit  place   ratio\n";
    for (name, rate, accelerated_percent) in [
        ("no contention", 0.5, 0),
        ("full", 1.4, 0),
        ("full, accelerators", 1.4, 20),
    ] {
        let first_fit_hours = throughput(seed, rate, accelerated_percent, false);
        let place_hours = throughput(seed, rate, accelerated_percent, true);
        text += &format!(
            "{name:<18} {first_fit_hours:>9.0} {place_hours:>6.0} {:>7.3}\n",
            place_hours / first_fit_hours
        );
    }
    text
}

fn task_size(rng: &mut ChaCha8Rng) -> Size {
    let cpu_millis = [500, 1_000, 1_000, 2_000, 2_000, 4_000, 8_000][rng.random_range(0..7)];
    let per_core = rng.random_range(500..6_000);
    Size {
        cpu_millis,
        memory_mib: cpu_millis * per_core / 1000,
        accelerators: 0,
    }
}

/// Returns the nanoseconds of one choice, claim and release in a shard that is 85 % full.
fn claim_cycle_ns(workers: usize, seed: u64, use_place: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = Ledger::new(SHARES);
    for _ in 0..workers {
        ledger.add(CAPACITY);
    }
    let batch_capacity = CAPACITY.percent(SHARES.batch_percent).cpu_millis as usize * workers;
    let (mut used, mut claims): (usize, Vec<(ClaimKey, Size)>) = (0, Vec::new());
    while used < batch_capacity * 85 / 100 {
        let size = task_size(&mut rng);
        let start = rng.random_range(0..workers);
        let Some(key) = choose_worker(&ledger, size, start, use_place) else {
            continue;
        };
        if let Ok(claim) = ledger.claim(key, WorkKind::Batch, size) {
            used += size.cpu_millis as usize;
            claims.push((claim, size));
        }
    }
    let sizes: Vec<Size> = (0..DECISIONS).map(|_| task_size(&mut rng)).collect();
    let claim_indices: Vec<usize> = (0..DECISIONS)
        .map(|_| rng.random_range(0..claims.len()))
        .collect();
    let started_at = Instant::now();
    for (start, (size, claim_index)) in sizes.iter().zip(claim_indices).enumerate() {
        let (claim, old) = claims[claim_index];
        // A task of the same size replaces the released one, so the utilization is constant.
        let _ = ledger.release(claim);
        let key = choose_worker(&ledger, old, start, use_place);
        black_box(size);
        if let Some(Ok(claim)) = key.map(|key| ledger.claim(key, WorkKind::Batch, old)) {
            claims[claim_index] = (claim, old);
        }
    }
    started_at.elapsed().as_secs_f64() * 1e9 / DECISIONS as f64
}

fn choose_worker(ledger: &Ledger, size: Size, start: usize, use_place: bool) -> Option<WorkerKey> {
    if use_place {
        return place(
            ledger,
            WorkKind::Batch,
            size,
            start,
            place::Options::default(),
            |_| 0,
        );
    }
    naive::first_fit(ledger, WorkKind::Batch, size)
}

/// Runs jobs through a complete shard core with simulated workers; returns the number of jobs and
/// the elapsed time.
fn core_decision_cost(workers: usize) -> (usize, Duration) {
    const ROUNDS: usize = 12;
    let charts = Arc::new(Charts::load().unwrap_or_else(|err| panic!("{err}")));
    let mut now = Instant::now();
    let mut unix_ms = 1_000_000;
    let mut core = Core::new(Options::default(), charts, SHARES, JobTable::default(), now);
    let specs: Vec<WorkerSpec> = (0..workers).map(worker_spec).collect();
    core.set_workers(&specs, now);
    let mut tasks: Vec<BTreeMap<(u64, u32), TaskStatus>> = vec![BTreeMap::new(); workers];
    sync_all(&mut core, &mut tasks, now, unix_ms);
    let per_round = workers * TASKS_PER_WORKER;
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        for number in 0..per_round {
            let key = format!("{round}-{number}");
            let submission = Submission {
                key,
                class: batch_class(),
                deadline_unix_ms: unix_ms + 3_600_000,
            };
            drop(core.submit(submission, unix_ms));
        }
        core.place_queued(now, unix_ms);
        commit(&mut core);
        // Enough syncs for the start, the report of completion and the forget command.
        for _ in 0..4 {
            now += Duration::from_millis(500);
            unix_ms += 500;
            core.tick(now, unix_ms);
            sync_all(&mut core, &mut tasks, now, unix_ms);
            commit(&mut core);
        }
        core.prune(unix_ms);
    }
    (ROUNDS * per_round, started_at.elapsed())
}

fn batch_class() -> BatchClass {
    BatchClass {
        name: "class".to_owned(),
        team: "team".to_owned(),
        size: Size {
            cpu_millis: 1_500,
            memory_mib: 2_000,
            accelerators: 0,
        },
        run_time: Duration::from_secs(1),
        rerun: Rerun::Safe,
        attempts_max: 3,
        urgent: true,
    }
}

fn worker_spec(number: usize) -> WorkerSpec {
    WorkerSpec {
        id: format!("w{number}"),
        address: String::new(),
        rack: String::new(),
        capacity: CAPACITY,
        runners: Size::ZERO,
        leaving: false,
    }
}

fn commit(core: &mut Core) {
    if let Some((seq, entries)) = core.take_batch() {
        black_box(entries);
        core.commit(seq);
    }
}

/// Syncs every worker that is due; tasks complete between two syncs.
fn sync_all(
    core: &mut Core,
    tasks: &mut [BTreeMap<(u64, u32), TaskStatus>],
    now: Instant,
    unix_ms: u64,
) {
    use persimmon_shard::TaskCommand;
    for worker in core.due_workers(now) {
        let call = core.begin_sync(worker, true);
        let held = &mut tasks[worker];
        held.values_mut()
            .for_each(|status| *status = TaskStatus::Done);
        for command in call.commands {
            match command {
                TaskCommand::Start {
                    number, attempt, ..
                } => {
                    held.insert((number, attempt), TaskStatus::Running);
                }
                TaskCommand::Forget { number, attempt } => drop(held.remove(&(number, attempt))),
                _ => {}
            }
        }
        let view = |((number, attempt), status): (&(u64, u32), &TaskStatus)| TaskView {
            number: *number,
            attempt: *attempt,
            status: *status,
            checkpoint: None,
        };
        let tasks = held.iter().map(view).collect();
        let answer = SyncAnswer {
            incarnation: 1,
            nonce: 1,
            tasks,
            used: Size::ZERO,
        };
        core.end_sync(worker, Ok(answer), now, unix_ms);
    }
}

/// Returns the CPU hours completed; `rate` is the arriving work over the capacity of the workers.
fn throughput(seed: u64, rate: f64, accelerated_percent: u32, use_place: bool) -> f64 {
    const WORKERS: usize = 66;
    const MINUTES: u64 = 8 * 60;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ledger = Ledger::new(SHARES);
    let mut batch_capacity = 0.0;
    for worker in 0..WORKERS {
        let accelerators = if worker % 8 == 0 { 2 } else { 0 };
        ledger.add(Size {
            accelerators,
            ..CAPACITY
        });
        batch_capacity += f64::from(CAPACITY.percent(SHARES.batch_percent).cpu_millis) / 1000.0;
    }
    let mut queue: Vec<(Size, u64)> = Vec::new();
    let mut running: Vec<(u64, ClaimKey, f64)> = Vec::new();
    let (mut done, mut hours_to_submit, mut start) = (0.0, 0.0, 0);
    for minute in 0..MINUTES {
        running.retain(|(until, claim, work)| {
            let finished = *until <= minute;
            if finished {
                done += work;
                let _ = ledger.release(*claim);
            }
            !finished
        });
        hours_to_submit += batch_capacity * rate / 60.0;
        while hours_to_submit > 0.0 {
            let mut size = task_size(&mut rng);
            let minutes = rng.random_range(5..60);
            if rng.random_range(0..100) < accelerated_percent {
                size.accelerators = 1;
            }
            hours_to_submit -= f64::from(size.cpu_millis) / 1000.0 * minutes as f64 / 60.0;
            queue.push((size, minutes));
        }
        queue.retain(|(size, minutes)| {
            start += 1;
            let worker = choose_worker(&ledger, *size, start, use_place);
            let claim = worker.and_then(|key| ledger.claim(key, WorkKind::Batch, *size).ok());
            if let Some(claim) = claim {
                let work = f64::from(size.cpu_millis) / 1000.0 * *minutes as f64 / 60.0;
                running.push((minute + minutes, claim, work));
            }
            claim.is_none()
        });
    }
    done
}
