use crate::{
    args::RunnerArgs,
    http::{announce, bind, json, register, serve, text, whole, Body, Call},
    Error,
};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{body::Frame, Response, StatusCode};
use persimmon_wire::{
    api::HEADER_REQUEST_ID,
    instances::{Instance, InstanceState, Role},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::sync::mpsc;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Switches {
    /// Answers break off in the middle.
    truncate: bool,
    /// Every request is refused as by a leaving endpoint.
    leaving: bool,
    /// Overrides the time to serve a request.
    work_ms: Option<u64>,
}

#[derive(Default)]
struct Inner {
    busy: u32,
    busiest: u32,
    refused: u64,
    executions: HashMap<String, u64>,
    switches: Switches,
}

struct Runner {
    inner: Mutex<Inner>,
    id: String,
    slots: u32,
    work_ms: u64,
}

#[derive(Serialize)]
struct Addresses {
    runners: Vec<String>,
}

#[derive(Serialize)]
struct Executions<'a> {
    busiest: u32,
    refused: u64,
    executions: &'a HashMap<String, u64>,
}

#[derive(Serialize)]
struct Answer<'a> {
    runner: &'a str,
    request_id: &'a str,
    execution: u64,
    method: &'a str,
    path: &'a str,
    body: String,
}

pub(crate) async fn run(args: RunnerArgs) -> Result<(), Error> {
    let mut addresses = Vec::new();
    for number in 0..args.count {
        let listener = bind(0).await?;
        let address = listener
            .local_addr()
            .map_err(|err| Error::new("listen", err))?
            .to_string();
        let id = format!("{}{number}", args.prefix);
        let inner = Mutex::new(Inner::default());
        let runner = Runner {
            inner,
            id: id.clone(),
            slots: args.slots,
            work_ms: args.work_ms,
        };
        tokio::spawn(serve(listener, args.connections, Arc::new(runner), answer));
        let instance = Instance {
            id,
            address: address.clone(),
            data_centre: args.data_centre.clone(),
            rack: format!("{}-rack", args.prefix),
            state: InstanceState::Live,
            role: Role::Runner {
                service: args.service.clone(),
                host: None,
            },
        };
        register(&args.instances, &instance).await?;
        addresses.push(address);
    }
    announce(&Addresses { runners: addresses });
    std::future::pending().await
}

async fn answer(runner: Arc<Runner>, call: Call) -> Response<Body> {
    match call.path.as_str() {
        "/control/executions" => {
            let inner = runner.lock();
            let executions = &inner.executions;
            let (busiest, refused) = (inner.busiest, inner.refused);
            json(
                StatusCode::OK,
                &Executions {
                    busiest,
                    refused,
                    executions,
                },
            )
        }
        "/control" => match call.json::<Switches>() {
            Ok(switches) => {
                runner.lock().switches = switches;
                text(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        _ => runner.serve(call).await,
    }
}

fn refuse(word: &'static str) -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, word);
    let value = hyper::header::HeaderValue::from_static(word);
    response.headers_mut().insert("x-runner-refused", value);
    response
}

impl Runner {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, call: Call) -> Response<Body> {
        let header = call
            .headers
            .get(HEADER_REQUEST_ID)
            .and_then(|it| it.to_str().ok());
        let request_id = header.unwrap_or_default().to_owned();
        let (execution, switches) = {
            let mut inner = self.lock();
            if inner.switches.leaving {
                inner.refused += 1;
                return refuse("leaving");
            }
            if inner.busy >= self.slots {
                inner.refused += 1;
                return refuse("busy");
            }
            inner.busy += 1;
            inner.busiest = inner.busiest.max(inner.busy);
            let count = inner.executions.entry(request_id.clone()).or_insert(0);
            *count += 1;
            (*count, inner.switches.clone())
        };
        let work_ms = switches.work_ms.unwrap_or(self.work_ms);
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        self.lock().busy -= 1;
        let answer = Answer {
            runner: &self.id,
            request_id: &request_id,
            execution,
            method: &call.method,
            path: &call.path,
            body: String::from_utf8_lossy(&call.body).into_owned(),
        };
        let bytes = Bytes::from(serde_json::to_vec(&answer).unwrap_or_default());
        if switches.truncate {
            return Response::new(truncated(&bytes));
        }
        Response::new(whole(bytes))
    }
}

/// The pause that lets the first half of a body out before the connection breaks.
const CUT_PAUSE: Duration = Duration::from_millis(50);

/// The first half of a body, then a broken connection.
fn truncated(bytes: &Bytes) -> Body {
    let half = bytes.slice(..bytes.len() / 2);
    let (frames, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        // A client that went away needs no more.
        let _ = frames.send(Ok(Frame::data(half))).await;
        tokio::time::sleep(CUT_PAUSE).await;
        let _ = frames.send(Err(std::io::Error::other("cut"))).await;
    });
    BodyExt::boxed(StreamBody::new(Frames(receiver)))
}

struct Frames(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl futures_core::Stream for Frames {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        task: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(task)
    }
}
