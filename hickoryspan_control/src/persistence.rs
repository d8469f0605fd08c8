//! The thread that makes batches durable, so that a slow disk never blocks the machine.

use std::sync::mpsc;
use std::thread::JoinHandle;

use anyhow::Context;
use hickoryspan_core::control::interface::{
    ControlEvent, DurableLog, PersistBatch, PersistError, PersistSequence,
};

/// A batch on its way to the disk.
struct PendingBatch {
    sequence: PersistSequence,
    batch: PersistBatch,
}

/// Hands batches to the persistence thread.
pub(crate) struct PersistenceThread {
    batches: Option<mpsc::Sender<PendingBatch>>,
    thread: Option<JoinHandle<()>>,
}

impl PersistenceThread {
    /// Starts the thread; `report` receives one event for each group of batches made durable.
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

    /// Queues a batch; batches become durable in the order of the calls.
    pub(crate) fn persist(&self, sequence: PersistSequence, batch: PersistBatch) {
        let Some(batches) = &self.batches else { return };
        // The thread ends early only after a broken disk, which it has reported.
        let _ = batches.send(PendingBatch { sequence, batch });
    }

    /// Finishes the queued batches and joins the thread.
    pub(crate) fn join(&mut self) {
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
