use crate::{
    args::InstancesArgs,
    http::{announce, bind, json, serve, text, Body, Call},
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

/// One change, shown once it is old enough.
enum Change {
    Add(Instance),
    Set(String, InstanceState),
    Remove(String),
}

#[derive(Default)]
struct Inner {
    shown: BTreeMap<String, Instance>,
    hidden: VecDeque<(Instant, Change)>,
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
    announce(&Addresses {
        instances: address.to_string(),
    });
    let inner = Mutex::new(Inner::default());
    let instances = Arc::new(Instances {
        inner,
        lag: Duration::from_millis(args.lag_ms),
    });
    serve(listener, u32::MAX, instances, answer).await;
    Ok(())
}

async fn answer(instances: Arc<Instances>, call: Call) -> Response<Body> {
    let mut inner = instances
        .inner
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    match call.path.as_str() {
        "/v1/instances" => {
            inner.show(now, instances.lag);
            let list = InstanceList {
                instances: inner.shown.values().cloned().collect(),
            };
            json(StatusCode::OK, &list)
        }
        "/control/instance" => match call.json::<Instance>() {
            Ok(instance) => {
                inner.hidden.push_back((now, Change::Add(instance)));
                text(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        "/control/state" => match call.json::<SetState>() {
            Ok(SetState { id, state }) => {
                let change = match state {
                    Some(state) => Change::Set(id, state),
                    None => Change::Remove(id),
                };
                inner.hidden.push_back((now, change));
                text(StatusCode::OK, "{}")
            }
            Err(response) => *response,
        },
        _ => text(StatusCode::NOT_FOUND, "no such call"),
    }
}

impl Inner {
    fn show(&mut self, now: Instant, lag: Duration) {
        while self.hidden.front().is_some_and(|(at, _)| now - *at >= lag) {
            match self.hidden.pop_front() {
                Some((_, Change::Add(instance))) => {
                    self.shown.insert(instance.id.clone(), instance);
                }
                Some((_, Change::Set(id, state))) => {
                    if let Some(instance) = self.shown.get_mut(&id) {
                        instance.state = state;
                    }
                }
                Some((_, Change::Remove(id))) => drop(self.shown.remove(&id)),
                None => {}
            }
        }
    }
}
