//! Accepts connections and serves their requests.

use crate::{
    call::{Answer, Call, Shared},
    Account, Key, Limits,
};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    cell::RefCell,
    collections::HashMap,
    convert::Infallible,
    future::Future,
    io,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{watch, Notify, Semaphore},
    task::JoinSet,
};

/// Pause after a connection could not be accepted: descriptors may have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Smallest buffer of a connection that the HTTP library takes.
const BUFFER_BYTES_MIN: usize = 8_192;

/// Options of a server.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// What all connections may hold together.
    pub limits: Limits,
    /// What each connection is held to.
    pub bounds: Bounds,
    /// How long requests in progress may take once the server stops.
    pub stop_timeout: Duration,
}

/// Bounds of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Longest wait for a whole head, and between two pieces of a body.
    pub idle_timeout: Duration,
}

/// Serves the connections of `listener` until `stop` resolves, and then for as long as the options
/// allow. Must run on a [`tokio::task::LocalSet`].
pub async fn serve<H, F>(
    listener: TcpListener,
    options: Options,
    handler: H,
    stop: impl Future<Output = ()>,
) where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let shared = Rc::new(Shared {
        account: RefCell::new(Account::new(options.limits)),
        turns: Arc::new(Semaphore::new(options.limits.in_progress)),
        closers: RefCell::new(HashMap::new()),
    });
    let (stopping, is_stopping) = watch::channel(false);
    let mut connections = JoinSet::new();
    let mut stop = pin!(stop);
    loop {
        let stream = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        while connections.try_join_next().is_some() {}
        let stream = match stream {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("event=intake.accept fault=\"{err}\"");
                if !is_of_one_connection(&err) {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
                continue;
            }
        };
        let opened = shared.account.borrow_mut().open(Instant::now());
        let Ok((key, closed)) = opened else {
            log::info!("event=intake.refuse reason=\"too many requests in progress\"");
            continue;
        };
        shared.close_all(closed);
        let closer = Rc::new(Notify::new());
        shared.closers.borrow_mut().insert(key, Rc::clone(&closer));
        let (shared, handler) = (Rc::clone(&shared), handler.clone());
        let is_stopping = is_stopping.clone();
        connections.spawn_local(async move {
            tokio::select! {
                () = closer.notified() => {}
                () = serve_connection(stream, &shared, key, options.bounds, handler, is_stopping) => {}
            }
            shared.closers.borrow_mut().remove(&key);
            shared.account.borrow_mut().close(key);
        });
    }
    drop(listener);
    stopping.send_replace(true);
    let ended = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout(options.stop_timeout, ended)
        .await
        .is_err()
    {
        log::info!("event=intake.cut connections={}", connections.len());
    }
}

fn is_of_one_connection(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
    )
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    shared: &Rc<Shared>,
    key: Key,
    bounds: Bounds,
    handler: H,
    mut is_stopping: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Answer> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let call = Call::new(request, Rc::clone(shared), key, bounds.idle_timeout);
        let answer = handler(call);
        // A request that was read is carried out though its caller hangs up.
        let answered = tokio::task::spawn_local(answer);
        async move {
            match answered.await {
                Ok(answer) => Ok::<_, Infallible>(answer),
                Err(err) => {
                    log::error!("event=intake.fail fault=\"{err}\"");
                    let mut answer = Answer::default();
                    *answer.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
                    Ok(answer)
                }
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle_timeout)
        .max_buf_size(bounds.head_bytes_max.max(BUFFER_BYTES_MIN))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // Fails only with the server itself.
        _ = is_stopping.wait_for(|it| *it) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = ended {
        log::debug!("event=intake.connection fault=\"{err}\"");
    }
}
