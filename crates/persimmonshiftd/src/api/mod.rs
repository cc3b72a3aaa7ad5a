//! The HTTP API for callers and operators.

mod error;
mod guard;
mod jobs;
mod ops;
mod service;
mod tickets;

use crate::context::Context;
use rocket::{fairing::AdHoc, Build, Config, Rocket};
use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

/// The number of threads that serve requests.
const WORKER_THREADS: usize = 4;
/// Rocket's grace and mercy periods. They are short, since requests have been drained before.
const SHUTDOWN_PERIOD_SECONDS: u32 = 2;

/// The address that the server is bound to, set once it listens.
pub(crate) type BoundAddress = Arc<OnceLock<SocketAddr>>;

/// Builds the server without launching it.
pub(crate) fn build(context: Arc<Context>, bound: BoundAddress) -> Rocket<Build> {
    let listen = context.settings.api_listen;
    let config = Config {
        address: listen.ip(),
        port: listen.port(),
        workers: WORKER_THREADS,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: SHUTDOWN_PERIOD_SECONDS,
            mercy: SHUTDOWN_PERIOD_SECONDS,
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    };
    let drain_context = Arc::clone(&context);
    rocket::custom(config)
        .manage(context)
        .mount("/", service::routes())
        .mount("/", tickets::routes())
        .mount("/", jobs::routes())
        .mount("/", ops::routes())
        .register("/", error::catchers())
        .attach(AdHoc::on_liftoff("bound", move |rocket| {
            Box::pin(async move {
                let config = rocket.config();
                let _ = bound.set(SocketAddr::new(config.address, config.port));
            })
        }))
        .attach(AdHoc::on_response("drain", move |_, response| {
            let drain_context = Arc::clone(&drain_context);
            Box::pin(async move {
                // Load balancers keep connections open; the header makes them close this one.
                if drain_context.is_draining() {
                    response.set_raw_header("connection", "close");
                }
            })
        }))
}

/// How long a request waits for its shard to have an owner.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_secs(5);
