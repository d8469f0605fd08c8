//! Messages of the fan-out links, over which one entry asks another one to send a part of a request's sub-requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryspan_core::sheet::duration_millis;
use hickoryspan_core::types::ServiceId;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// Numbers the tasks of one link.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub(crate) struct TaskNumber(pub(crate) u64);

/// One header of the caller's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HeaderField {
    name: Arc<str>,
    value: Bytes,
}

/// Some shards of a request, to be sent by the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutTask {
    pub(crate) number: TaskNumber,
    /// The route's name, under which latencies are learned.
    pub(crate) route: Arc<str>,
    #[serde(with = "duration_millis")]
    pub(crate) objective: Duration,
    pub(crate) max_attempts: u32,
    pub(crate) method: Arc<str>,
    /// Path and query as the caller sent them.
    pub(crate) target_path: Arc<str>,
    pub(crate) headers: Vec<HeaderField>,
    pub(crate) body: Bytes,
    /// One service for each shard.
    pub(crate) shards: Vec<ServiceId>,
    /// The most records of the whole answer.
    pub(crate) result_limit: usize,
    /// Time until something must be sent back, which shows that the receiver is alive.
    #[serde(with = "duration_millis")]
    pub(crate) first_batch_in: Duration,
    /// Time until the parts that are in must be sent back; later ones follow one by one.
    #[serde(with = "duration_millis")]
    pub(crate) answer_in: Duration,
    /// Time until the caller gives up.
    #[serde(with = "duration_millis")]
    pub(crate) give_up_in: Duration,
}

/// What the entry that has the request sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FanoutRequest {
    /// Sends to these shards.
    Run(Box<FanoutTask>),
    /// Nothing more is wanted of this task.
    Cancel(TaskNumber),
}

/// A part that is in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutPart {
    /// Position in the task's list of shards.
    pub(crate) shard: usize,
    /// The stamp of the target's answer.
    pub(crate) stamp: Arc<str>,
}

/// Parts of one task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct FanoutBatch {
    pub(crate) number: TaskNumber,
    /// The parts that came in since the last batch.
    pub(crate) parts: Vec<FanoutPart>,
    /// The greatest records of these parts, greatest first.
    pub(crate) records: Bytes,
    /// Nothing follows; the parts that have not come will not come.
    pub(crate) last: bool,
    /// Shards to which nothing was sent, in the last batch: the sender knows no target of them.
    pub(crate) unsent: Vec<usize>,
    /// Targets that were lost with the request, among runs that no target answered.
    pub(crate) lost: u32,
    /// The shortest queue of each shard in waiting requests per slot, in the last batch.
    pub(crate) queues: Vec<Option<f32>>,
}

impl FanoutBatch {
    /// A batch without parts.
    pub(crate) fn empty(number: TaskNumber) -> Self {
        Self {
            number,
            parts: Vec::new(),
            records: Bytes::new(),
            last: false,
            unsent: Vec::new(),
            lost: 0,
            queues: Vec::new(),
        }
    }
}

/// What the entry that sends to targets answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FanoutReply {
    /// Parts of one task.
    Batch(FanoutBatch),
}

/// The headers as they travel.
pub(crate) fn to_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let to_field = |(name, value): (&HeaderName, &HeaderValue)| HeaderField {
        name: name.as_str().into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    };
    headers.iter().map(to_field).collect()
}

/// The headers as they were sent.
pub(crate) fn from_fields(fields: Vec<HeaderField>) -> anyhow::Result<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name: HeaderName = field.name.parse()?;
        headers.append(name, HeaderValue::from_maybe_shared(field.value)?);
    }
    Ok(headers)
}
