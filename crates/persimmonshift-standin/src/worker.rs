use crate::{
    args::WorkerArgs,
    http::{
        bind, json_response, print_addresses, register, serve, text_response, Body, BufferedRequest,
    },
    Error,
};
use hyper::{Response, StatusCode};
use persimmon_types::{unix_ms, Size};
use persimmon_wire::{
    instances::{Instance, InstanceState, Role},
    worker::{
        AttemptId, Command, StaleEpoch, SyncRequest, SyncResponse, TaskReport, TaskState, Usage,
    },
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

/// Interval at which completed tasks and lapsed leases are detected and the usage is sampled.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FaultSettings {
    /// Fails every task immediately.
    fail_all: bool,
    /// Leaves sync calls unanswered.
    silent: bool,
    /// Run time of tasks, in percent of the declared time.
    run_time_percent: u64,
    /// Resource usage of tasks, in percent of their claim.
    use_percent: u32,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            fail_all: false,
            silent: false,
            run_time_percent: 100,
            use_percent: 100,
        }
    }
}

/// One execution of an attempt, as reported to tests.
#[derive(Debug, Clone, Serialize)]
struct Run {
    #[serde(flatten)]
    attempt: AttemptId,
    class: String,
    from_ms: u64,
    started_unix_ms: u64,
    ended_unix_ms: Option<u64>,
    ended_as: Option<TaskState>,
}

struct Task {
    state: TaskState,
    size: Size,
    run_ms: u64,
    /// Work completed before `progress_at`, in milliseconds at full speed.
    done_ms: f64,
    progress_at: Instant,
    percent: u32,
    run_index: usize,
}

#[derive(Default)]
struct Inner {
    epochs: HashMap<u16, u64>,
    nonce: u64,
    nonce_issued_at: Option<Instant>,
    lease_expires_at: Option<Instant>,
    tasks: BTreeMap<AttemptId, Task>,
    runs: Vec<Run>,
    faults: FaultSettings,
    usage: Vec<(Instant, Size)>,
}

struct Worker {
    inner: Mutex<Inner>,
    incarnation: u64,
    usage_lag: Duration,
}

#[derive(Serialize)]
struct Addresses {
    workers: Vec<String>,
}

pub(crate) async fn run(args: WorkerArgs) -> Result<(), Error> {
    let mut addresses = Vec::new();
    for number in 0..args.count {
        let listener = bind(0).await?;
        let address = listener
            .local_addr()
            .map_err(|err| Error::new("listen", err))?
            .to_string();
        let worker = Arc::new(Worker {
            inner: Mutex::new(Inner::default()),
            incarnation: unix_ms(SystemTime::now()) * 1000 + u64::from(number),
            usage_lag: Duration::from_millis(args.usage_lag_ms),
        });
        let ticker = Arc::clone(&worker);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                ticker.tick(Instant::now());
            }
        });
        tokio::spawn(serve(listener, u32::MAX, worker, handle));
        let instance = Instance {
            id: format!("{}{number}", args.prefix),
            address: args.advertise.clone().unwrap_or_else(|| address.clone()),
            data_centre: args.data_centre.clone(),
            rack: format!("{}-rack{}", args.prefix, number / args.per_rack.max(1)),
            state: InstanceState::Live,
            role: Role::Worker {
                capacity: Size {
                    cpu_millis: args.cpu_millis,
                    memory_mib: args.memory_mib,
                    accelerators: args.accelerators,
                },
            },
        };
        register(&args.instances, &instance).await?;
        addresses.push(address);
    }
    print_addresses(&Addresses { workers: addresses });
    std::future::pending().await
}

