//! Newtypes for identifiers, sizes, rates and times that are shared between modules.

mod identifier;
mod key_range;
mod quantity;
mod time;

pub use identifier::{
    AccountId, AttemptId, CallerId, ClassId, CommandId, ConnectionId, EntryId, FailureDomain,
    IncarnationNumber, OperatorId, OrdinalNumber, QueryToken, ReplicaId, RequestFingerprint,
    RequestId, RevisionNumber, SearchId, ServiceId, ShardId, SheetNumber, SnapshotVersion,
    StateDigest, TargetId, TenantId, TermNumber,
};
pub use key_range::KeyRange;
pub use quantity::{
    ByteCount, ConnectionCount, CostRate, CostUnits, CoverageShare, DocumentCount, ParseValueError,
    RequestRate, ShareWeight, SlotCount,
};
pub use time::{ClockReading, MonotonicTime, WallTime};
