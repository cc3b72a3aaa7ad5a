use log::{Level, Log, Record};
use persimmon_log::{open, Options};
use persimmon_types::SystemClock;
use std::{
    io::{self, Write},
    sync::{mpsc, Arc, Mutex},
    time::{Duration, Instant},
};

/// Keeps what is written.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Kept {
    fn lines(&self, with: &str) -> Vec<String> {
        let bytes = self.0.lock().expect("no panic");
        let text = String::from_utf8_lossy(&bytes);
        let lines = text.lines().filter(|line| line.contains(with));
        lines.map(str::to_owned).collect()
    }
}

/// Takes nothing until the other end of its channel is dropped.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // It ends with an error once the test lets go.
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
        ring_lines: 64,
        ..Options::default()
    }
}

#[test]
fn logger_tells_what_it_left_out() {
    let kept = Kept::default();
    let options = Options {
        ring_lines: 10_000,
        window: Duration::from_secs(60),
        ..options()
    };
    let output = Box::new(kept.clone());
    let (logger, guard) = open(&options, Arc::new(SystemClock), output).expect("a logger");
    for _ in 0..5_000 {
        log(&logger, 1, "storm");
    }
    log(&logger, 2, "other");
    let counts = guard.counts();
    drop(guard);
    assert_eq!(kept.lines("event=storm").len(), 100);
    assert_eq!(kept.lines("event=other").len(), 1);
    assert_eq!(counts.over_budget(), 4_900);
    assert_eq!(counts.ring_full(), 0);
}

#[test]
fn left_out_lines_are_told_without_another_line() {
    let kept = Kept::default();
    let output = Box::new(kept.clone());
    let options = Options {
        ring_lines: 10_000,
        ..options()
    };
    let (logger, _guard) = open(&options, Arc::new(SystemClock), output).expect("a logger");
    for _ in 0..1_000 {
        log(&logger, 1, "storm");
    }
    let told = || -> u64 {
        let lines = kept.lines("event=log.left_out file=test.rs line=1");
        let counts = lines
            .iter()
            .filter_map(|line| line.rsplit_once('=')?.1.parse::<u64>().ok());
        counts.sum()
    };
    let began_at = Instant::now();
    while told() + (kept.lines("event=storm").len() as u64) < 1_000 {
        assert!(began_at.elapsed() < Duration::from_secs(10), "{}", told());
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(told() > 0);
}

/// Whoever logs must not wait for an output that takes nothing.
#[test]
fn logger_never_waits_for_its_output() {
    let (hold, held) = mpsc::channel();
    let output = Box::new(Stuck(held));
    let options = Options {
        lines_max: u32::MAX,
        ..options()
    };
    let (logger, guard) = open(&options, Arc::new(SystemClock), output).expect("a logger");
    let lines = 20_000;
    for _ in 0..lines {
        log(&logger, 1, "storm");
    }
    // One line is stuck in the output, the ring holds its own; nothing else was waited for.
    let refused = guard.counts().ring_full();
    let ring_lines = options.ring_lines as u64;
    assert!(refused >= lines - ring_lines - 1, "{refused}");
    assert!(refused <= lines - ring_lines, "{refused}");
    drop(hold);
}
