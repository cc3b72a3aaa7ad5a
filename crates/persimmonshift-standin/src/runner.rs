use crate::{
    args::RunnerArgs,
    http::{
        bind, full_body, json_response, print_addresses, register, serve, text_response, Body,
        BufferedRequest,
    },
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
struct FaultSettings {
    /// Closes the connection in the middle of each response body.
    truncate: bool,
    /// Refuses every request, as a leaving endpoint does.
    leaving: bool,
    /// Overrides the service time of a request, in milliseconds.
    work_ms: Option<u64>,
}

#[derive(Default)]
struct Inner {
    in_flight: u32,
    in_flight_max: u32,
    refused: u64,
    executions: HashMap<String, u64>,
    faults: FaultSettings,
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
        tokio::spawn(serve(listener, args.connections, Arc::new(runner), handle));
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
    print_addresses(&Addresses { runners: addresses });
    std::future::pending().await
}

async fn handle(runner: Arc<Runner>, request: BufferedRequest) -> Response<Body> {
    match request.path.as_str() {
        "/control/executions" => {
            let inner = runner.lock();
            let executions = &inner.executions;
            let (busiest, refused) = (inner.in_flight_max, inner.refused);
            json_response(
                StatusCode::OK,
                &Executions {
                    busiest,
                    refused,
                    executions,
                },
            )
        }
        "/control" => match request.json::<FaultSettings>() {
            Ok(faults) => {
                runner.lock().faults = faults;
                text_response(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        _ => runner.serve(request).await,
    }
}

fn refuse(reason: &'static str) -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = hyper::header::HeaderValue::from_static(reason);
    response.headers_mut().insert("x-runner-refused", value);
    response
}

impl Runner {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, request: BufferedRequest) -> Response<Body> {
        let header = request
            .headers
            .get(HEADER_REQUEST_ID)
            .and_then(|it| it.to_str().ok());
        let request_id = header.unwrap_or_default().to_owned();
        let (execution, faults) = {
            let mut inner = self.lock();
            if inner.faults.leaving {
                inner.refused += 1;
                return refuse("leaving");
            }
            if inner.in_flight >= self.slots {
                inner.refused += 1;
                return refuse("busy");
            }
            inner.in_flight += 1;
            inner.in_flight_max = inner.in_flight_max.max(inner.in_flight);
            let count = inner.executions.entry(request_id.clone()).or_insert(0);
            *count += 1;
            (*count, inner.faults.clone())
        };
        let work_ms = faults.work_ms.unwrap_or(self.work_ms);
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        self.lock().in_flight -= 1;
        let answer = Answer {
            runner: &self.id,
            request_id: &request_id,
            execution,
            method: &request.method,
            path: &request.path,
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        let bytes = Bytes::from(serde_json::to_vec(&answer).unwrap_or_default());
        if faults.truncate {
            return Response::new(truncated_body(&bytes));
        }
        Response::new(full_body(bytes))
    }
}

/// Delay before the connection closes, so that the first half of the body is flushed.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// Returns a body that sends the first half of `bytes` and then fails the connection.
fn truncated_body(bytes: &Bytes) -> Body {
    let half = bytes.slice(..bytes.len() / 2);
    let (frames, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        // The send fails only if the client has disconnected.
        let _ = frames.send(Ok(Frame::data(half))).await;
        tokio::time::sleep(TRUNCATION_DELAY).await;
        let _ = frames.send(Err(std::io::Error::other("cut"))).await;
    });
    BodyExt::boxed(StreamBody::new(BodyFrames(receiver)))
}

struct BodyFrames(mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>);

impl futures_core::Stream for BodyFrames {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        task: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(task)
    }
}
