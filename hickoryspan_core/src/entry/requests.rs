//! Requests that the entry machine has accepted and not yet answered.

use crate::membership::ServiceKey;
use crate::messages::ClaimKey;
use crate::types::{ClassId, CostUnits, MonotonicTime, RequestFingerprint};

use super::configuration::ResolvedRequest;
use super::interface::{CallerRequest, CallerResponse, RequestKind};
use super::limits::LimitKey;
use super::orders::OrderRequest;
use super::plan::{FanoutMode, SearchPlan};

/// A request that is not answered yet.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) limit: LimitKey,
    pub(super) class: ClassId,
    pub(super) arrival: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    /// Whether tenant and class are names of the sheet, and may become labels of metrics.
    pub(super) is_measured: bool,
    pub(super) work: ActiveWork,
}

impl ActiveRequest {
    pub(super) fn is_search(&self) -> bool {
        matches!(&self.work, ActiveWork::Paid(paid) if matches!(paid.plan, WorkPlan::Search(_)))
    }
}

#[derive(Debug)]
pub(super) enum ActiveWork {
    /// Passed the limit; waits for admission, runs, or shares the run of an equal order.
    Paid(Box<PaidWork>),
    /// A refused order; control is asked whether an earlier request with its key ran.
    Refused(Box<CallerResponse>),
    /// A lookup, or a request that is refused at once.
    Unpaid,
}

/// Work whose cost was taken from the caller's limit.
#[derive(Debug)]
pub(super) struct PaidWork {
    pub(super) plan: WorkPlan,
    pub(super) cost: CostUnits,
    /// When admission started it; none while it waits, and for orders that share another's run.
    pub(super) started: Option<MonotonicTime>,
}

/// An order's key and content.
#[derive(Clone, Debug)]
pub(super) struct OrderContent {
    pub(super) key: ClaimKey,
    pub(super) fingerprint: RequestFingerprint,
}

#[derive(Clone, Debug)]
pub(super) enum WorkPlan {
    Search(SearchPlan),
    Order(OrderRequest),
}

impl WorkPlan {
    pub(super) fn fingerprint(&self) -> &RequestFingerprint {
        match self {
            Self::Search(plan) => &plan.fingerprint,
            Self::Order(order) => &order.fingerprint,
        }
    }

    pub(super) fn to_order_content(&self) -> Option<OrderContent> {
        match self {
            Self::Search(_) => None,
            Self::Order(order) => {
                Some(OrderContent { key: order.key.clone(), fingerprint: order.fingerprint })
            }
        }
    }

    pub(super) fn service(&self) -> &ServiceKey {
        match self {
            Self::Search(plan) => &plan.service,
            Self::Order(order) => &order.service,
        }
    }
}

/// The work that a search or order asks for.
pub(super) fn make_plan(
    request: &CallerRequest,
    resolved: ResolvedRequest,
    deadline: MonotonicTime,
) -> WorkPlan {
    match &request.kind {
        RequestKind::Order { request: id, issued_at } => WorkPlan::Order(OrderRequest {
            key: ClaimKey {
                tenant: request.tenant.clone(),
                caller: request.caller.clone(),
                request: id.clone(),
                issued_at: *issued_at,
            },
            fingerprint: request.fingerprint,
            service: resolved.service,
            deadline,
        }),
        RequestKind::Search { .. } | RequestKind::Lookup { .. } => WorkPlan::Search(SearchPlan {
            service: resolved.service,
            kind: resolved.kind,
            scope: resolved.scope,
            pinned: match request.kind {
                RequestKind::Search { pinned } => pinned,
                _ => None,
            },
            fingerprint: request.fingerprint,
            deadline,
            policy: resolved.class_spec.policy,
            coverage_floor: resolved.class_spec.coverage_floor,
            mode: FanoutMode::Normal,
        }),
    }
}
