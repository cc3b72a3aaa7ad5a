use crate::{
    queue::{self, Message},
    rate_limit::{CallSite, RateLimiter},
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

/// How long dropping the [`Guard`] waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Filter and limits of the logger.
#[derive(Debug, Clone)]
pub struct Options {
    /// Default filter, in `RUST_LOG` syntax; the `RUST_LOG` variable overrides it.
    pub filter: &'static str,
    /// Lines each call site may log per window.
    pub lines_max: u32,
    /// Length of a rate limit window, and the interval at which suppressed lines are reported.
    pub window: Duration,
    /// Capacity of the queue to the writer thread, in lines. Lines that find it full are dropped.
    pub queue_capacity: usize,
}

impl Default for Options {
    /// Every decision must be logged, even on the busiest day with 115 evictions per second at one
    /// owner. The queue holds what all call sites log in a fifth of a second.
    fn default() -> Self {
        Self {
            filter: "info",
            lines_max: 200,
            window: Duration::from_secs(1),
            queue_capacity: 4_096,
        }
    }
}

/// Counters of lines that were not written.
#[derive(Debug, Default)]
pub struct Counts {
    rate_limited: AtomicU64,
    queue_full: Arc<AtomicU64>,
}

impl Counts {
    /// Number of lines suppressed by the rate limit.
    pub fn rate_limited(&self) -> u64 {
        self.rate_limited.load(Ordering::Relaxed)
    }

    /// Number of lines dropped because the queue was full.
    pub fn queue_full(&self) -> u64 {
        self.queue_full.load(Ordering::Relaxed)
    }
}

/// Error from setting up the logger.
#[derive(Debug, thiserror::Error)]
pub enum InitError {
    /// The writer thread could not be spawned.
    #[error("log: failed to spawn the writer thread: {0}")]
    Thread(#[from] std::io::Error),
    /// A global logger is already installed.
    #[error("log: {0}")]
    AlreadySet(#[from] log::SetLoggerError),
}

/// Applies the rate limit and passes admitted records on to `env_logger`.
pub struct Logger {
    shared: Arc<Shared>,
}

struct Shared {
    inner: env_logger::Logger,
    rate_limit: Mutex<RateLimiter>,
    clock: Arc<dyn Clock>,
    counts: Arc<Counts>,
}

/// Waits when dropped, for up to 300 ms, until the queued lines are written and flushed. If the
/// queue is full at that time, it does not wait and lines may be missing.
pub struct Guard {
    sender: SyncSender<Message>,
    counts: Arc<Counts>,
}

impl Guard {
    /// Returns the counters of lines that were not written.
    pub fn counts(&self) -> Arc<Counts> {
        Arc::clone(&self.counts)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (flushed_sender, flushed) = sync_channel(0);
        // With a full queue the flush can't be requested, and the writer thread is not waited for.
        if self.sender.try_send(Message::Flush(flushed_sender)).is_ok() {
            // Nothing is sent on the channel: the writer drops its end once all lines are written.
            if flushed.recv_timeout(FLUSH_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
                eprintln!("log: timed out flushing the output; the last lines may be missing");
            }
        }
    }
}

/// Creates a logger that writes to `output`, without installing it.
pub fn build(
    options: &Options,
    clock: Arc<dyn Clock>,
    mut output: Box<dyn Write + Send>,
) -> Result<(Logger, Guard), InitError> {
    let counts = Arc::new(Counts::default());
    let dropped = Arc::clone(&counts.queue_full);
    let (writer, sender, receiver) = queue::channel(options.queue_capacity, dropped);
    let filter = env_logger::Env::default().default_filter_or(options.filter);
    let inner = env_logger::Builder::from_env(filter)
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .build();
    let shared = Arc::new(Shared {
        inner,
        rate_limit: Mutex::new(RateLimiter::new(options.lines_max, options.window)),
        clock,
        counts: Arc::clone(&counts),
    });
    let weak_shared = Arc::downgrade(&shared);
    let window = options.window;
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let mut reported_at = None;
            queue::write_all(&receiver, &mut output, window, || {
                if let Some(shared) = weak_shared.upgrade() {
                    shared.report_suppressed(window, &mut reported_at);
                }
            });
        })?;
    Ok((Logger { shared }, Guard { sender, counts }))
}

/// Creates a logger that writes to `output` and installs it as the global logger.
pub fn init(
    options: &Options,
    clock: Arc<dyn Clock>,
    output: Box<dyn Write + Send>,
) -> Result<Guard, InitError> {
    let (logger, guard) = build(options, clock, output)?;
    log::set_max_level(logger.shared.inner.filter());
    log::set_boxed_logger(Box::new(logger))?;
    Ok(guard)
}

impl Shared {
    fn admit(&self, call_site: CallSite) -> bool {
        let rate_limit = &mut self
            .rate_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_admitted = rate_limit.admit(call_site, self.clock.now());
        if !is_admitted {
            self.counts.rate_limited.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }

    /// Logs the number of suppressed lines of each call site, at most once per window.
    fn report_suppressed(&self, window: Duration, reported_at: &mut Option<Instant>) {
        let now = self.clock.now();
        if reported_at.is_some_and(|at| now < at + window) {
            return;
        }
        *reported_at = Some(now);
        let suppressed = {
            let mut rate_limit = self
                .rate_limit
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            rate_limit.take_suppressed()
        };
        for it in suppressed {
            let (file, line) = it.call_site;
            let message = format_args!(
                "event=log.left_out file={file} line={line} lines={}",
                it.lines
            );
            let mut record = Record::builder();
            record
                .args(message)
                .level(log::Level::Warn)
                .target(module_path!());
            self.inner.log(&record.build());
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
        let call_site = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        if self.shared.admit(call_site) {
            self.shared.inner.log(record);
        }
    }

    // Does not wait for the writer thread; dropping the `Guard` does.
    fn flush(&self) {}
}
