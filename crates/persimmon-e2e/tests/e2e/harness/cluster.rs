use super::{client, control, get_json, lock_cluster, run, wait_for, Process};
use serde_json::{json, Value};
use std::{path::PathBuf, sync::MutexGuard};

pub(crate) const TOKEN: &str = "a-token-for-tests-only";

/// Composition of a cluster.
pub(crate) struct Options {
    pub(crate) daemons: usize,
    pub(crate) workers: usize,
    pub(crate) runners: usize,
    pub(crate) runner_work_ms: u64,
    /// Whether each daemon reaches the store, and is reached by its peers, through relays.
    pub(crate) relays: bool,
    /// Index of the daemon that reads a separate instance list, if any, so that a test can give
    /// this daemon other worker addresses than the rest, such as one that bypasses a relay.
    pub(crate) separate_list: Option<usize>,
    /// Settings of the daemons that override `DEFAULT_SETTINGS`.
    pub(crate) settings: Vec<(&'static str, &'static str)>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            daemons: 3,
            workers: 2,
            runners: 2,
            runner_work_ms: 5,
            relays: false,
            separate_list: None,
            settings: Vec::new(),
        }
    }
}

/// A daemon, and the relays on its connections to the store and from its peers.
pub(crate) struct Daemon {
    pub(crate) process: Process,
    pub(crate) api: String,
    store_relay: Option<Process>,
    mesh_relay: Option<Process>,
}

impl Daemon {
    pub(crate) fn set_store_cut(&self, cut: bool) {
        let relay = self.store_relay.as_ref().expect("the cluster has relays");
        control(&relay.address("control"), &json!({ "cut": cut }));
    }

    pub(crate) fn set_mesh_cut(&self, cut: bool) {
        let relay = self.mesh_relay.as_ref().expect("the cluster has relays");
        control(&relay.address("control"), &json!({ "cut": cut }));
    }

    /// Drops every n-th datagram that passes the relay before this daemon's mesh port.
    pub(crate) fn set_mesh_loss(&self, drop_every: u64) {
        let relay = self.mesh_relay.as_ref().expect("the cluster has relays");
        control(
            &relay.address("control"),
            &json!({ "drop_every": drop_every }),
        );
    }

    pub(crate) fn run_tool(&self, args: &[&str]) -> (i32, String, String) {
        let variables = [
            ("PERSIMMONSHIFT_DAEMON", self.api.as_str()),
            ("PERSIMMONSHIFT_TOKEN", TOKEN),
        ];
        let output = run("persimmonshift", args, &variables);
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
        let code = output
            .status
            .code()
            .expect("the program was not killed by a signal");
        (code, text(output.stdout), text(output.stderr))
    }

    pub(crate) fn tool_json(&self, args: &[&str]) -> Value {
        let args: Vec<&str> = ["--json"].iter().chain(args).copied().collect();
        let (code, out, err) = self.run_tool(&args);
        assert_eq!(code, 0, "{args:?}: {err}");
        serde_json::from_str(&out).expect("valid JSON")
    }

    pub(crate) fn submit(&self, class: &str, key: &str) -> String {
        let args = [
            "job",
            "submit",
            "--class",
            class,
            "--key",
            key,
            "--due-in-s",
            "600",
        ];
        let id = wait_for("an accepted job", || {
            let (code, out, _) = self.run_tool(&[&["--json"], &args[..]].concat());
            (code == 0)
                .then(|| serde_json::from_str::<Value>(&out).expect("valid JSON")["id"].clone())
        });
        format!("{}-{}", id["shard"], id["number"])
    }

    pub(crate) fn job(&self, id: &str) -> Value {
        self.tool_json(&["job", "show", id])
    }

    pub(crate) fn wait_job(&self, id: &str, state: &str) -> Value {
        wait_for(&format!("job {id} to be {state}"), || {
            let (code, out, _) = self.run_tool(&["--json", "job", "show", id]);
            let view: Value = serde_json::from_str(&out).unwrap_or_default();
            (code == 0 && view["state"] == state).then_some(view)
        })
    }

