use crate::{
    budget::{Budget, Place},
    ring::{self, Message},
};
use log::{Log, Metadata, Record};
use persimmon_types::Clock;
use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, RecvTimeoutError, SyncSender},
        Arc, Mutex, PoisonError,
    },
    thread,
    time::{Duration, Instant},
};

/// How long a process that ends waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// How much may be logged.
#[derive(Debug, Clone)]
pub struct Options {
    /// What is logged unless `RUST_LOG` says otherwise, in that variable's form.
    pub filter: &'static str,
    /// Lines that one place in the code may log in a window.
    pub lines_max: u32,
    /// The window; what was left out is told this often.
    pub window: Duration,
    /// Lines that may wait to be written.
    pub ring_lines: usize,
}

impl Default for Options {
    /// A decision needs its line on the busiest day that was measured: 115 evictions a second at one
    /// owner. The ring takes what all places log in a fifth of a second.
    fn default() -> Self {
        Self {
            filter: "info",
            lines_max: 200,
            window: Duration::from_secs(1),
            ring_lines: 4_096,
        }
    }
}

/// Lines that were not written.
#[derive(Debug, Default)]
pub struct Counts {
    over_budget: AtomicU64,
    ring_full: Arc<AtomicU64>,
}

impl Counts {
    /// Lines over their place's budget so far.
    pub fn over_budget(&self) -> u64 {
        self.over_budget.load(Ordering::Relaxed)
    }

    /// Lines that found the ring full so far.
    pub fn ring_full(&self) -> u64 {
        self.ring_full.load(Ordering::Relaxed)
    }
}

/// The logger could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum InitError {
    /// Its thread could not be started.
    #[error("log: start the thread that writes: {0}")]
    Thread(#[from] std::io::Error),
    /// The process has a logger already.
    #[error("log: {0}")]
    Taken(#[from] log::SetLoggerError),
}

/// Limits what goes on to `env_logger`.
pub struct Logger {
    shared: Arc<Shared>,
}

struct Shared {
    inner: env_logger::Logger,
    budget: Mutex<Budget>,
    clock: Arc<dyn Clock>,
    counts: Arc<Counts>,
}

/// Writes the last lines when it is dropped.
pub struct Guard {
    messages: SyncSender<Message>,
    counts: Arc<Counts>,
}

impl Guard {
    /// What was left out so far.
    pub fn counts(&self) -> Arc<Counts> {
        Arc::clone(&self.counts)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (done, written) = sync_channel(0);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            // Nothing is sent: the other end is dropped once all is written.
            if written.recv_timeout(FLUSH_LIMIT) == Err(RecvTimeoutError::Timeout) {
                eprintln!("log: the last lines may be missing: the output does not take them");
            }
        }
    }
}

/// Makes a logger that writes to `output`.
pub fn open(
    options: &Options,
    clock: Arc<dyn Clock>,
    mut output: Box<dyn Write + Send>,
) -> Result<(Logger, Guard), InitError> {
    let counts = Arc::new(Counts::default());
    let refused = Arc::clone(&counts.ring_full);
    let (writer, messages, lines) = ring::ring(options.ring_lines, refused);
    let filter = env_logger::Env::default().default_filter_or(options.filter);
    let inner = env_logger::Builder::from_env(filter)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .build();
    let shared = Arc::new(Shared {
        inner,
        budget: Mutex::new(Budget::new(options.lines_max, options.window)),
        clock,
        counts: Arc::clone(&counts),
    });
    let noted = Arc::downgrade(&shared);
    let window = options.window;
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let mut told_at = None;
            ring::write_all(&lines, &mut output, window, || {
                if let Some(shared) = noted.upgrade() {
                    shared.tell_left_out(window, &mut told_at);
                }
            });
        })?;
    Ok((Logger { shared }, Guard { messages, counts }))
}

/// Makes the process's logger, which writes to `output`.
pub fn init(
    options: &Options,
    clock: Arc<dyn Clock>,
    output: Box<dyn Write + Send>,
) -> Result<Guard, InitError> {
    let (logger, guard) = open(options, clock, output)?;
    log::set_max_level(logger.shared.inner.filter());
    log::set_boxed_logger(Box::new(logger))?;
    Ok(guard)
}

impl Shared {
    fn admits(&self, place: Place) -> bool {
        let budget = &mut self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let is_admitted = budget.admit(place, self.clock.now());
        if !is_admitted {
            self.counts.over_budget.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Logs what was left out, once in a window.
    fn tell_left_out(&self, window: Duration, told_at: &mut Option<Instant>) {
        let now = self.clock.now();
        if told_at.is_some_and(|at| now < at + window) {
            return;
        }
        *told_at = Some(now);
        let left_out = {
            let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
            budget.take_left_out()
        };
        for it in left_out {
            let (file, line) = it.place;
            let text = format_args!(
                "event=log.left_out file={file} line={line} lines={}",
                it.lines
            );
            let mut note = Record::builder();
            note.args(text)
                .level(log::Level::Warn)
                .target(module_path!());
            self.inner.log(&note.build());
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.shared.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.shared.inner.matches(record) {
            return;
        }
        let place = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        if self.shared.admits(place) {
            self.shared.inner.log(record);
        }
    }

    fn flush(&self) {}
}
