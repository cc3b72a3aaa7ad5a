//! The HTTP interface towards callers and operators.

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

/// Threads that serve requests.
const WORKERS: usize = 4;
/// Time that rocket leaves to answers once it stops; by then all requests have ended.
const SHUTDOWN_SECONDS: u32 = 2;

/// The address at which the interface listens, known once it does.
pub(crate) type Bound = Arc<OnceLock<SocketAddr>>;

/// The server, not launched yet.
pub(crate) fn build(context: Arc<Context>, bound: Bound) -> Rocket<Build> {
    let listen = context.settings.api_listen;
    let config = Config {
        address: listen.ip(),
        port: listen.port(),
        workers: WORKERS,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: SHUTDOWN_SECONDS,
            mercy: SHUTDOWN_SECONDS,
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    };
    let draining = Arc::clone(&context);
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
            let draining = Arc::clone(&draining);
            Box::pin(async move {
                // Balancers keep connections; this makes them let go.
                if draining.is_draining() {
                    response.set_raw_header("connection", "close");
                }
            })
        }))
}

/// How long a shard's owner is looked for.
pub(crate) const OWNER_WAIT: Duration = Duration::from_secs(5);