    /// Sends a request to the service `booking` through this daemon.
    pub(crate) fn request(&self, method: &str, headers: &[(&str, &str)]) -> ServiceResponse {
        let method = method.parse().expect("a valid HTTP method");
        let mut request = client().request(method, format!("http://{}/svc/booking/book", self.api));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request
            .body("a booking")
            .send()
            .expect("the daemon responds");
        let ran = response.headers().get("x-persimmon-ran");
        let ran = ran.map(|value| value.to_str().expect("UTF-8").to_owned());
        let status = response.status().as_u16();
        ServiceResponse {
            status,
            ran,
            body: response.json().expect("a complete JSON response"),
        }
    }
}

/// A response of a daemon to a service request.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    pub(crate) status: u16,
    /// Value of the `x-persimmon-ran` header: whether a failed request was executed.
    pub(crate) ran: Option<String>,
    pub(crate) body: Value,
}

/// The stand-ins and daemons of one test.
pub(crate) struct Cluster {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) store: String,
    pub(crate) instances: String,
    pub(crate) workers: Vec<String>,
    pub(crate) runners: Vec<String>,
    pub(crate) dir: PathBuf,
    settings: Vec<(&'static str, &'static str)>,
    stand_ins: Vec<Process>,
    _cluster_lock: MutexGuard<'static, ()>,
}

/// Short terms and timeouts, so that tests of expiry need not wait for long.
const DEFAULT_SETTINGS: [(&str, &str); 10] = [
    ("shard-count", "2"),
    ("session-ttl-ms", "1500"),
    ("promise-term-ms", "1200"),
    ("lease-term-ms", "5000"),
    ("sync-interval-ms", "200"),
    ("silence-ms", "1000"),
    ("gossip-interval-ms", "200"),
    ("freshness-ms", "2000"),
    ("store-timeout-ms", "400"),
    ("drain-notice-ms", "200"),
];

impl Cluster {
    pub(crate) fn start(options: &Options) -> Self {
        let cluster_lock = lock_cluster();
        let dir = std::env::temp_dir().join(format!(
            "persimmon-e2e-{}-{:?}",
            std::process::id(),
            std::thread::current().id()
        ));
        std::fs::create_dir_all(&dir).expect("create the temporary directory");
        let store = stand_in(&["store"]);
        let instances = stand_in(&["instances", "--lag-ms", "100"]);
        let mut cluster = Self {
            daemons: Vec::new(),
            store: store.address("store"),
            instances: instances.address("instances"),
            workers: Vec::new(),
            runners: Vec::new(),
            dir,
            settings: options.settings.clone(),
            stand_ins: vec![store, instances],
            _cluster_lock: cluster_lock,
        };
        cluster.add_workers(options.workers);
        cluster.add_runners(options);
        cluster.create_keys(options.daemons);
        for number in 0..options.daemons {
            cluster.add_daemon(number, options);
        }
        cluster
    }

    /// Starts a cluster and waits until the test ticket is in force and all workers are live.
    pub(crate) fn start_ready(options: &Options) -> Self {
        let cluster = Self::start(options);
        cluster.apply(1);
        cluster.wait_live(options.workers);
        cluster
    }

    pub(crate) fn apply(&self, number: u64) {
        let file = self.write_ticket(number, 1);
        wait_for("a ticket in force", || {
            let (code, out, _) = self.daemons[0].run_tool(&["ticket", "apply", &file]);
            (code == 0 && out.contains("in force everywhere")).then_some(())
        });
    }

    /// Writes a ticket whose content depends on `variant` and returns its path.
    pub(crate) fn write_ticket(&self, number: u64, variant: u64) -> String {
        let path = self.dir.join(format!("ticket-{number}-{variant}.toml"));
        let text = include_str!("ticket.toml")
            .replace("NUMBER", &number.to_string())
            .replace("VARIANT", &variant.to_string());
        std::fs::write(&path, text).expect("write the file");
        path.to_str().expect("UTF-8").to_owned()
    }

