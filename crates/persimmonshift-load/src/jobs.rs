//! Open-loop submission of batch jobs, and what became of them.

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
/// How long all jobs are waited for once the last was submitted.
const PATIENCE: Duration = Duration::from_secs(120);
/// Far enough for every job to be done in time.
const DUE_IN_MS: u64 = 3_600_000;

/// What came of one submission.
enum Seen {
    Accepted {
        id: String,
        sent_unix_ms: u64,
        took: Duration,
    },
    Refused,
    Unknown,
}

pub(crate) fn run(args: &JobsArgs) -> Result<String, Error> {
    check_loopback(args.daemon.iter().chain(&args.worker))?;
    if args.daemon.is_empty() {
        return Err(Error::new("arguments", "--daemon: at least one is needed"));
    }
    if !(1..=RATE_MAX).contains(&args.rate) || !(1..=SECONDS_MAX).contains(&args.seconds) {
        let reason = format!("--rate must be 1 to {RATE_MAX}, --seconds 1 to {SECONDS_MAX}");
        return Err(Error::new("arguments", reason));
    }
    let token = std::env::var("PERSIMMONSHIFT_TOKEN")
        .map_err(|_| Error::new("arguments", "PERSIMMONSHIFT_TOKEN: missing"))?;
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
    for (number, at) in arrivals(&mut rng, args.rate, args.seconds)
        .into_iter()
        .enumerate()
    {
        tokio::time::sleep_until((started_at + at).into()).await;
        let daemon = &args.daemon[number % args.daemon.len()];
        let body = json!({
            "key": format!("load-{}-{number}", std::process::id()),
            "class": args.class,
            "deadline_unix_ms": now_unix_ms() + DUE_IN_MS,
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
            Seen::Accepted {
                id,
                sent_unix_ms,
                took,
            } => {
                accept_ms.saturating_record(took.as_millis() as u64);
                accepted.insert(id, sent_unix_ms);
            }
            Seen::Refused => refused += 1,
            Seen::Unknown => unknown += 1,
        }
    }
    let done = wait_done(&client, args, token, accepted.len()).await?;
    let (start_ms, ran, doubled) = starts(&client, args, &accepted).await?;
    let text = format!(
        "accepted {}, refused {refused}, unknown {unknown}, done {done}, ran {ran}, ran more than \
         once {doubled}\naccepted after ms: p50 {}, p99 {}, max {}\nstarted after ms: p50 {}, p99 \
         {}, max {}",
        accepted.len(),
        accept_ms.value_at_percentile(50.0),
        accept_ms.value_at_percentile(99.0),
        accept_ms.max(),
        start_ms.value_at_percentile(50.0),
        start_ms.value_at_percentile(99.0),
        start_ms.max()
    );
    let whole = done >= accepted.len() && doubled == 0;
    if whole {
        return Ok(text);
    }
    println!("{text}");
    Err(Error::new(
        "check",
        "not every accepted job was done exactly once",
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

async fn submit(request: reqwest::RequestBuilder) -> Seen {
    let (sent_at, sent_unix_ms) = (Instant::now(), now_unix_ms());
    let Ok(response) = request.send().await else {
        return Seen::Unknown;
    };
    if response.status().is_success() {
        let view: Value = response.json().await.unwrap_or_default();
        let id = format!("{}-{}", view["id"]["shard"], view["id"]["number"]);
        return Seen::Accepted {
            id,
            sent_unix_ms,
            took: sent_at.elapsed(),
        };
    }
    let not_run = response
        .headers()
        .get("x-persimmon-ran")
        .is_some_and(|it| it == "not-run");
    if not_run {
        return Seen::Refused;
    }
    Seen::Unknown
}

/// Waits until as many jobs are done; how many are.
async fn wait_done(
    client: &Client,
    args: &JobsArgs,
    token: &str,
    wanted: usize,
) -> Result<usize, Error> {
    let until = Instant::now() + PATIENCE;
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
        if done as usize >= wanted || Instant::now() > until {
            return Ok(done as usize);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// When the accepted jobs started, how many did, and how many did more than once.
async fn starts(
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
            let Some(sent) = accepted.get(&id) else {
                continue;
            };
            let started = run["started_unix_ms"].as_u64().unwrap_or(0);
            start_ms.saturating_record(started.saturating_sub(*sent).max(1));
            *runs.entry(id).or_default() += 1;
        }
    }
    let doubled = runs.values().filter(|count| **count > 1).count();
    Ok((start_ms, runs.len(), doubled))
}
