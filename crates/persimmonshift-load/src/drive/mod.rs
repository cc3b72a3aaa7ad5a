//! Open-loop HTTP load against running daemons.

mod audit;
mod result;
mod send;

pub(crate) use result::DriveResult;

use crate::{args::DriveArgs, Error};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use result::Tally;
use send::{send, PlannedRequest};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

const RATE_MAX: u32 = 20_000;
const SECONDS_MAX: u32 = 600;

pub(crate) fn run(args: &DriveArgs) -> Result<String, Error> {
    validate_args(args)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|err| Error::new("runtime", err))?;
    let (result, violations) = runtime.block_on(drive(args))?;
    if let Some(path) = &args.out {
        let json = serde_json::to_string_pretty(&result).unwrap_or_default();
        std::fs::write(path, json).map_err(|err| Error::new("write", format!("{path}: {err}")))?;
    }
    let table = result.table();
    if violations.is_empty() {
        return Ok(table);
    }
    println!("{table}");
    Err(Error::new("check", violations.join("\n")))
}

fn validate_args(args: &DriveArgs) -> Result<(), Error> {
    let invalid = |text: String| Err(Error::new("arguments", text));
    if args.daemon.is_empty() {
        return invalid("--daemon: at least one address is required".to_owned());
    }
    let is_loopback = |address: &String| {
        address
            .parse::<std::net::SocketAddr>()
            .is_ok_and(|address| address.ip().is_loopback())
    };
    if let Some(address) = args
        .daemon
        .iter()
        .chain(&args.runner)
        .find(|address| !is_loopback(address))
    {
        return invalid(format!("{address}: not an IP:PORT address on loopback"));
    }
    if !(1..=RATE_MAX).contains(&args.rate) {
        return invalid(format!("--rate: must be 1 to {RATE_MAX}"));
    }
    if !(1..=SECONDS_MAX).contains(&args.seconds) {
        return invalid(format!("--seconds: must be 1 to {SECONDS_MAX}"));
    }
    if args.post_percent > 100 {
        return invalid("--post-percent: must be 0 to 100".to_owned());
    }
    Ok(())
}

/// Rejects addresses that are not on loopback, so that load never reaches another machine.
pub(crate) fn check_loopback<'a>(addresses: impl Iterator<Item = &'a String>) -> Result<(), Error> {
    for address in addresses {
        let parsed = address.parse::<std::net::SocketAddr>();
        if !parsed.is_ok_and(|address| address.ip().is_loopback()) {
            let reason = format!("{address}: not an IP:PORT address on loopback");
            return Err(Error::new("arguments", reason));
        }
    }
    Ok(())
}

/// Returns Poisson arrival times, as offsets from the start of the run.
pub(crate) fn arrivals(rng: &mut ChaCha8Rng, rate: u32, seconds: u32) -> Vec<Duration> {
    let mut offset_s = 0.0;
    let mut offsets = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        offset_s -= uniform.ln() / f64::from(rate);
        if offset_s >= f64::from(seconds) {
            return offsets;
        }
        offsets.push(Duration::from_secs_f64(offset_s));
    }
}

async fn drive(args: &DriveArgs) -> Result<(DriveResult, Vec<String>), Error> {
    let plan = plan(args);
    let client = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .map_err(|err| Error::new("client", err))?;
    let tally = Arc::new(Mutex::new(Tally::new(args)));
    let started_at = Instant::now();
    let mut tasks = Vec::with_capacity(plan.len());
    let mut reported_s = 0;
    for planned in plan {
        let intended_at = started_at + planned.offset;
        tokio::time::sleep_until(intended_at.into()).await;
        if planned.offset.as_secs() > reported_s {
            reported_s = planned.offset.as_secs();
            eprintln!(
                "{reported_s} s of {}, {}",
                args.seconds,
                lock(&tally).progress()
            );
        }
        let (client, tally) = (client.clone(), Arc::clone(&tally));
        tasks.push(tokio::spawn(async move {
            let outcome = send(&client, &planned).await;
            lock(&tally).add(&planned, outcome, intended_at.elapsed());
        }));
    }
    for task in tasks {
        task.await.map_err(|err| Error::new("task", err))?;
    }
    let tally = std::mem::replace(&mut *lock(&tally), Tally::new(args));
    let violations = audit::audit(&client, &args.runner, &tally).await?;
    Ok((tally.into_result(violations.len() as u64), violations))
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plan(args: &DriveArgs) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let process_id = std::process::id();
    let offsets = arrivals(&mut rng, args.rate, args.seconds);
    let planned = offsets
        .into_iter()
        .enumerate()
        .map(|(number, offset)| PlannedRequest {
            id: format!("load-{process_id}-{number}"),
            offset,
            daemon: args.daemon[number % args.daemon.len()].clone(),
            service: args.service.clone(),
            post: rng.random_range(0..100) < args.post_percent,
            deadline: Duration::from_millis(args.deadline_ms),
        });
    planned.collect()
}
