//! Logs with a limit on what each place may say, so that a storm of faults can't drown the rest.

use crate::context::Locked;
use env_logger::Logger;
use log::{Log, Metadata, Record};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Lines that one place in the code may log in a window.
const LINES_MAX: u32 = 10;
const WINDOW: Duration = Duration::from_secs(10);
/// What is logged unless `RUST_LOG` says otherwise; rocket tells of every request.
const FILTER: &str = "info,rocket=warn";

/// A place in the code: file and line.
type Place = (&'static str, u32);

#[derive(Debug, Clone, Copy)]
struct Window {
    began_at: Instant,
    lines: u32,
}

struct Limited {
    inner: Logger,
    windows: Locked<HashMap<Place, Window>>,
}

/// Sets the process's logger up; rocket would set up one of its own if none were there.
pub(crate) fn init() {
    let filter = env_logger::Env::default().default_filter_or(FILTER);
    let inner = env_logger::Builder::from_env(filter).build();
    log::set_max_level(inner.filter());
    let limited = Limited {
        inner,
        windows: Locked::default(),
    };
    // It fails only when a logger was set before, which is then as good.
    let _ = log::set_boxed_logger(Box::new(limited));
}

/// What becomes of a line.
#[derive(Debug, PartialEq, Eq)]
enum Verdict {
    Log,
    Drop,
    /// The first of a window, after so many were dropped in the last.
    LogAfter(u32),
}

impl Window {
    fn take(&mut self, now: Instant) -> Verdict {
        if now.saturating_duration_since(self.began_at) >= WINDOW {
            let dropped = self.lines.saturating_sub(LINES_MAX);
            *self = Self {
                began_at: now,
                lines: 1,
            };
            return if dropped > 0 {
                Verdict::LogAfter(dropped)
            } else {
                Verdict::Log
            };
        }
        self.lines += 1;
        if self.lines > LINES_MAX {
            return Verdict::Drop;
        }
        Verdict::Log
    }
}

impl Limited {
    fn verdict(&self, record: &Record<'_>) -> Verdict {
        let place = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or(0),
        );
        let now = Instant::now();
        let mut windows = self.windows.lock();
        windows
            .entry(place)
            .or_insert(Window {
                began_at: now,
                lines: 0,
            })
            .take(now)
    }
}

impl Log for Limited {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        match self.verdict(record) {
            Verdict::Drop => {}
            Verdict::Log => self.inner.log(record),
            Verdict::LogAfter(dropped) => {
                self.inner.log(record);
                let text = format_args!(
                    "step=log.limit attempt={dropped} reason=\"lines like the \
                                         one before were left out\""
                );
                let mut note = Record::builder();
                note.args(text)
                    .level(record.level())
                    .target(record.target());
                self.inner.log(&note.build());
            }
        }
    }

    fn flush(&self) {
        self.inner.flush();
    }
}
