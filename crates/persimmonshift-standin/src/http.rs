use crate::Error;
use bytes::Bytes;
use http_body_util::{combinators::BoxBody, BodyExt, Full};
use hyper::{body::Incoming, service::service_fn, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use persimmon_wire::instances::Instance;
use serde::{de::DeserializeOwned, Serialize};
use std::{
    collections::HashMap,
    convert::Infallible,
    future::Future,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
};
use tokio::net::TcpListener;

pub(crate) type Body = BoxBody<Bytes, std::io::Error>;

/// A request that was read whole.
pub(crate) struct Call {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: HashMap<String, String>,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
}

impl Call {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Box<Response<Body>>> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Box::new(text(StatusCode::BAD_REQUEST, &err.to_string())))
    }
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    text(status, &serde_json::to_string(value).unwrap_or_default())
}

pub(crate) fn text(status: StatusCode, body: &str) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}

pub(crate) fn whole(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed()
}

pub(crate) async fn bind(port: u16) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await;
    listener.map_err(|err| Error::new("listen", format!("127.0.0.1:{port}: {err}")))
}

/// Serves `listener` with `answer`, dropping connections beyond `connections_max`.
pub(crate) async fn serve<S, F>(
    listener: TcpListener,
    connections_max: u32,
    state: Arc<S>,
    answer: fn(Arc<S>, Call) -> F,
) where
    S: Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if open.fetch_add(1, Ordering::SeqCst) >= connections_max {
            open.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (state, open) = (Arc::clone(&state), Arc::clone(&open));
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(take(request, state, answer).await) }
            });
            // A client that breaks off is no concern of the stand-in.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn take<S, F>(
    request: Request<Incoming>,
    state: Arc<S>,
    answer: fn(Arc<S>, Call) -> F,
) -> Response<Body>
where
    F: Future<Output = Response<Body>>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return text(StatusCode::BAD_REQUEST, "the body was cut");
    };
    let call = Call {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body: body.to_bytes(),
    };
    answer(state, call).await
}

fn query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let code = std::str::from_utf8(&digits)
            .ok()
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        bytes.push(code.unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Registers an instance with the list.
pub(crate) async fn register(list: &str, instance: &Instance) -> Result<(), Error> {
    let url = format!("http://{list}/control/instance");
    let client = client()?;
    let answer = client.post(url).json(instance).send().await;
    let answer = answer.map_err(|err| Error::new("register", err))?;
    if answer.status().is_success() {
        return Ok(());
    }
    Err(Error::new(
        "register",
        format!("{list}: status {}", answer.status()),
    ))
}

fn client() -> Result<reqwest::Client, Error> {
    let builder = reqwest::Client::builder().no_proxy();
    builder.build().map_err(|err| Error::new("client", err))
}

/// Prints the one line that tells a test where the stand-in listens.
pub(crate) fn announce<T: Serialize>(addresses: &T) {
    println!("{}", serde_json::to_string(addresses).unwrap_or_default());
}
