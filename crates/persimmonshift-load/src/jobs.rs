//! Open-loop submission of batch jobs, with a check that each accepted job runs exactly once.

use crate::{
    args::JobsArgs,
    drive::{arrivals, check_loopback},
    Error,
};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use serde_json::{json, Value};
use std::{
    collections::HashMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const RATE_MAX: u32 = 2_000;
const SECONDS_MAX: u32 = 600;
/// How long to wait for the completion of all jobs after the last submission.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(120);
/// Offset of the deadline from the submission: long enough for every job to meet it.
const DEADLINE_OFFSET_MS: u64 = 3_600_000;

/// The outcome of one submission.
enum SubmitOutcome {
    Accepted {
        id: String,
        sent_unix_ms: u64,
        latency: Duration,
    },
    Refused,
    Unknown,
}

pub(crate) fn run(args: &JobsArgs) -> Result<String, Error> {
    check_loopback(args.daemon.iter().chain(&args.worker))?;
    if args.daemon.is_empty() {
        return Err(Error::new(
            "arguments",
            "--daemon: at least one address is required",
        ));
    }
    if !(1..=RATE_MAX).contains(&args.rate) || !(1..=SECONDS_MAX).contains(&args.seconds) {
        let reason = format!("--rate must be 1 to {RATE_MAX}, --seconds 1 to {SECONDS_MAX}");
        return Err(Error::new("arguments", reason));
    }
    let token = std::env::var("PERSIMMONSHIFT_TOKEN")
        .map_err(|_| Error::new("arguments", "PERSIMMONSHIFT_TOKEN: not set"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|err| Error::new("runtime", err))?;
    runtime.block_on(submit_all(args, &token))
}

async fn submit_all(args: &JobsArgs, token: &str) -> Result<String, Error> {
    let client = Client::builder()
        .no_proxy()
        .timeout(Duration::from_secs(15))
        .build()
        .map_err(|err| Error::new("client", err))?;
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for (number, offset) in arrivals(&mut rng, args.rate, args.seconds)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until((started_at + offset).into()).await;
        let daemon = &args.daemon[number % args.daemon.len()];
        let body = json!({
            "key": format!("load-{}-{number}", std::process::id()),
            "class": args.class,
            "deadline_unix_ms": now_unix_ms() + DEADLINE_OFFSET_MS,
        });
        let request = client
            .post(format!("http://{daemon}/v1/jobs"))
            .bearer_auth(token)
            .json(&body);
        tasks.push(tokio::spawn(submit(request)));
    }
    let mut accepted = HashMap::new();
    let (mut refused, mut unknown) = (0, 0);
    let mut accept_ms = histogram()?;
    for task in tasks {
        match task.await.map_err(|err| Error::new("task", err))? {
            SubmitOutcome::Accepted {
                id,
                sent_unix_ms,
                latency,
            } => {
                accept_ms.saturating_record(latency.as_millis() as u64);
                accepted.insert(id, sent_unix_ms);
            }
            SubmitOutcome::Refused => refused += 1,
            SubmitOutcome::Unknown => unknown += 1,
        }
    }
    let done = wait_until_done(&client, args, token, accepted.len()).await?;
    let (start_ms, ran, repeated) = start_latencies(&client, args, &accepted).await?;
    let text = format!(
        "accepted {}, refused {refused}, unknown {unknown}, done {done}, ran {ran}, ran more than \
         once {repeated}\naccepted after ms: p50 {}, p99 {}, max {}\nstarted after ms: p50 {}, p99 \
         {}, max {}",
        accepted.len(),
        accept_ms.value_at_percentile(50.0),
        accept_ms.value_at_percentile(99.0),
        accept_ms.max(),
        start_ms.value_at_percentile(50.0),
        start_ms.value_at_percentile(99.0),
        start_ms.max()
    );
    let exactly_once = done >= accepted.len() && repeated == 0;
    if exactly_once {
        return Ok(text);
    }
    println!("{text}");
    Err(Error::new(
        "check",
        "not every accepted job completed exactly once",
    ))
}

fn histogram() -> Result<Histogram<u64>, Error> {
    const HOUR_MS: u64 = 3_600_000;
    Histogram::new_with_bounds(1, HOUR_MS, 3).map_err(|err| Error::new("histogram", err))
}

fn now_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}

async fn submit(request: reqwest::RequestBuilder) -> SubmitOutcome {
    let (sent_at, sent_unix_ms) = (Instant::now(), now_unix_ms());
    let Ok(response) = request.send().await else {
        return SubmitOutcome::Unknown;
    };
    if response.status().is_success() {
        let view: Value = response.json().await.unwrap_or_default();
        let id = format!("{}-{}", view["id"]["shard"], view["id"]["number"]);
        return SubmitOutcome::Accepted {
            id,
            sent_unix_ms,
            latency: sent_at.elapsed(),
        };
    }
    let not_run = response
        .headers()
        .get("x-persimmon-ran")
        .is_some_and(|it| it == "not-run");
    if not_run {
        return SubmitOutcome::Refused;
    }
    SubmitOutcome::Unknown
}

/// Waits until `expected` jobs are done or the timeout ends; returns the number of done jobs.
async fn wait_until_done(
    client: &Client,
    args: &JobsArgs,
    token: &str,
    expected: usize,
) -> Result<usize, Error> {
    let timeout_at = Instant::now() + COMPLETION_TIMEOUT;
    loop {
        let request = client.get(format!("http://{}/v1/status", args.daemon[0]));
        let answer = request.bearer_auth(token).send().await;
        let status: Value = match answer {
            Ok(answer) => answer.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        };
        let shards = status["shards"].as_array().cloned().unwrap_or_default();
        let jobs = shards.iter().filter_map(|shard| shard["jobs"].as_array());
        let done: u64 = jobs
            .flatten()
            .filter(|count| count["state"] == "done")
            .filter_map(|count| count["count"].as_u64())
            .sum();
        if done as usize >= expected || Instant::now() > timeout_at {
            return Ok(done as usize);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Returns the start latencies of the accepted jobs, the number of jobs that started, and the
/// number that started more than once.
async fn start_latencies(
    client: &Client,
    args: &JobsArgs,
    accepted: &HashMap<String, u64>,
) -> Result<(Histogram<u64>, usize, usize), Error> {
    let mut start_ms = histogram()?;
    let mut runs: HashMap<String, usize> = HashMap::new();
    for worker in &args.worker {
        let url = format!("http://{worker}/control/runs");
        let answer = client
            .get(url)
            .send()
            .await
            .map_err(|err| Error::new("runs", err))?;
        let list: Vec<Value> = answer.json().await.map_err(|err| Error::new("runs", err))?;
        for run in list {
            let id = format!("{}-{}", run["job"]["shard"], run["job"]["number"]);
            let Some(sent_unix_ms) = accepted.get(&id) else {
                continue;
            };
            let started_unix_ms = run["started_unix_ms"].as_u64().unwrap_or(0);
            start_ms.saturating_record(started_unix_ms.saturating_sub(*sent_unix_ms).max(1));
            *runs.entry(id).or_default() += 1;
        }
    }
    let repeated = runs.values().filter(|count| **count > 1).count();
    Ok((start_ms, runs.len(), repeated))
}
