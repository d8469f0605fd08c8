//! The view in force at this entry, and what it says about a caller's request.

use std::time::Duration;

use crate::membership::{MembershipView, ServiceKey, ViewChange};
use crate::sheet::{CallerSpec, ClassSpec, ServiceKind, ShardScope, TenantSheet};
use crate::types::{ClassId, CostUnits, MonotonicTime, RevisionNumber, StateDigest, TenantId};

use super::interface::{CallerRequest, RequestKind, ResponseReason};

/// Settings of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationSettings {
    /// Time between two requests for the whole view, so that a burst of unfit deltas costs one transfer.
    pub resync_interval: Duration,
    /// Shortest deadline with which a request is started; a shorter one cannot cover one round trip.
    pub min_deadline: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            resync_interval: Duration::from_secs(1),
            // Twice the one-way latency between failure domains of the larger site, plus processing.
            min_deadline: Duration::from_millis(4),
        }
    }
}

/// What a message did to the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewUpdate {
    /// The message is older than the view, or repeats it.
    Unchanged,
    /// A newer view is in force.
    Changed,
    /// The changes do not fit; the whole view is needed.
    ResyncNeeded,
    /// The message claims to be the newest state, but is older than the view.
    Regressed,
}

/// A request with the parts of the sheet that apply to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest {
    /// The service that runs it.
    pub service: ServiceKey,
    /// How the service divides its data.
    pub kind: ServiceKind,
    /// The shards that it may span.
    pub scope: ShardScope,
    /// The cost of one sub-request.
    pub weight: CostUnits,
    /// The class that applies.
    pub class: ClassId,
    /// That class.
    pub class_spec: ClassSpec,
    /// The caller's limit.
    pub caller_spec: CallerSpec,
    /// Time until the response must be given.
    pub deadline: Duration,
}

/// Holds the view; its revision never decreases.
#[derive(Debug)]
pub struct ViewConfiguration {
    settings: ConfigurationSettings,
    view: MembershipView,
    confirmed: bool,
    resync_asked: Option<MonotonicTime>,
    lagging: bool,
}

impl ViewConfiguration {
    /// A configuration without a view.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self {
            settings,
            view: MembershipView::default(),
            confirmed: false,
            resync_asked: None,
            lagging: false,
        }
    }

    /// The view in force.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// The revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.view.revision
    }

    /// Takes over a whole view if it is newer.
    pub fn replace(&mut self, view: MembershipView) -> ViewUpdate {
        if self.confirmed && view.revision < self.view.revision {
            return ViewUpdate::Regressed;
        }
        if self.confirmed && view.revision == self.view.revision {
            return ViewUpdate::Unchanged;
        }
        self.confirmed = true;
        self.resync_asked = None;
        self.view = view;
        ViewUpdate::Changed
    }

    /// Applies changes that start exactly at the revision in force and lead to the stated digest.
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

    /// Whether the whole view should be asked for now; repeated questions are spaced.
    pub fn may_resync(&mut self, now: MonotonicTime) -> bool {
        let recent =
            self.resync_asked.is_some_and(|at| now.since(at) < self.settings.resync_interval);
        if !recent {
            self.resync_asked = Some(now);
        }
        !recent
    }

    /// Compares the view with the newest committed revision; true if it lags for the second time in a
    /// row, because a delta then got lost rather than being on its way.
    pub fn lags_behind(&mut self, committed: RevisionNumber) -> bool {
        let lags = committed > self.view.revision;
        let repeated = lags && self.lagging;
        self.lagging = lags;
        repeated
    }

    /// Finds what the sheet says about a request, and its deadline.
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

    /// Finds the class and the deadline of a lookup, which names no search.
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

    /// The tenant and class of a request, if the sheet has its tenant.
    pub fn metric_names(&self, request: &CallerRequest) -> Option<(TenantId, ClassId)> {
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
