//! What a run reports: its end, its answers, and its progress if it is for another entry.

use std::fmt;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hickoryspan_core::gateway::fanouts::fanout::ShardIndex;
use hickoryspan_core::gateway::fanouts::relays::{RetryGate, RetryVerdict};
use hickoryspan_core::gateway::targets::outcomes::AttemptFailure;
use hickoryspan_core::gateway::targets::poison::NoticedCrash;
use hickoryspan_core::types::{MonotonicTime, ServiceId, TargetId};
use hickoryspan_runtime::http_client::HttpAnswer;
use tokio::sync::mpsc;

use crate::expected_work::WorkReport;
use crate::fanout_links::lock;

/// Which answers of a target count as a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerRule {
    /// Every final answer counts.
    Any,
    /// Only a successful answer counts, because a failure is no part of a merged result.
    SuccessOnly,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// Enough shards answered.
    Answered,
    /// Too few shards can still answer.
    Failed,
    /// The deadline passed.
    TimedOut,
    /// This entry reached the end of its planned stop.
    Stopped,
}

/// The answer of one shard.
pub(crate) enum ShardAnswer {
    /// The response of a target to which this entry sent the request itself.
    Direct(HttpAnswer),
    /// The stamp of a response that another entry received. Its records are in [`RunOutcome::relayed_records`].
    Relayed(Arc<str>),
}

/// Progress of a run that this entry executes for another entry.
pub(crate) enum RunEvent {
    /// A shard answered.
    Part(ShardIndex, HttpAnswer),
    /// The run wants to send to a second target of a shard. The first batch, which is due now, asks for the grant.
    SecondAttempt,
}

/// Where a run for another entry sends its events. Its answers are sent as events instead of being kept in
/// [`RunOutcome::answers`].
pub(crate) struct RunSink {
    pub(crate) events: mpsc::UnboundedSender<RunEvent>,
    pub(crate) retry_gate: Arc<Mutex<RetryGate>>,
}

impl RunSink {
    /// Returns whether the run may send to a second target of a shard. The first time, the first batch is sent, which
    /// asks for it.
    pub(crate) fn retry_verdict(&self, now: MonotonicTime) -> RetryVerdict {
        let verdict = lock(&self.retry_gate).verdict(now);
        if verdict == RetryVerdict::Ask {
            self.send(RunEvent::SecondAttempt);
        }
        verdict
    }

    pub(crate) fn send(&self, event: RunEvent) {
        // The receiver is dropped only together with the run.
        let _ = self.events.send(event);
    }
}

/// A shard whose answer is missing, for the log.
pub(crate) struct MissingShard {
    pub(crate) service: ServiceId,
    // The target that was asked last; `None` if this entry asked none.
    pub(crate) target: Option<TargetId>,
}

impl fmt::Display for MissingShard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.target {
            Some(target) => write!(formatter, "{}@{}", self.service, target),
            None => write!(formatter, "{}@-", self.service),
        }
    }
}

/// The result of a run.
pub(crate) struct RunOutcome {
    pub(crate) end: RunEnd,
    /// One element for each shard; `None` if the shard did not answer.
    pub(crate) answers: Vec<Option<ShardAnswer>>,
    /// Merged records of the shards that other entries sent to, one element for each batch.
    pub(crate) relayed_records: Vec<Bytes>,
    /// Shards to which nothing was sent.
    pub(crate) unsent: Vec<ShardIndex>,
    /// The first shards without an answer, at most [`MAX_LOGGED_SHARDS`]; empty if the run was for another entry.
    pub(crate) missing: Vec<MissingShard>,
    /// The crashes of targets while they ran the request.
    pub(crate) crashes: Vec<NoticedCrash>,
    /// Number of shard groups that were handed to other entries.
    pub(crate) relayed_groups: usize,
    /// Whether any target may have run the request.
    pub(crate) may_have_run: bool,
    /// The last failure response of a target, if there was one.
    pub(crate) failure_answer: Option<HttpAnswer>,
    /// Number of attempts that this entry sent.
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    pub(crate) last_failure: Option<AttemptFailure>,
    pub(crate) work: WorkReport,
}

impl RunOutcome {
    /// Creates the outcome of a run over so many shards before its first attempt.
    pub(crate) fn new(shards: usize, relayed_groups: usize) -> Self {
        Self {
            end: RunEnd::Failed,
            answers: (0..shards).map(|_| None).collect(),
            relayed_records: Vec::new(),
            unsent: Vec::new(),
            missing: Vec::new(),
            crashes: Vec::new(),
            relayed_groups,
            may_have_run: false,
            failure_answer: None,
            attempts: 0,
            hedges: 0,
            last_failure: None,
            work: WorkReport::default(),
        }
    }
}