    pub(crate) fn wait_live(&self, workers: usize) {
        wait_for("live workers", || {
            let status = self.daemons[0].tool_json(&["status"]);
            let shards = status["shards"].as_array().expect("shards").clone();
            let all = shards
                .iter()
                .flat_map(|it| it["workers"].as_array().expect("workers"));
            (all.filter(|worker| worker["state"] == "live").count() == workers).then_some(())
        });
    }

    /// Returns the runs of attempts recorded by all workers; a run in progress has no end.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for worker in &self.workers {
            let list = get_json(worker, "/control/runs");
            for run in list.as_array().expect("a list of runs") {
                runs.push(Run {
                    job: format!("{}-{}", run["job"]["shard"], run["job"]["number"]),
                    attempt: run["attempt"].as_u64().expect("an integer"),
                    from_ms: run["from_ms"].as_u64().expect("an integer"),
                    started_unix_ms: run["started_unix_ms"].as_u64().expect("a timestamp"),
                    ended_unix_ms: run["ended_unix_ms"].as_u64(),
                    ended_as: run["ended_as"].as_str().map(str::to_owned),
                });
            }
        }
        runs
    }

    /// Returns how many times the runners together executed the request `id`.
    pub(crate) fn executions(&self, id: &str) -> u64 {
        let count = |runner: &String| {
            get_json(runner, "/control/executions")["executions"][id]
                .as_u64()
                .unwrap_or(0)
        };
        self.runners.iter().map(count).sum()
    }

    /// Returns the index of the daemon that owns a job's shard, according to daemon `asked`.
    pub(crate) fn owner_of(&self, id: &str, asked: usize) -> usize {
        let shard: u64 = id
            .split('-')
            .next()
            .expect("a shard")
            .parse()
            .expect("an integer");
        wait_for("an owner", || {
            let (_, out, _) = self.daemons[asked].run_tool(&["--json", "status"]);
            let status: Value = serde_json::from_str(&out).ok()?;
            let shards = status["shards"].as_array()?.clone();
            let owner = shards.iter().find(|it| it["shard"] == shard)?["owner"]
                .as_str()?
                .to_owned();
            owner.strip_prefix('d')?.parse().ok()
        })
    }

    /// Starts a worker behind a relay, with `name` as prefix of its id; returns its own address and
    /// the relay.
    pub(crate) fn add_relayed_worker(&mut self, name: &str) -> (String, Process) {
        let worker = stand_in(&["worker", "--instances", &self.instances, "--prefix", name]);
        let address = worker.address("workers");
        let relay = stand_in(&["relay", "--tcp", &address]);
        self.workers.push(address.clone());
        self.stand_ins.push(worker);
        (address, relay)
    }

    pub(crate) fn start_instance_list(&mut self) -> String {
        let list = stand_in(&["instances", "--lag-ms", "0"]);
        let address = list.address("instances");
        self.stand_ins.push(list);
        address
    }

    fn add_workers(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        let count = count.to_string();
        let args = [
            "worker",
            "--instances",
            &self.instances,
            "--count",
            &count,
            "--per-rack",
            "1",
        ];
        let workers = stand_in(&args);
        self.workers = workers.addresses("workers");
        self.stand_ins.push(workers);
    }

    fn add_runners(&mut self, options: &Options) {
        if options.runners == 0 {
            return;
        }
        let count = options.runners.to_string();
        let work_ms = options.runner_work_ms.to_string();
        let runners = stand_in(&[
            "runner",
            "--instances",
            &self.instances,
            "--service",
            "booking",
            "--count",
            &count,
            "--work-ms",
            &work_ms,
        ]);
        self.runners = runners.addresses("runners");
        self.stand_ins.push(runners);
    }

    fn create_keys(&self, daemons: usize) {
        let ids: Vec<String> = (0..daemons).map(|number| format!("d{number}")).collect();
        let mut args = vec!["keys", "create", "--out", self.dir.to_str().expect("UTF-8")];
        ids.iter().for_each(|id| args.extend(["--member", id]));
        assert!(run("persimmonshift", &args, &[]).status.success());
    }

    pub(crate) fn add_daemon(&mut self, number: usize, options: &Options) {
        let mut store = self.store.clone();
        let mut settings = vec![("member-id".to_owned(), format!("d{number}"))];
        let (mut store_relay, mut mesh_relay) = (None, None);
        if options.relays {
            let relay = stand_in(&["relay", "--tcp", &self.store]);
            store = relay.address("tcp");
            store_relay = Some(relay);
            // The relay needs the daemon's UDP port before the daemon starts.
            let port = free_udp_port();
            let listen = format!("127.0.0.1:{port}");
            let relay = stand_in(&["relay", "--udp", &listen]);
            settings.push(("mesh-listen".to_owned(), listen));
            settings.push(("mesh-advertise".to_owned(), relay.address("udp")));
            mesh_relay = Some(relay);
        }
        let mut instances = self.instances.clone();
        if options.separate_list == Some(number) {
            instances = self.start_instance_list();
            self.store_separate_list(&instances);
        }
        settings.push(("store".to_owned(), store));
        settings.push(("instances".to_owned(), instances));
        let process = self.spawn_daemon(number, settings);
        let api = process.address("api");
        self.daemons.push(Daemon {
            process,
            api,
            store_relay,
            mesh_relay,
        });
    }

    /// Writes the address of the separate instance list to a file, from which
    /// [`Self::separate_list`] returns it to the test.
    fn store_separate_list(&self, address: &str) {
        std::fs::write(self.dir.join("separate-list"), address).expect("write the file");
    }

    /// Returns the address of the separate instance list, with which a test registers workers.
    pub(crate) fn separate_list(&self) -> String {
        std::fs::read_to_string(self.dir.join("separate-list"))
            .expect("the cluster has a separate instance list")
    }

    fn spawn_daemon(&self, number: usize, settings: Vec<(String, String)>) -> Process {
        let file = |name: String| self.dir.join(name).to_str().expect("UTF-8").to_owned();
        let fixed = [
            ("token".to_owned(), TOKEN.to_owned()),
            ("data-centre".to_owned(), "dc1".to_owned()),
            (
                "mesh-authorities".to_owned(),
                file("authority.pem".to_owned()),
            ),
            (
                "mesh-certificate".to_owned(),
                file(format!("d{number}.pem")),
            ),
            (
                "mesh-private-key".to_owned(),
                file(format!("d{number}.key")),
            ),
        ];
        let text = |(name, value): &(&str, &str)| (name.to_string(), value.to_string());
        let defaults = DEFAULT_SETTINGS.iter().map(text);
        let all = defaults
            .chain(self.settings.iter().map(text))
            .chain(fixed)
            .chain(settings);
        let variables: Vec<(String, String)> = all
            .map(|(name, value)| {
                let name = name.to_uppercase().replace('-', "_");
                (format!("PERSIMMONSHIFT_{name}"), value)
            })
            .collect();
        Process::start("persimmonshiftd", &[], &variables)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A failure only leaves files in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// One run of an attempt on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) job: String,
    pub(crate) attempt: u64,
    /// The progress, in milliseconds of run time, from which the run resumed; 0 without a
    /// checkpoint.
    pub(crate) from_ms: u64,
    pub(crate) started_unix_ms: u64,
    pub(crate) ended_unix_ms: Option<u64>,
    pub(crate) ended_as: Option<String>,
}

pub(crate) fn stand_in(args: &[&str]) -> Process {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    Process::start("persimmonshift-standin", &args, &[])
}

fn free_udp_port() -> u16 {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("bind an ephemeral port");
    socket.local_addr().expect("the local address").port()
}