async fn handle(worker: Arc<Worker>, request: BufferedRequest) -> Response<Body> {
    match request.path.as_str() {
        "/v1/sync" => {
            if worker.lock().faults.silent {
                std::future::pending::<()>().await;
            }
            match request.json::<SyncRequest>() {
                Ok(request) => worker.sync(request),
                Err(response) => *response,
            }
        }
        "/control/runs" => json_response(StatusCode::OK, &worker.lock().runs),
        "/control" => match request.json::<FaultSettings>() {
            Ok(faults) => {
                worker.lock().faults = faults;
                text_response(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

impl Worker {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sync(&self, request: SyncRequest) -> Response<Body> {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.advance(now);
        let highest_epoch = inner.epochs.entry(request.shard).or_insert(request.epoch);
        if request.epoch < *highest_epoch {
            return json_response(
                StatusCode::CONFLICT,
                &StaleEpoch {
                    epoch: *highest_epoch,
                },
            );
        }
        *highest_epoch = request.epoch;
        let term = Duration::from_millis(request.lease_term_ms);
        let echoed = request.echo_nonce == Some(inner.nonce) && inner.nonce > 0;
        let expires_at = inner.nonce_issued_at.filter(|_| echoed).map(|at| at + term);
        let applied = expires_at.is_some_and(|expires_at| expires_at > now);
        if applied {
            inner.lease_expires_at = inner.lease_expires_at.max(expires_at);
            for command in request.commands {
                inner.apply_command(command, now);
            }
        }
        inner.nonce += 1;
        inner.nonce_issued_at = Some(now);
        let response = SyncResponse {
            incarnation: self.incarnation,
            nonce: inner.nonce,
            applied,
            tasks: inner.reports(now),
            usage: inner.usage_at(now, self.usage_lag),
        };
        json_response(StatusCode::OK, &response)
    }

    fn tick(&self, now: Instant) {
        let mut inner = self.lock();
        inner.advance(now);
        let used = inner.used();
        inner.usage.push((now, used));
        let retention = self.usage_lag * 2;
        inner
            .usage
            .retain(|(at, _)| now.saturating_duration_since(*at) <= retention);
    }
}

impl Inner {
    /// Ends the tasks that are complete, and all running tasks once the lease has lapsed.
    fn advance(&mut self, now: Instant) {
        let lapsed = self
            .lease_expires_at
            .is_none_or(|expires_at| expires_at <= now);
        let mut ended = Vec::new();
        for (attempt, task) in &self.tasks {
            if task.state != TaskState::Running {
                continue;
            }
            if task.progress(now) >= task.run_ms as f64 {
                ended.push((*attempt, TaskState::Done));
            } else if lapsed {
                ended.push((*attempt, TaskState::Lapsed));
            }
        }
        for (attempt, state) in ended {
            self.end(attempt, state, now);
        }
    }

    fn apply_command(&mut self, command: Command, now: Instant) {
        match command {
            Command::Start {
                attempt,
                class,
                size,
                run_time_ms,
                checkpoint,
            } => {
                if !self.tasks.contains_key(&attempt) {
                    self.start(
                        attempt,
                        class,
                        size,
                        run_time_ms,
                        checkpoint.as_deref(),
                        now,
                    );
                }
            }
            Command::Throttle { attempt, percent } => {
                if let Some(task) = self.tasks.get_mut(&attempt) {
                    task.done_ms = task.progress(now);
                    task.progress_at = now;
                    task.percent = percent;
                }
            }
            Command::Evict { attempt } | Command::Stop { attempt } => {
                if !self.tasks.contains_key(&attempt) {
                    self.record_early_stop(attempt, now);
                }
                self.end(attempt, TaskState::Stopped, now);
            }
            Command::Forget { attempt } => {
                let running = self
                    .tasks
                    .get(&attempt)
                    .is_some_and(|it| it.state == TaskState::Running);
                if !running {
                    self.tasks.remove(&attempt);
                }
            }
        }
    }

    fn start(
        &mut self,
        attempt: AttemptId,
        class: String,
        size: Size,
        run_time_ms: u64,
        checkpoint: Option<&str>,
        now: Instant,
    ) {
        let done_ms = checkpoint
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0);
        self.runs.push(Run {
            attempt,
            class,
            from_ms: done_ms,
            started_unix_ms: unix_ms(SystemTime::now()),
            ended_unix_ms: None,
            ended_as: None,
        });
        let task = Task {
            state: TaskState::Running,
            size,
            run_ms: run_time_ms * self.faults.run_time_percent / 100,
            done_ms: done_ms as f64,
            progress_at: now,
            percent: 100,
            run_index: self.runs.len() - 1,
        };
        self.tasks.insert(attempt, task);
        if self.faults.fail_all {
            self.end(attempt, TaskState::Failed, now);
        }
    }

    /// Records a stop that arrived before its start, so that the start has no effect.
    fn record_early_stop(&mut self, attempt: AttemptId, now: Instant) {
        self.tasks.insert(
            attempt,
            Task {
                state: TaskState::Stopped,
                size: Size::ZERO,
                run_ms: 0,
                done_ms: 0.0,
                progress_at: now,
                percent: 100,
                run_index: usize::MAX,
            },
        );
    }

    fn end(&mut self, attempt: AttemptId, state: TaskState, now: Instant) {
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        if task.state != TaskState::Running {
            return;
        }
        task.done_ms = task.progress(now);
        task.state = state;
        if let Some(run) = self.runs.get_mut(task.run_index) {
            run.ended_unix_ms = Some(unix_ms(SystemTime::now()));
            run.ended_as = Some(state);
        }
    }

    fn reports(&self, now: Instant) -> Vec<TaskReport> {
        let report = |(attempt, task): (&AttemptId, &Task)| TaskReport {
            attempt: *attempt,
            state: task.state,
            checkpoint: Some((task.progress(now) as u64).to_string()),
        };
        self.tasks.iter().map(report).collect()
    }

    fn used(&self) -> Size {
        let running = self
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running);
        running.fold(Size::ZERO, |sum, task| {
            let used = task
                .size
                .percent(self.faults.use_percent * task.percent / 100);
            sum.checked_add(used).unwrap_or(sum)
        })
    }

    fn usage_at(&self, now: Instant, lag: Duration) -> Usage {
        let sample = self
            .usage
            .iter()
            .rev()
            .find(|(at, _)| now.saturating_duration_since(*at) >= lag);
        sample.map_or(Usage::default(), |(at, used)| Usage {
            age_ms: now.saturating_duration_since(*at).as_millis() as u64,
            used: *used,
        })
    }
}

impl Task {
    fn progress(&self, now: Instant) -> f64 {
        if self.state != TaskState::Running {
            return self.done_ms;
        }
        let elapsed_ms = now
            .saturating_duration_since(self.progress_at)
            .as_secs_f64()
            * 1000.0;
        self.done_ms + elapsed_ms * f64::from(self.percent) / 100.0
    }
}
