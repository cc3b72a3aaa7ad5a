//! Bounded queue of formatted log lines between the logging threads and the writer thread.

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
    /// Dropping the sender signals that all earlier lines have been written.
    Flush(SyncSender<()>),
}

/// Enqueues lines without blocking; a line that finds the queue full is dropped and counted.
pub(crate) struct QueueWriter {
    sender: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.sender.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a queue of up to `capacity` messages. Returns the writer half for log lines, a sender
/// for other messages, and the receiver.
pub(crate) fn channel(
    capacity: usize,
    dropped: Arc<AtomicU64>,
) -> (QueueWriter, SyncSender<Message>, Receiver<Message>) {
    let (sender, receiver) = sync_channel(capacity);
    let writer = QueueWriter {
        sender: sender.clone(),
        dropped,
    };
    (writer, sender, receiver)
}

/// Writes queued lines until all senders are dropped. Calls `on_tick` after each message and at
/// least once every `tick_interval`.
pub(crate) fn write_all(
    receiver: &Receiver<Message>,
    output: &mut dyn Write,
    tick_interval: Duration,
    mut on_tick: impl FnMut(),
) {
    loop {
        match receiver.recv_timeout(tick_interval) {
            // A write error on the log output can't be reported anywhere, so it is ignored.
            Ok(Message::Line(line)) => drop(output.write_all(&line)),
            Ok(Message::Flush(written)) => {
                let _ = output.flush();
                drop(written);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        on_tick();
    }
}
