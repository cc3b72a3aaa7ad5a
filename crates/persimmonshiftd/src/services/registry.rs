use super::{request_keys::RequestKeys, BurnCounts};
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

/// How often the deadlines of queued requests are checked.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often the member list is checked while no request is queued.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A service's router, the senders that wake its queued requests, and its request counts.
pub(super) struct ServiceEntry {
    pub(super) router: Router,
    pub(super) queued: HashMap<RequestId, oneshot::Sender<Decision>>,
    pub(super) burn_counts: BurnCounts,
}

/// The services of the configuration and the requests to them.
///
/// Routing decisions are made under a short lock in the tasks of the requests. A separate routing
/// thread would add two thread switches to the latency of every request.
pub(crate) struct Services {
    pub(super) entries: NonPoisonMutex<BTreeMap<String, ServiceEntry>>,
    pub(super) keys: NonPoisonMutex<RequestKeys>,
    pub(super) client_pooled: reqwest::Client,
    pub(super) client_unpooled: reqwest::Client,
    /// Wakes [`Self::run`] when a request is queued.
    pub(super) request_queued: Notify,
    next_id: AtomicU64,
    in_progress: AtomicU64,
}

impl Services {
    pub(crate) fn new(keys: RequestKeys, clients: EndpointClients) -> Self {
        Self {
            entries: NonPoisonMutex::new(BTreeMap::new()),
            keys: NonPoisonMutex::new(keys),
            client_pooled: clients.pooled,
            client_unpooled: clients.unpooled,
            request_queued: Notify::new(),
            next_id: AtomicU64::new(1),
            in_progress: AtomicU64::new(0),
        }
    }

    /// Updates services and endpoints from the current configuration, instances and members.
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
                let (queued, burn_counts) = (HashMap::new(), BurnCounts::default());
                entries.insert(
                    service.name.clone(),
                    ServiceEntry {
                        router,
                        queued,
                        burn_counts,
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

    /// Applies changes of the member list and expires queued requests while the process runs.
    pub(crate) async fn run(context: Arc<Context>) {
        let mut members = Vec::new();
        let mut any_queued = false;
        loop {
            if any_queued {
                tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
            } else {
                let woken = tokio::time::timeout(
                    IDLE_POLL_INTERVAL,
                    context.services.request_queued.notified(),
                );
                // The checks below run both after a notification and after the timeout.
                let _ = woken.await;
            }
            let current = context.members.lock().ids();
            if current != members {
                members = current;
                context.services.refresh(&context);
            }
            let now = context.now();
            any_queued = false;
            for entry in context.services.entries.lock().values_mut() {
                entry.dispatch(now);
                any_queued |= !entry.queued.is_empty();
            }
        }
    }

    pub(crate) fn issue_key(&self, now: Instant) -> String {
        self.keys.lock().issue(now)
    }

    /// Generates an id for a request that came without one.
    pub(crate) fn generate_request_id(&self, context: &Context) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}.{}.{number}",
            context.settings.member_id, context.incarnation
        )
    }

    /// The number of requests that have not been answered yet.
    pub(crate) fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::SeqCst)
    }

    pub(super) fn begin_request(&self) -> RequestId {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        RequestId(self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    pub(super) fn end_request(&self) {
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
    }

    pub(crate) fn views(&self) -> Vec<ServiceView> {
        let entries = self.entries.lock();
        let view = |(name, entry): (&String, &ServiceEntry)| ServiceView {
            name: name.clone(),
            endpoints: entry.router.endpoints().map(endpoint_view).collect(),
        };
        entries.iter().map(view).collect()
    }

    pub(crate) fn burn_reports(&self, config: &Config) -> Vec<persimmon_wire::api::ServiceBurn> {
        let entries = self.entries.lock();
        let services = config.iter_services();
        services
            .filter_map(|service| {
                entries
                    .get(&service.name)
                    .map(|entry| entry.burn_counts.report(service))
            })
            .collect()
    }
}

/// HTTP clients for requests to endpoints.
pub(crate) struct EndpointClients {
    /// Reuses connections; for idempotent requests.
    pub(crate) pooled: reqwest::Client,
    /// Opens a connection for each request. Used for non-idempotent requests, which the HTTP
    /// library could otherwise send twice after it finds a pooled connection closed.
    pub(crate) unpooled: reqwest::Client,
}

impl EndpointClients {
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
            unpooled: builder().pool_max_idle_per_host(0).build()?,
        })
    }
}

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl ServiceEntry {
    /// Sends routing decisions to queued requests.
    pub(super) fn dispatch(&mut self, now: Instant) {
        for (id, decision) in self.router.poll(now) {
            let Some(sender) = self.queued.remove(&id) else {
                continue;
            };
            // Cannot fail: the task of a queued request always waits for its decision.
            let _ = sender.send(decision);
        }
    }

    /// Routes a request now, or queues it and returns the receiver of the later decision.
    pub(super) fn route(
        &mut self,
        request: Request,
        now: Instant,
    ) -> Result<Decision, oneshot::Receiver<Decision>> {
        match self.router.route(request, now) {
            Decision::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.queued.insert(request.id, sender);
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
    let member_id = context.settings.member_id.as_str();
    let mut specs = Vec::new();
    for instance in instances {
        let Role::Runner {
            service: service_name,
            ..
        } = &instance.role
        else {
            continue;
        };
        if service_name != name {
            continue;
        }
        let slots = share(service.slots_per_runner, &instance.id, member_id, members);
        let connections = share(
            service.connections_per_runner,
            &instance.id,
            member_id,
            members,
        );
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
