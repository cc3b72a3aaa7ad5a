//! Log lines of the processes that a test runs on its own thread.

use std::{cell::RefCell, sync::Once};

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
        }
    }

    fn flush(&self) {}
}

/// Starts to record the lines from level info on.
pub(crate) fn record() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Recorder).expect("the first logger");
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.take();
}

/// Returns the number of recorded lines of an event.
pub(crate) fn count(event: &str) -> usize {
    let start = format!("event={event} ");
    LINES.with_borrow(|lines| lines.iter().filter(|it| it.starts_with(&start)).count())
}
