//! The thread that writes batches to the durable log, so that a slow disk never blocks the state machine.

use std::sync::mpsc;
use std::thread::JoinHandle;

use anyhow::Context;
use hickoryspan_core::control::interface::{
    ControlEvent, DurableLog, PersistBatch, PersistError, PersistSequence,
};

/// A batch that is not durable yet.
struct PendingBatch {
    sequence: PersistSequence,
    batch: PersistBatch,
}

/// Handle to the persistence thread. Dropping it finishes the queued batches and joins the thread.
pub(crate) struct PersistenceThread {
    batches: Option<mpsc::Sender<PendingBatch>>,
    thread: Option<JoinHandle<()>>,
}

impl PersistenceThread {
    /// Starts the thread. It calls `report` with one event for each batch that has become durable or has failed.
    pub(crate) fn start(
        log: Box<dyn DurableLog>,
        report: impl Fn(ControlEvent) + Send + 'static,
    ) -> anyhow::Result<Self> {
        let (batches, queue) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name("persistence".to_owned())
            .spawn(move || persist_batches(log, &queue, &report))
            .context("start persistence thread")?;
        Ok(Self { batches: Some(batches), thread: Some(thread) })
    }

    /// Queues a batch. Batches become durable in the order of the calls.
    pub(crate) fn persist(&self, sequence: PersistSequence, batch: PersistBatch) {
        let Some(batches) = &self.batches else { return };
        // An error means that the log is broken and the thread has ended, which it has reported already.
        let _ = batches.send(PendingBatch { sequence, batch });
    }

    /// Returns the thread. Batches that are persisted through `self` later are dropped.
    pub(crate) fn take(&mut self) -> Self {
        Self { batches: self.batches.take(), thread: self.thread.take() }
    }

    /// Finishes the queued batches and joins the thread. The disk may be slow, so the tasks of this runtime must go on
    /// meanwhile.
    pub(crate) async fn close(mut self) {
        if let Err(error) = tokio::task::spawn_blocking(move || self.join()).await {
            spdlog::error!("join persistence thread: {}", error);
        }
    }

    fn join(&mut self) {
        self.batches = None;
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            spdlog::error!("persistence thread panicked");
        }
    }
}

impl Drop for PersistenceThread {
    fn drop(&mut self) {
        self.join();
    }
}

fn persist_batches(
    mut log: Box<dyn DurableLog>,
    queue: &mpsc::Receiver<PendingBatch>,
    report: &dyn Fn(ControlEvent),
) {
    while let Ok(pending) = queue.recv() {
        match log.persist(&pending.batch) {
            Ok(()) => report(ControlEvent::Persisted(pending.sequence)),
            Err(error) => {
                spdlog::error!("persist batch {}: {}", pending.sequence.0, error);
                let is_broken = matches!(error, PersistError::Broken { .. });
                report(ControlEvent::PersistFailed(error));
                if is_broken {
                    return;
                }
            }
        }
    }
}
