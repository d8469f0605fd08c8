//! The membership view in force at this entry, and the resolution of callers' requests against its sheet.

use std::time::Duration;

use crate::membership::{MembershipView, ServiceKey, ViewChange};
use crate::sheet::{CallerSpec, ClassSpec, ServiceKind, ShardScope, TenantSheet};
use crate::types::{ClassId, CostUnits, MonotonicTime, RevisionNumber, StateDigest, TenantId};

use super::interface::{CallerRequest, RequestKind, ResponseReason};

/// Settings of the configuration view.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Minimum time between two requests for the whole view, so that a burst of deltas that do not apply costs one
    /// transfer.
    pub resync_interval: Duration,
    /// Minimum deadline of a request. A shorter one does not cover a round trip.
    pub min_deadline: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            resync_interval: Duration::from_secs(1),
            // Twice the one-way latency between failure domains of the larger site, plus processing time.
            min_deadline: Duration::from_millis(4),
        }
    }
}

/// Effect of a message from control on the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// The message is not newer than the view.
    Unchanged,
    /// A newer view came into force.
    Changed,
    /// The changes do not apply to the view, so the whole view must be requested.
    ResyncNeeded,
    /// The whole view that control sent is older than the view in force.
    Regressed,
}

/// Parts of the sheet that apply to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest {
    /// Service that runs the request.
    pub service: ServiceKey,
    /// Partitioning of the service's data.
    pub kind: ServiceKind,
    /// Shards that the request may span.
    pub scope: ShardScope,
    /// Cost of one sub-request.
    pub weight: CostUnits,
    /// Class that applies to the request.
    pub class: ClassId,
    /// Specification of that class.
    pub class_spec: ClassSpec,
    /// Rate limit of the caller.
    pub caller_spec: CallerSpec,
    /// Time left until the caller must get a response.
    pub deadline: Duration,
}

/// Stores the view in force. Its revision never decreases.
#[derive(Debug)]
pub struct ViewConfiguration {
    settings: ConfigurationSettings,
    view: MembershipView,
    /// Whether a view was received from control.
    confirmed: bool,
    /// Time of the last request for the whole view.
    resync_requested: Option<MonotonicTime>,
    /// Whether the view was older than the committed revision at the last comparison.
    was_lagging: bool,
}

impl ViewConfiguration {
    /// Creates a configuration without a view.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self {
            settings,
            view: MembershipView::default(),
            confirmed: false,
            resync_requested: None,
            was_lagging: false,
        }
    }

    /// Returns the view in force.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.view.revision
    }

    /// Replaces the view if the given one is newer.
    pub fn replace(&mut self, view: MembershipView) -> ViewUpdate {
        if self.confirmed && view.revision < self.view.revision {
            return ViewUpdate::Regressed;
        }
        if self.confirmed && view.revision == self.view.revision {
            return ViewUpdate::Unchanged;
        }
        self.confirmed = true;
        self.resync_requested = None;
        self.view = view;
        ViewUpdate::Changed
    }

    /// Applies changes if they start at the revision in force and result in the stated digest.
    pub fn apply(
        &mut self,
        from: RevisionNumber,
        to: RevisionNumber,
        changes: Vec<ViewChange>,
        digest: StateDigest,
    ) -> ViewUpdate {
        if self.confirmed && to <= self.view.revision {
            return ViewUpdate::Unchanged;
        }
        if !self.confirmed || from != self.view.revision {
            return ViewUpdate::ResyncNeeded;
        }
        if self.view.digest_after(&changes) != digest {
            return ViewUpdate::ResyncNeeded;
        }
        self.view.apply(to, changes);
        ViewUpdate::Changed
    }

    /// Returns whether the whole view may be requested now, and counts the request. Limits the rate of requests.
    pub fn may_resync(&mut self, now: MonotonicTime) -> bool {
        let recent =
            self.resync_requested.is_some_and(|at| now.since(at) < self.settings.resync_interval);
        if !recent {
            self.resync_requested = Some(now);
        }
        !recent
    }

    /// Returns whether the view was older than the committed revision in two calls in a row. A delta has then
    /// been lost and is not just in flight.
    pub fn lags_behind(&mut self, committed: RevisionNumber) -> bool {
        let lags = committed > self.view.revision;
        let repeated = lags && self.was_lagging;
        self.was_lagging = lags;
        repeated
    }

    /// Resolves a search or order against the sheet, or returns the reason to refuse it.
    pub fn resolve(&self, request: &CallerRequest) -> Result<ResolvedRequest, ResponseReason> {
        let sheet = self.view.sheet.as_ref().ok_or(ResponseReason::NoConfiguration)?;
        let tenant = sheet.tenants.get(&request.tenant).ok_or(ResponseReason::UnknownName)?;
        let caller = tenant.callers.get(&request.caller).ok_or(ResponseReason::UnknownName)?;
        let search = tenant.searches.get(&request.search).ok_or(ResponseReason::UnknownName)?;
        let is_order = matches!(request.kind, RequestKind::Order { .. });
        if search.idempotent == is_order {
            return Err(ResponseReason::UnknownName);
        }
        let service = tenant.services.get(&search.service).ok_or(ResponseReason::UnknownName)?;
        let (class, class_spec) = find_class(tenant, &request.class)?;
        Ok(ResolvedRequest {
            service: ServiceKey { tenant: request.tenant.clone(), service: search.service.clone() },
            kind: service.kind,
            scope: search.scope.clone(),
            weight: search.weight,
            class: class.clone(),
            class_spec: class_spec.clone(),
            caller_spec: caller.clone(),
            deadline: self.cap_deadline(request.deadline, class_spec)?,
        })
    }

    /// Resolves the class and deadline of a lookup, which names no search.
    pub fn resolve_lookup(
        &self,
        request: &CallerRequest,
    ) -> Result<(ClassId, Duration), ResponseReason> {
        let sheet = self.view.sheet.as_ref().ok_or(ResponseReason::NoConfiguration)?;
        let tenant = sheet.tenants.get(&request.tenant).ok_or(ResponseReason::UnknownName)?;
        if !tenant.callers.contains_key(&request.caller) {
            return Err(ResponseReason::UnknownName);
        }
        let (class, class_spec) = find_class(tenant, &request.class)?;
        Ok((class.clone(), self.cap_deadline(request.deadline, class_spec)?))
    }

    /// Returns the tenant and class to use as metric labels, or `None` if the sheet lacks the tenant.
    pub fn metric_labels(&self, request: &CallerRequest) -> Option<(TenantId, ClassId)> {
        let tenant = self.view.sheet.as_ref()?.tenants.get(&request.tenant)?;
        let (class, _) = find_class(tenant, &request.class).ok()?;
        Some((request.tenant.clone(), class.clone()))
    }

    fn cap_deadline(
        &self,
        stated: Option<Duration>,
        class: &ClassSpec,
    ) -> Result<Duration, ResponseReason> {
        let deadline = stated.map_or(class.deadline, |stated| stated.min(class.deadline));
        if deadline.is_zero() || deadline < self.settings.min_deadline {
            return Err(ResponseReason::Deadline);
        }
        Ok(deadline)
    }
}

fn find_class<'a>(
    tenant: &'a TenantSheet,
    class: &ClassId,
) -> Result<(&'a ClassId, &'a ClassSpec), ResponseReason> {
    tenant
        .classes
        .get_key_value(class)
        .or_else(|| tenant.classes.iter().min_by_key(|(_, spec)| spec.priority))
        .ok_or(ResponseReason::UnknownName)
}
