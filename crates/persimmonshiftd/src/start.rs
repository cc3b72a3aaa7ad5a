//! Startup, background tasks and graceful shutdown of the process.

use crate::{
    api,
    args::Args,
    config,
    context::{Context, ContextParts},
    instances,
    lifecycle::{self, Lifecycle, Serving},
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

/// Exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;
/// How often the bound address is checked while the server starts.
const BOUND_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon until SIGTERM or an operator's drain.
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
    let settings = match Settings::load(args, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(err) => {
            for setting in &err.invalid {
                eprintln!("persimmonshiftd: settings: {setting}");
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

/// Returns the log options. Each call site is rate-limited, so that a burst of errors does not hide
/// others. Rocket is limited to warnings, since it logs every request.
fn log_options() -> persimmon_log::Options {
    persimmon_log::Options {
        filter: "info,rocket=warn",
        lines_max: 10,
        window: Duration::from_secs(10),
        ..persimmon_log::Options::default()
    }
}

fn start(settings: Settings) -> Result<(), StepError> {
    lifecycle::check_chart().map_err(StepError::of("charts"))?;
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
    let (context, mesh) = build_context(settings, shard_handle)?;
    probe_store(&context).await?;
    let handler = Arc::new(MeshHandler {
        context: OnceLock::from(Arc::clone(&context)),
    });
    tokio::spawn(mesh.serve(handler));
    spawn_background_tasks(&context, charts, shard_receiver)?;
    let lifecycle = Lifecycle::new(Arc::clone(&context));
    let bound = api::BoundAddress::default();
    let server = api::build(Arc::clone(&context), Arc::clone(&bound));
    let server = server.ignite().await.map_err(StepError::of("api"))?;
    let shutdown = server.shutdown();
    let server_task = tokio::spawn(server.launch());
    print_addresses(&context, &bound, &server_task).await;
    let result = run_until_shutdown(
        &context,
        lifecycle.serve(),
        &mut terminate,
        server_task,
        shutdown,
    )
    .await;
    context.mesh.close();
    result
}

/// Waits for SIGTERM or an operator's drain, then shuts down gracefully. Fails if the API server
/// ends by itself.
async fn run_until_shutdown(
    context: &Arc<Context>,
    lifecycle: Lifecycle<Serving>,
    terminate: &mut tokio::signal::unix::Signal,
    mut server_task: tokio::task::JoinHandle<Result<rocket::Rocket<rocket::Ignite>, rocket::Error>>,
    shutdown: rocket::Shutdown,
) -> Result<(), StepError> {
    tokio::select! {
        _ = terminate.recv() => {}
        () = context.shutdown_requested.notified() => {}
        ended = &mut server_task => {
            let reason = match ended {
                Ok(Ok(_)) => "ended by itself".to_owned(),
                Ok(Err(err)) => format!("{}: {err}", context.settings.api_listen),
                Err(err) => err.to_string(),
            };
            return Err(StepError::new("api.listen", reason));
        }
    }
    let closing = lifecycle.drain().await.close().await;
    closing.leave().await;
    shutdown.notify();
    let _ = server_task.await;
    Ok(())
}

/// The transport of the messages between daemons.
type PeerMesh = Mesh<crate::message::PeerRequest, crate::message::PeerResponse>;

fn build_context(
    settings: Settings,
    shard_handle: shards::ShardHandle,
) -> Result<(Arc<Context>, Arc<PeerMesh>), StepError> {
    let clock = Arc::new(SystemClock);
    let started_at = clock.now();
    // Tells the processes of a member apart: two that start within the same millisecond can't both
    // bind the member's address.
    let incarnation = unix_ms(clock.wall());
    let mesh = Mesh::open(
        settings.mesh_listen,
        &settings.mesh_keys,
        Options::default(),
    )
    .map_err(StepError::of("mesh"))?;
    let mesh = Arc::new(mesh);
    let local_address = mesh.local_address().map_err(StepError::of("mesh"))?;
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
        mesh_address: settings.mesh_advertise.unwrap_or(local_address),
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

/// Reports an unreachable store at startup. The daemon starts anyway, since peers may know the
/// configuration.
async fn probe_store(context: &Context) -> Result<(), StepError> {
    if let Err(err) = context.store.get(config::CONFIG_KEY).await {
        log::error!(
            "step=start.store peer={} reason=\"{err}\"",
            context.settings.store
        );
        eprintln!("persimmonshiftd: {err}; starting anyway, but not ready");
    }
    Ok(())
}

fn spawn_background_tasks(
    context: &Arc<Context>,
    charts: Arc<Charts>,
    shard_receiver: tokio::sync::mpsc::Receiver<shards::ShardMessage>,
) -> Result<(), StepError> {
    let shared = || Arc::clone(context);
    spawn_thread("session", member::run_session(shared()))?;
    spawn_thread("config-watch", config::run_watch(shared()))?;
    spawn_thread("instances", instances::run(shared()))?;
    spawn_thread("gossip", peers::run_gossip(shared()))?;
    spawn_thread("services", Services::run(shared()))?;
    spawn_thread("shards", shards::run(shared(), charts, shard_receiver))
}

/// Runs a background task on a thread of its own.
fn spawn_thread(
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StepError::of("runtime"))?;
    let body = move || runtime.block_on(task);
    let spawned = thread::Builder::new().name(name.to_owned()).spawn(body);
    spawned.map(drop).map_err(StepError::of("thread"))
}

/// Prints the addresses of this daemon once it listens.
async fn print_addresses<T>(
    context: &Context,
    bound: &api::BoundAddress,
    server_task: &tokio::task::JoinHandle<T>,
) {
    let address: SocketAddr = loop {
        match bound.get() {
            Some(address) => break *address,
            None if server_task.is_finished() => return,
            None => tokio::time::sleep(BOUND_POLL_INTERVAL).await,
        }
    };
    let member = &context.settings.member_id;
    let mesh = context.mesh_address;
    println!("{{\"member\":\"{member}\",\"api\":\"{address}\",\"mesh\":\"{mesh}\"}}");
}
