use crate::{
    args::InstancesArgs,
    http::{bind, json_response, print_addresses, serve, text_response, Body, BufferedRequest},
    Error,
};
use hyper::{Response, StatusCode};
use persimmon_wire::instances::{Instance, InstanceList, InstanceState};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A change to the list, visible after the configured lag.
enum Change {
    Add(Instance),
    SetState(String, InstanceState),
    Remove(String),
}

#[derive(Default)]
struct Inner {
    visible: BTreeMap<String, Instance>,
    pending: VecDeque<(Instant, Change)>,
}

struct Instances {
    inner: Mutex<Inner>,
    lag: Duration,
}

#[derive(Serialize)]
struct Addresses {
    instances: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SetState {
    id: String,
    /// `None` removes the instance.
    state: Option<InstanceState>,
}

pub(crate) async fn run(args: InstancesArgs) -> Result<(), Error> {
    let listener = bind(args.port).await?;
    let address = listener
        .local_addr()
        .map_err(|err| Error::new("listen", err))?;
    print_addresses(&Addresses {
        instances: address.to_string(),
    });
    let inner = Mutex::new(Inner::default());
    let instances = Arc::new(Instances {
        inner,
        lag: Duration::from_millis(args.lag_ms),
    });
    serve(listener, u32::MAX, instances, handle).await;
    Ok(())
}

async fn handle(instances: Arc<Instances>, request: BufferedRequest) -> Response<Body> {
    let mut inner = instances
        .inner
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    match request.path.as_str() {
        "/v1/instances" => {
            inner.apply_due(now, instances.lag);
            let list = InstanceList {
                instances: inner.visible.values().cloned().collect(),
            };
            json_response(StatusCode::OK, &list)
        }
        "/control/instance" => match request.json::<Instance>() {
            Ok(instance) => {
                inner.pending.push_back((now, Change::Add(instance)));
                text_response(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        "/control/state" => match request.json::<SetState>() {
            Ok(SetState { id, state }) => {
                let change = match state {
                    Some(state) => Change::SetState(id, state),
                    None => Change::Remove(id),
                };
                inner.pending.push_back((now, change));
                text_response(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

impl Inner {
    fn apply_due(&mut self, now: Instant, lag: Duration) {
        while self.pending.front().is_some_and(|(at, _)| now - *at >= lag) {
            match self.pending.pop_front() {
                Some((_, Change::Add(instance))) => {
                    self.visible.insert(instance.id.clone(), instance);
                }
                Some((_, Change::SetState(id, state))) => {
                    if let Some(instance) = self.visible.get_mut(&id) {
                        instance.state = state;
                    }
                }
                Some((_, Change::Remove(id))) => drop(self.visible.remove(&id)),
                None => {}
            }
        }
    }
}
