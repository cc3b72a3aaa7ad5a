//! The life of the process: checks, duties, and a planned stop.

use crate::{
    api,
    args::Args,
    config,
    context::{Context, ContextParts},
    instances,
    life::{self, Life, Serving},
    member,
    peers::{self, MeshHandler},
    services::{EndpointClients, RequestKeys, Services},
    settings::Settings,
    shards,
};
use persimmon_mesh::{Mesh, Options};
use persimmon_shard::Charts;
use persimmon_store::{HttpStore, Store};
use persimmon_types::{unix_ms, Clock, StepError, SystemClock};
use std::{
    future::Future,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// How often the address is looked for while the server starts.
const BOUND_POLL: Duration = Duration::from_millis(20);

/// Runs the daemon until it is told to stop.
pub fn run(args: &Args) -> ExitCode {
    let clock = Arc::new(SystemClock);
    let stderr = Box::new(std::io::stderr());
    let _log = match persimmon_log::init(&log_options(), clock, stderr) {
        Ok(log) => log,
        Err(err) => {
            eprintln!("persimmonshiftd: {err}");
            return ExitCode::FAILURE;
        }
    };
    let settings = match Settings::check(args, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(err) => {
            for fault in &err.faults {
                eprintln!("persimmonshiftd: settings: {fault}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check_settings {
        println!("settings are sound");
        return ExitCode::SUCCESS;
    }
    match start(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("persimmonshiftd: {err}");
            ExitCode::FAILURE
        }
    }
}

/// What is logged: a storm of faults must not drown the rest, and rocket tells of every request.
fn log_options() -> persimmon_log::Options {
    persimmon_log::Options {
        filter: "info,rocket=warn",
        lines_max: 10,
        window: Duration::from_secs(10),
        ..persimmon_log::Options::default()
    }
}

fn start(settings: Settings) -> Result<(), StepError> {
    life::check().map_err(StepError::of("charts"))?;
    let charts = Arc::new(Charts::load().map_err(StepError::of("charts"))?);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("main")
        .enable_all()
        .build()
        .map_err(StepError::of("runtime"))?;
    runtime.block_on(serve(settings, charts))
}

async fn serve(settings: Settings, charts: Arc<Charts>) -> Result<(), StepError> {
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(StepError::of("signals"))?;
    let (shard_handle, shard_receiver) = shards::channel();
    let (context, mesh) = build(settings, shard_handle)?;
    check_store(&context).await?;
    let handler = Arc::new(MeshHandler {
        context: OnceLock::from(Arc::clone(&context)),
    });
    tokio::spawn(mesh.serve(handler));
    spawn_duties(&context, charts, shard_receiver)?;
    let life = Life::new(Arc::clone(&context));
    let bound = api::BoundAddress::default();
    let server = api::build(Arc::clone(&context), Arc::clone(&bound));
    let server = server.ignite().await.map_err(StepError::of("api"))?;
    let shutdown = server.shutdown();
    let served = tokio::spawn(server.launch());
    announce(&context, &bound, &served).await;
    let failed = wait_for_stop(&context, life.serve(), &mut terminate, served, shutdown).await;
    context.mesh.close();
    failed
}

/// Waits for the signal or an operator's drain, then stops gracefully.
async fn wait_for_stop(
    context: &Arc<Context>,
    life: Life<Serving>,
    terminate: &mut tokio::signal::unix::Signal,
    mut served: tokio::task::JoinHandle<Result<rocket::Rocket<rocket::Ignite>, rocket::Error>>,
    shutdown: rocket::Shutdown,
) -> Result<(), StepError> {
    tokio::select! {
        _ = terminate.recv() => {}
        () = context.stop.notified() => {}
        ended = &mut served => {
            let reason = match ended {
                Ok(Ok(_)) => "ended by itself".to_owned(),
                Ok(Err(err)) => format!("{}: {err}", context.settings.api_listen),
                Err(err) => err.to_string(),
            };
            return Err(StepError::new("api.listen", reason));
        }
    }
    let closing = life.drain().await.close().await;
    closing.leave().await;
    shutdown.notify();
    let _ = served.await;
    Ok(())
}

/// This daemon's end of the calls between daemons.
type MeshEnd = Mesh<crate::message::PeerRequest, crate::message::PeerResponse>;

fn build(
    settings: Settings,
    shard_handle: shards::ShardHandle,
) -> Result<(Arc<Context>, Arc<MeshEnd>), StepError> {
    let clock = Arc::new(SystemClock);
    let started_at = clock.now();
    // Two starts of one member within a millisecond can't both own its address.
    let incarnation = unix_ms(clock.wall());
    let mesh = Mesh::open(
        settings.mesh_listen,
        &settings.mesh_keys,
        Options::default(),
    )
    .map_err(StepError::of("mesh"))?;
    let mesh = Arc::new(mesh);
    let local = mesh.local_address().map_err(StepError::of("mesh"))?;
    let client = || reqwest::Client::builder().no_proxy().build();
    let store_client = client().map_err(StepError::of("store.client"))?;
    let store = HttpStore::new(
        store_client,
        settings.store.to_string(),
        settings.store_timeout,
    );
    let ttl = settings.request_key_ttl;
    let keys = RequestKeys::new(&settings.member_id, incarnation, started_at, ttl);
    let clients = EndpointClients::build().map_err(StepError::of("endpoint.client"))?;
    let context = Context::new(ContextParts {
        mesh_address: settings.mesh_advertise.unwrap_or(local),
        worker_client: client().map_err(StepError::of("worker.client"))?,
        services: Services::new(keys, clients),
        shards: shard_handle,
        mesh: Arc::clone(&mesh),
        settings,
        clock,
        started_at,
        incarnation,
        store,
    });
    Ok((Arc::new(context), mesh))
}

/// Tells of an unreachable store at once; the daemon starts all the same, since peers may know the
/// configuration.
async fn check_store(context: &Context) -> Result<(), StepError> {
    if let Err(err) = context.store.get(config::CONFIG_KEY).await {
        log::error!(
            "step=start.store peer={} reason=\"{err}\"",
            context.settings.store
        );
        eprintln!("persimmonshiftd: {err}; it starts all the same and is not ready");
    }
    Ok(())
}

fn spawn_duties(
    context: &Arc<Context>,
    charts: Arc<Charts>,
    shard_receiver: tokio::sync::mpsc::Receiver<shards::ShardMessage>,
) -> Result<(), StepError> {
    let of = || Arc::clone(context);
    duty("session", member::run_session(of()))?;
    duty("config-watch", config::run_watch(of()))?;
    duty("instances", instances::run(of()))?;
    duty("gossip", peers::run_gossip(of()))?;
    duty("services", Services::run(of()))?;
    duty("shards", shards::run(of(), charts, shard_receiver))
}

/// Runs a duty on a thread of its own.
fn duty(
    name: &'static str,
    work: impl Future<Output = ()> + Send + 'static,
) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StepError::of("runtime"))?;
    let body = move || runtime.block_on(work);
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(body);
    spawned.map(drop).map_err(StepError::of("thread"))
}

/// Prints where this daemon listens, once it does.
async fn announce<T>(
    context: &Context,
    bound: &api::BoundAddress,
    served: &tokio::task::JoinHandle<T>,
) {
    let address: SocketAddr = loop {
        match bound.get() {
            Some(address) => break *address,
            None if served.is_finished() => return,
            None => tokio::time::sleep(BOUND_POLL).await,
        }
    };
    let member = &context.settings.member_id;
    let mesh = context.mesh_address;
    println!("{{\"member\":\"{member}\",\"api\":\"{address}\",\"mesh\":\"{mesh}\"}}");
}
