use super::{keys::Keys, Burn};
use crate::context::{Context, NonPoisonMutex};
use persimmon_route::{share, Decision, EndpointSpec, Options, Request, RequestId, Router};
use persimmon_ticket::Config;
use persimmon_wire::{
    api::{EndpointView, ServiceView},
    instances::{Instance, InstanceState, Role},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::sync::{oneshot, Notify};

/// How often requests that wait are looked at for their deadlines.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often members are looked at while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// One service: its router, the requests that wait for it, and its burn.
pub(super) struct Entry {
    pub(super) router: Router,
    pub(super) waiters: HashMap<RequestId, oneshot::Sender<Decision>>,
    pub(super) burn: Burn,
}

/// All services of the configuration.
///
/// Decisions are made under one short lock in the tasks of the requests, not on a thread of their
/// own, since a request would pay for the two hops there and back with its latency.
pub(crate) struct Services {
    pub(super) entries: NonPoisonMutex<BTreeMap<String, Entry>>,
    pub(super) keys: NonPoisonMutex<Keys>,
    pub(super) client_pooled: reqwest::Client,
    pub(super) client_fresh: reqwest::Client,
    /// Wakes the duty when the first request waits.
    pub(super) waits: Notify,
    next_id: AtomicU64,
    in_progress: AtomicU64,
}

impl Services {
    pub(crate) fn new(keys: Keys, clients: Clients) -> Self {
        Self {
            entries: NonPoisonMutex::new(BTreeMap::new()),
            keys: NonPoisonMutex::new(keys),
            client_pooled: clients.pooled,
            client_fresh: clients.fresh,
            waits: Notify::new(),
            next_id: AtomicU64::new(1),
            in_progress: AtomicU64::new(0),
        }
    }

    /// Takes over the configuration, the instances and the members.
    pub(crate) fn refresh(&self, context: &Context) {
        let config = context.config.lock().config();
        let instances = context.instances.get();
        let members = context.members.lock().ids();
        let mut entries = self.entries.lock();
        entries.retain(|name, _| config.try_find_service(name).is_some());
        for service in config.iter_services() {
            if !entries.contains_key(&service.name) {
                let options = Options {
                    seed: context.incarnation,
                    ..Options::default()
                };
                let Ok(router) = Router::new(options) else {
                    continue;
                };
                let (waiters, burn) = (HashMap::new(), Burn::default());
                entries.insert(
                    service.name.clone(),
                    Entry {
                        router,
                        waiters,
                        burn,
                    },
                );
            }
            if let Some(entry) = entries.get_mut(&service.name) {
                let specs = endpoint_specs(context, &config, &service.name, &instances, &members);
                entry.router.set_endpoints(specs);
                entry.dispatch(context.now());
            }
        }
    }

    /// Follows members and deadlines while the process runs.
    pub(crate) async fn run(context: Arc<Context>) {
        let mut members = Vec::new();
        let mut waiting = false;
        loop {
            if waiting {
                tokio::time::sleep(POLL_INTERVAL).await;
            } else {
                let idle = tokio::time::timeout(IDLE_INTERVAL, context.services.waits.notified());
                // Whether woken or not, everything is looked at.
                let _ = idle.await;
            }
            let newest = context.members.lock().ids();
            if newest != members {
                members = newest;
                context.services.refresh(&context);
            }
            let now = context.now();
            waiting = false;
            for entry in context.services.entries.lock().values_mut() {
                entry.dispatch(now);
                waiting |= !entry.waiters.is_empty();
            }
        }
    }

    pub(crate) fn issue_key(&self, now: Instant) -> String {
        self.keys.lock().issue(now)
    }

    /// A name for a request that its caller did not name.
    pub(crate) fn fresh_request_id(&self, context: &Context) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}.{}.{number}",
            context.settings.member_id, context.incarnation
        )
    }

    /// Requests that have not been answered yet.
    pub(crate) fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::SeqCst)
    }

    pub(super) fn begin(&self) -> RequestId {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn end(&self) {
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
    }

    pub(crate) fn views(&self) -> Vec<ServiceView> {
        let entries = self.entries.lock();
        let view = |(name, entry): (&String, &Entry)| ServiceView {
            name: name.clone(),
            endpoints: entry.router.endpoints().map(endpoint_view).collect(),
        };
        entries.iter().map(view).collect()
    }

    pub(crate) fn burns(&self, config: &Config) -> Vec<persimmon_wire::api::ServiceBurn> {
        let entries = self.entries.lock();
        let services = config.iter_services();
        services
            .filter_map(|service| {
                entries
                    .get(&service.name)
                    .map(|entry| entry.burn.report(service))
            })
            .collect()
    }
}

/// The two ways to reach endpoints.
pub(crate) struct Clients {
    /// Keeps connections; for idempotent requests.
    pub(crate) pooled: reqwest::Client,
    /// Opens a connection a request; for others, so that no library retry on a pooled connection
    /// that was found closed can send one twice.
    pub(crate) fresh: reqwest::Client,
}

impl Clients {
    pub(crate) fn build() -> reqwest::Result<Self> {
        let builder = || {
            reqwest::Client::builder()
                .no_proxy()
                .redirect(reqwest::redirect::Policy::none())
                .retry(reqwest::retry::never())
                .connect_timeout(CONNECT_TIMEOUT)
        };
        Ok(Self {
            pooled: builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?,
            fresh: builder().pool_max_idle_per_host(0).build()?,
        })
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Entry {
    /// Hands decisions to the requests that wait.
    pub(super) fn dispatch(&mut self, now: Instant) {
        for (id, decision) in self.router.poll(now) {
            let Some(waiter) = self.waiters.remove(&id) else {
                continue;
            };
            // A request's task always waits for its decision, so this can't fail.
            let _ = waiter.send(decision);
        }
    }

    /// Decides now, or later by way of the returned receiver.
    pub(super) fn decide(
        &mut self,
        request: Request,
        now: Instant,
    ) -> Result<Decision, oneshot::Receiver<Decision>> {
        match self.router.route(request, now) {
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(request.id, sender);
                Err(receiver)
            }
            decision => Ok(decision),
        }
    }
}

fn endpoint_view(summary: persimmon_route::EndpointSummary) -> EndpointView {
    use persimmon_chart::Label;
    EndpointView {
        id: summary.id,
        state: summary.state.label().to_owned(),
        in_flight: summary.in_flight,
        share: summary.share,
    }
}

fn endpoint_specs(
    context: &Context,
    config: &Config,
    name: &str,
    instances: &[Instance],
    members: &[String],
) -> Vec<EndpointSpec> {
    let Some(service) = config.try_find_service(name) else {
        return Vec::new();
    };
    let own = context.settings.member_id.as_str();
    let mut specs = Vec::new();
    for instance in instances {
        let Role::Runner { service: of, .. } = &instance.role else {
            continue;
        };
        if of != name {
            continue;
        }
        let slots = share(service.slots_per_runner, &instance.id, own, members);
        let connections = share(service.connections_per_runner, &instance.id, own, members);
        specs.push(EndpointSpec {
            id: instance.id.clone(),
            address: instance.address.clone(),
            same_data_centre: instance.data_centre == context.settings.data_centre,
            share: slots.min(connections),
            leaving: instance.state == InstanceState::Leaving,
        });
    }
    specs
}
