//! Requests that the entry machine has received and not yet answered.

use crate::membership::ServiceKey;
use crate::messages::ClaimKey;
use crate::types::{ClassId, CostUnits, MonotonicTime, RequestFingerprint};

use super::configuration::ResolvedRequest;
use super::interface::{CallerRequest, CallerResponse, RequestKind};
use super::limits::LimitKey;
use super::orders::OrderRequest;
use super::plan::{FanoutMode, SearchPlan};

/// A request that has not been answered.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) limit: LimitKey,
    pub(super) class: ClassId,
    pub(super) arrival: MonotonicTime,
    pub(super) deadline: MonotonicTime,
    /// Whether tenant and class are names in the sheet, so that they may be used as metric labels.
    pub(super) is_measured: bool,
    pub(super) work: ActiveWork,
}

impl ActiveRequest {
    pub(super) fn is_search(&self) -> bool {
        matches!(&self.work, ActiveWork::Charged(charged) if matches!(charged.plan, WorkPlan::Search(_)))
    }
}

#[derive(Debug)]
pub(super) enum ActiveWork {
    /// Charged to the caller's limit. Waits for admission, runs, or waits for an order with the same key.
    Charged(Box<ChargedWork>),
    /// A refused order that waits for control's answer whether an earlier request with its key ran.
    Refused(Box<CallerResponse>),
    /// A lookup, or a request that has not been charged.
    Uncharged,
}

/// Work whose cost was charged to the caller's limit.
#[derive(Debug)]
pub(super) struct ChargedWork {
    pub(super) plan: WorkPlan,
    pub(super) cost: CostUnits,
    /// Time at which admission control started the work. `None` while it waits, and for an order that joined a
    /// known one with its key.
    pub(super) started: Option<MonotonicTime>,
}

/// Key of an order and fingerprint of its content.
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

/// Creates the plan for a resolved search or order.
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
