//! The system's own processes, started with the command of the deploy file.

use crate::{client, json::Json, Record};
use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// The command of `deploy/system.toml`, from the root of the repository.
const RUN: &str = "target/release/persimmonshift-platform";
pub const HOST: &str = "queue.example";

pub struct Process {
    pub name: String,
    pub frontend: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Processes and their folder, all of which end with this value.
pub struct System {
    pub processes: Vec<Process>,
    folder: PathBuf,
    record: Record,
}

fn free_port() -> std::io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn free_udp_port() -> std::io::Result<u16> {
    Ok(UdpSocket::bind("127.0.0.1:0")?.local_addr()?.port())
}

impl System {
    /// Starts `count` processes on instances of this size.
    pub fn start(count: usize, store: SocketAddr, record: &Record) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut system = Self {
            processes: Vec::new(),
            folder,
            record: record.clone(),
        };
        for number in 1..=count {
            let name = format!("edge-zone-a-{number}");
            let (frontend, readiness) = (free_port()?, free_port()?);
            let at = |port: u16| Json::text(&format!("127.0.0.1:{port}"));
            let peers = u64::from(free_udp_port()?);
            let fraction = Json::Number(0.25);
            let limits = [
                ("cpuShare", fraction),
                ("cores", 1.into()),
                ("memoryMb", 260.into()),
                ("maxFds", 4_100.into()),
                ("linkMbps", 1_000.into()),
            ];
            let settings = Json::table([
                ("nodeName", Json::text(&name)),
                ("role", Json::text("entry")),
                ("machineClass", Json::text("edge")),
                ("serves", Json::List(vec![Json::text("edge")])),
                ("ip", Json::text("127.0.0.1")),
                ("zone", Json::text("zone-a")),
                ("region", Json::text("zone")),
                (
                    "listenAddrs",
                    Json::table([("frontend", at(frontend)), ("readiness", at(readiness))]),
                ),
                ("portRange", Json::List(vec![peers.into(), peers.into()])),
                ("bootstrap", Json::Bool(true)),
                ("limits", Json::table(limits)),
                ("heartbeatMs", 1_000.into()),
                ("orders", Json::text("invoke")),
                ("bounds", Json::table([("drainMs", 2_000.into())])),
                (
                    "platform",
                    Json::table([
                        ("address", Json::text(&store.to_string())),
                        ("form", Json::text("kv")),
                        ("writesPerS", 400.into()),
                        ("readsPerS", 2_000.into()),
                        ("ttlMinMs", 1_000.into()),
                    ]),
                ),
            ]);
            let path = system.folder.join(format!("{name}.json"));
            fs::write(&path, settings.write())?;
            let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
            system.processes.push(Process {
                log: system.folder.join(format!("{name}.log")),
                name,
                frontend: address(frontend),
                readiness: address(readiness),
                settings: path,
                child: None,
            });
        }
        for at in 0..count {
            system.boot(at)?;
        }
        Ok(system)
    }

    pub fn boot(&mut self, at: usize) -> std::io::Result<()> {
        let process = &mut self.processes[at];
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&process.log)?;
        let child = Command::new(RUN)
            .env("PERSIMMONSHIFT_BOOT", &process.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.note(&format!("{} is started", process.name));
        process.child = Some(child);
        Ok(())
    }

    /// Waits until all processes are ready; `false` if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |process: &Process| {
            let timeout = Duration::from_millis(500);
            let path = "/persimmonshift/readyz";
            let answer = client::call(process.readiness, "GET", HOST, path, "", timeout);
            answer.is_some_and(|it| it.0 == 200)
        };
        while Instant::now() < until {
            if self.processes.iter().all(is_ready) {
                self.record.note("all processes are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills a process.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.processes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .note(&format!("{} is killed", self.processes[at].name));
        }
    }

    /// Memory that a process has resident, in MB; 0 if it does not run.
    pub fn memory_mb(&self, at: usize) -> u64 {
        let Some(child) = &self.processes[at].child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line
            .and_then(|line| line.split_whitespace().nth(1))
            .and_then(|it| it.parse::<u64>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, at: usize) -> bool {
        let child = self.processes[at].child.as_mut();
        child.is_some_and(|it| !matches!(it.try_wait(), Ok(None)))
    }

    /// Lines of the processes' logs that hold this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for process in &self.processes {
            let log = fs::read_to_string(&process.log).unwrap_or_default();
            let found = log.lines().filter(|line| line.contains(text));
            lines.extend(found.map(|line| format!("{}: {line}", process.name)));
        }
        lines
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for at in 0..self.processes.len() {
            // A stopped process is killed as well.
            self.kill(at);
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
