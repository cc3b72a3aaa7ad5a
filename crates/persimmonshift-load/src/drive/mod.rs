//! Open-loop load against real processes.

mod audit;
mod result;
mod send;

pub(crate) use result::DriveResult;

use crate::{args::DriveArgs, Error};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use result::Tally;
use send::{send, Planned};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

const RATE_MAX: u32 = 20_000;
const SECONDS_MAX: u32 = 600;

pub(crate) fn run(args: &DriveArgs) -> Result<String, Error> {
    check(args)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|err| Error::new("runtime", err))?;
    let (result, faults) = runtime.block_on(drive(args))?;
    if let Some(path) = &args.out {
        let json = serde_json::to_string_pretty(&result).unwrap_or_default();
        std::fs::write(path, json).map_err(|err| Error::new("write", format!("{path}: {err}")))?;
    }
    let table = result.table();
    if faults.is_empty() {
        return Ok(table);
    }
    println!("{table}");
    Err(Error::new("check", faults.join("\n")))
}

fn check(args: &DriveArgs) -> Result<(), Error> {
    let bad = |text: String| Err(Error::new("arguments", text));
    if args.daemon.is_empty() {
        return bad("--daemon: at least one is needed".to_owned());
    }
    let loopback = |address: &String| {
        address
            .parse::<std::net::SocketAddr>()
            .is_ok_and(|address| address.ip().is_loopback())
    };
    if let Some(other) = args
        .daemon
        .iter()
        .chain(&args.runner)
        .find(|it| !loopback(it))
    {
        return bad(format!("{other}: only IP:PORT on loopback is driven"));
    }
    if !(1..=RATE_MAX).contains(&args.rate) {
        return bad(format!("--rate: must be 1 to {RATE_MAX}"));
    }
    if !(1..=SECONDS_MAX).contains(&args.seconds) {
        return bad(format!("--seconds: must be 1 to {SECONDS_MAX}"));
    }
    if args.post_percent > 100 {
        return bad("--post-percent: must be 0 to 100".to_owned());
    }
    Ok(())
}

/// Only addresses of this machine are driven.
pub(crate) fn check_loopback<'a>(addresses: impl Iterator<Item = &'a String>) -> Result<(), Error> {
    for address in addresses {
        let parsed = address.parse::<std::net::SocketAddr>();
        if !parsed.is_ok_and(|address| address.ip().is_loopback()) {
            let reason = format!("{address}: only IP:PORT on loopback is driven");
            return Err(Error::new("arguments", reason));
        }
    }
    Ok(())
}

/// Seeded arrivals with exponential pauses, as times from the start.
pub(crate) fn arrivals(rng: &mut ChaCha8Rng, rate: u32, seconds: u32) -> Vec<Duration> {
    let mut at_s = 0.0;
    let mut times = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at_s -= uniform.ln() / f64::from(rate);
        if at_s >= f64::from(seconds) {
            return times;
        }
        times.push(Duration::from_secs_f64(at_s));
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
    let mut second = 0;
    for planned in plan {
        let due = started_at + planned.at;
        tokio::time::sleep_until(due.into()).await;
        if planned.at.as_secs() > second {
            second = planned.at.as_secs();
            eprintln!(
                "{second} s of {}, {}",
                args.seconds,
                lock(&tally).progress()
            );
        }
        let (client, tally) = (client.clone(), Arc::clone(&tally));
        tasks.push(tokio::spawn(async move {
            let seen = send(&client, &planned).await;
            lock(&tally).add(&planned, seen, due.elapsed());
        }));
    }
    for task in tasks {
        task.await.map_err(|err| Error::new("task", err))?;
    }
    let tally = std::mem::replace(&mut *lock(&tally), Tally::new(args));
    let faults = audit::audit(&client, &args.runner, &tally).await?;
    Ok((tally.into_result(faults.len() as u64), faults))
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plan(args: &DriveArgs) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let run = std::process::id();
    let times = arrivals(&mut rng, args.rate, args.seconds);
    let planned = times.into_iter().enumerate().map(|(number, at)| Planned {
        id: format!("load-{run}-{number}"),
        at,
        daemon: args.daemon[number % args.daemon.len()].clone(),
        service: args.service.clone(),
        post: rng.random_range(0..100) < args.post_percent,
        deadline: Duration::from_millis(args.deadline_ms),
    });
    planned.collect()
}
