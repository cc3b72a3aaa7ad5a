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

/// A request with its body read to the end.
pub(crate) struct BufferedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: HashMap<String, String>,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: Bytes,
}

impl BufferedRequest {
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Box<Response<Body>>> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Box::new(text_response(StatusCode::BAD_REQUEST, &err.to_string())))
    }
}

pub(crate) fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    text_response(status, &serde_json::to_string(value).unwrap_or_default())
}

pub(crate) fn text_response(status: StatusCode, body: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}

pub(crate) fn full_body(body: Bytes) -> Body {
    Full::new(body).map_err(|never| match never {}).boxed()
}

pub(crate) async fn bind(port: u16) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await;
    listener.map_err(|err| Error::new("listen", format!("127.0.0.1:{port}: {err}")))
}

/// Serves connections of `listener` with `handler`, and closes those beyond `connections_max`.
pub(crate) async fn serve<S, F>(
    listener: TcpListener,
    connections_max: u32,
    state: Arc<S>,
    handler: fn(Arc<S>, BufferedRequest) -> F,
) where
    S: Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let open_connections = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if open_connections.fetch_add(1, Ordering::SeqCst) >= connections_max {
            open_connections.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (state, open_connections) = (Arc::clone(&state), Arc::clone(&open_connections));
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let state = Arc::clone(&state);
                async move { Ok::<_, Infallible>(handle_request(request, state, handler).await) }
            });
            // A connection error is visible to the client under test; the stand-in ignores it.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            open_connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn handle_request<S, F>(
    request: Request<Incoming>,
    state: Arc<S>,
    handler: fn(Arc<S>, BufferedRequest) -> F,
) -> Response<Body>
where
    F: Future<Output = Response<Body>>,
{
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return text_response(StatusCode::BAD_REQUEST, "incomplete request body");
    };
    let request = BufferedRequest {
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        query: parse_query(head.uri.query().unwrap_or_default()),
        headers: head.headers,
        body: body.to_bytes(),
    };
    handler(state, request).await
}

fn parse_query(text: &str) -> HashMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode_percent(value)))
        .collect()
}

fn decode_percent(text: &str) -> String {
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

/// Registers an instance with the instance list.
pub(crate) async fn register(list: &str, instance: &Instance) -> Result<(), Error> {
    let url = format!("http://{list}/control/instance");
    let client = client()?;
    let response = client.post(url).json(instance).send().await;
    let response = response.map_err(|err| Error::new("register", err))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(Error::new(
        "register",
        format!("{list}: status {}", response.status()),
    ))
}

fn client() -> Result<reqwest::Client, Error> {
    let builder = reqwest::Client::builder().no_proxy();
    builder.build().map_err(|err| Error::new("client", err))
}

/// Prints the line of JSON from which tests learn the listening addresses.
pub(crate) fn print_addresses<T: Serialize>(addresses: &T) {
    println!("{}", serde_json::to_string(addresses).unwrap_or_default());
}
