//! Messages of the fan-out links, over which an entry delegates a part of a request's shards to another entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::gateway::targets::directory::TargetProcess;
use hickoryspan_core::gateway::targets::poison::TargetCrash;
use hickoryspan_core::sheet::duration_millis;
use hickoryspan_core::types::ServiceId;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// Number of a task, unique on its link.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct TaskNumber(pub(crate) u64);

/// A header of the caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HeaderField {
    name: Arc<str>,
    value: Bytes,
}

/// Shards of a request that the receiver sends to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutTask {
    pub(crate) number: TaskNumber,
    /// Name of the route, under which latencies are recorded.
    pub(crate) route: Arc<str>,
    #[serde(with = "duration_millis")]
    pub(crate) objective: Duration,
    pub(crate) max_attempts: u32,
    pub(crate) method: Arc<str>,
    /// Path and query as the caller sent them.
    pub(crate) target_path: Arc<str>,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Bytes,
    /// The service of each shard.
    pub(crate) shards: Vec<ServiceId>,
    /// Maximum number of records in the merged answer.
    pub(crate) result_limit: usize,
    /// Time within which the first batch must be sent, to show that the receiver is alive.
    #[serde(with = "duration_millis")]
    pub(crate) first_batch_in: Duration,
    /// Time within which all parts received so far must be sent. Later parts are sent one by one.
    #[serde(with = "duration_millis")]
    pub(crate) answer_in: Duration,
    /// Time after which the caller stops waiting.
    #[serde(with = "duration_millis")]
    pub(crate) give_up_in: Duration,
}

/// A message from the entry that has the caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FanoutRequest {
    /// Sends to the shards of a task.
    Run(Box<FanoutTask>),
    /// Cancels a task.
    Cancel(TaskNumber),
    /// The first batch of this task has arrived. The receiver may make all attempts; the sender makes none.
    GrantRetries(TaskNumber),
}

/// A shard that answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutPart {
    /// Index in [`FanoutTask::shards`].
    pub(crate) shard: usize,
    /// The stamp of the target's response.
    pub(crate) stamp: Arc<str>,
}

/// Parts of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutBatch {
    pub(crate) number: TaskNumber,
    /// The shards that answered since the previous batch.
    pub(crate) parts: Vec<FanoutPart>,
    /// The greatest records of these parts, in descending order.
    pub(crate) records: Bytes,
    /// Whether this is the last batch. Shards that have not answered by then will not answer.
    pub(crate) last: bool,
    /// Whether the sender has ended the task because it stops itself; only in the last batch. Unless second attempts were
    /// granted, it has sent to each shard at most once, so that the receiver may send to those without an answer.
    #[serde(default)]
    pub(crate) cut: bool,
    /// Shards to which nothing was sent because the sender knows no usable target; only in the last batch.
    pub(crate) unsent: Vec<usize>,
    /// The crashes of targets while they ran the request; only in the last batch.
    #[serde(default)]
    pub(crate) crashes: Vec<TargetCrash>,
    /// Their number, for entries of versions that do not know `crashes`.
    pub(crate) lost: u32,
    /// The targets of these shards that leave; only in the last batch.
    #[serde(default)]
    pub(crate) leaving: Vec<TargetProcess>,
    /// The shortest queue of each shard's targets in waiting requests per slot; only in the last batch.
    pub(crate) queues: Vec<Option<f32>>,
}

impl FanoutBatch {
    /// Creates a batch without parts.
    pub(crate) fn empty(number: TaskNumber) -> Self {
        Self {
            number,
            parts: Vec::new(),
            records: Bytes::new(),
            last: false,
            cut: false,
            unsent: Vec::new(),
            crashes: Vec::new(),
            lost: 0,
            leaving: Vec::new(),
            queues: Vec::new(),
        }
    }

    /// Creates the only batch of a task of which nothing is sent.
    pub(crate) fn refusal(task: &FanoutTask) -> Self {
        let unsent = (0..task.shards.len()).collect();
        Self { last: true, unsent, ..Self::empty(task.number) }
    }
}

/// A message from the entry that sends to the targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FanoutReply {
    /// Parts of one task.
    Batch(FanoutBatch),
}

/// Converts headers to their form in messages.
pub(crate) fn to_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let to_field = |(name, value): (&HeaderName, &HeaderValue)| HeaderField {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(to_field).collect()
}

/// Converts headers back from their form in messages.
pub(crate) fn from_fields(fields: Vec<HeaderField>) -> anyhow::Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name: HeaderName = field.name.parse()?;
        headers.append(name, HeaderValue::from_maybe_shared(field.value)?);
    }
    Ok(headers)
}
