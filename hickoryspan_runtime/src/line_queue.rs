//! A log sink that writes lines from a thread of its own, so that a reader that stalls blocks nobody.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, StringBuf};

/// Longest time that the process waits at its end for lines to be written.
const EXIT_TIME: Duration = Duration::from_millis(300);
/// Time between two looks whether all lines are written.
const EXIT_POLL_TIME: Duration = Duration::from_millis(2);

/// Writes lines in the order in which they were logged. Those that do not fit are dropped.
pub(crate) struct LineQueue {
    prop: SinkProp,
    lines: Mutex<Sender<Vec<u8>>>,
    queued_bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl LineQueue {
    /// Starts a queue of this many bytes. Its thread ends with the process: a reader that stalls would keep it, and who
    /// joins it, for ever.
    pub(crate) fn start(
        max_bytes: usize,
        output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (lines, queue) = channel();
        let queued_bytes = Arc::<AtomicUsize>::default();
        let written = Arc::clone(&queued_bytes);
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(&queue, &written, output))?;
        let prop = SinkProp::default();
        Ok(Self { prop, lines: Mutex::new(lines), queued_bytes, max_bytes })
    }

    /// Returns whether there is room for a line, and takes it.
    fn take_room(&self, bytes: usize) -> bool {
        let take = |queued: usize| Some(queued + bytes).filter(|sum| *sum <= self.max_bytes);
        self.queued_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, queued_bytes: &AtomicUsize, mut output: impl Write) {
    for line in queue {
        // There is nowhere to report that the log cannot be written.
        let _ = output.write_all(&line).and_then(|()| output.flush());
        queued_bytes.fetch_sub(line.len(), Ordering::AcqRel);
    }
}

impl GetSinkProp for LineQueue {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for LineQueue {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut text = StringBuf::new();
        let mut context = FormatterContext::new();
        self.prop.formatter().format(record, &mut text, &mut context)?;
        let line = text.as_bytes().to_vec();
        if !self.take_room(line.len()) {
            metrics::counter!("hickoryspan_log_lines_dropped_total").increment(1);
            return Ok(());
        }
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        // The thread lives as long as the queue.
        let _ = lines.send(line);
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }

    fn flush_on_exit(&self) -> spdlog::Result<()> {
        let end_at = Instant::now() + EXIT_TIME;
        while self.queued_bytes.load(Ordering::Acquire) > 0 && Instant::now() < end_at {
            std::thread::sleep(EXIT_POLL_TIME);
        }
        Ok(())
    }
}
