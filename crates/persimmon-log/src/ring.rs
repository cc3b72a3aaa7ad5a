//! Lines on their way from whoever logs to the thread that writes.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError},
        Arc,
    },
    time::Duration,
};

pub(crate) enum Message {
    Line(Vec<u8>),
    /// All lines before this have been written once the sender is dropped.
    Flush(SyncSender<()>),
}

/// Takes lines without ever waiting.
pub(crate) struct RingWriter {
    lines: SyncSender<Message>,
    refused: Arc<AtomicU64>,
}

impl Write for RingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A ring of so many lines: its two ends, and a sender of other messages.
pub(crate) fn ring(
    lines_max: usize,
    refused: Arc<AtomicU64>,
) -> (RingWriter, SyncSender<Message>, Receiver<Message>) {
    let (lines, messages) = sync_channel(lines_max);
    let writer = RingWriter {
        lines: lines.clone(),
        refused,
    };
    (writer, lines, messages)
}

/// Writes what comes in, and calls `note` about every `period`, until all senders are gone.
pub(crate) fn write_all(
    messages: &Receiver<Message>,
    output: &mut dyn Write,
    period: Duration,
    mut note: impl FnMut(),
) {
    loop {
        match messages.recv_timeout(period) {
            // Who can't write a log line has nowhere to say so.
            Ok(Message::Line(line)) => drop(output.write_all(&line)),
            Ok(Message::Flush(done)) => {
                let _ = output.flush();
                drop(done);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        note();
    }
}
