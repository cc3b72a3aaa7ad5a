use log::{Level, Log, Record};
use persimmon_log::{build, Options};
use persimmon_types::SystemClock;
use std::{
    io::{self, Write},
    sync::{mpsc, Arc, Mutex},
    time::{Duration, Instant},
};

/// Collects the written bytes in memory.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn lines(&self, pattern: &str) -> Vec<String> {
        let bytes = self.0.lock().expect("lock");
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().filter(|line| line.contains(pattern));
        lines.map(str::to_owned).collect()
    }
}

/// Blocks each write until the other end of the channel is dropped.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // `recv` returns an error once the test drops the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(logger: &dyn Log, line: u32, text: &str) {
    logger.log(
        &Record::builder()
            .args(format_args!("event={text}"))
            .level(Level::Info)
            .target("test")
            .file_static(Some("test.rs"))
            .line(Some(line))
            .build(),
    );
}

fn options() -> Options {
    Options {
        lines_max: 100,
        window: Duration::from_millis(200),
        queue_capacity: 64,
        ..Options::default()
    }
}

#[test]
fn logger_counts_suppressed_lines() {
    let buffer = SharedBuffer::default();
    let options = Options {
        queue_capacity: 10_000,
        window: Duration::from_secs(60),
        ..options()
    };
    let output = Box::new(buffer.clone());
    let (logger, guard) = build(&options, Arc::new(SystemClock), output).expect("a logger");
    for _ in 0..5_000 {
        log(&logger, 1, "storm");
    }
    log(&logger, 2, "other");
    let counts = guard.counts();
    drop(guard);
    assert_eq!(buffer.lines("event=storm").len(), 100);
    assert_eq!(buffer.lines("event=other").len(), 1);
    assert_eq!(counts.rate_limited(), 4_900);
    assert_eq!(counts.queue_full(), 0);
}

#[test]
fn suppressed_lines_are_reported_without_further_logging() {
    let buffer = SharedBuffer::default();
    let output = Box::new(buffer.clone());
    let options = Options {
        queue_capacity: 10_000,
        ..options()
    };
    let (logger, _guard) = build(&options, Arc::new(SystemClock), output).expect("a logger");
    for _ in 0..1_000 {
        log(&logger, 1, "storm");
    }
    let reported = || -> u64 {
        let lines = buffer.lines("event=log.left_out file=test.rs line=1");
        let counts = lines
            .iter()
            .filter_map(|line| line.rsplit_once('=')?.1.parse::<u64>().ok());
        counts.sum()
    };
    let started_at = Instant::now();
    while reported() + (buffer.lines("event=storm").len() as u64) < 1_000 {
        assert!(
            started_at.elapsed() < Duration::from_secs(10),
            "{}",
            reported()
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(reported() > 0);
}

/// A blocked output must not block the threads that log; surplus lines are dropped.
#[test]
fn log_does_not_block_on_blocked_output() {
    let (release, released) = mpsc::channel();
    let output = Box::new(BlockedOutput(released));
    let options = Options {
        lines_max: u32::MAX,
        ..options()
    };
    let (logger, guard) = build(&options, Arc::new(SystemClock), output).expect("a logger");
    let lines = 20_000;
    for _ in 0..lines {
        log(&logger, 1, "storm");
    }
    // One line is held by the blocked write and the queue is full; all others were dropped.
    let dropped = guard.counts().queue_full();
    let queue_capacity = options.queue_capacity as u64;
    assert!(dropped >= lines - queue_capacity - 1, "{dropped}");
    assert!(dropped <= lines - queue_capacity, "{dropped}");
    drop(release);
}
