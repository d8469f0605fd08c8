//! Reads one row between the column names and the closing row.

use std::time::Duration;

use hickoryspan_core::sheet::{CallerSpec, ClassSpec, SearchSpec, ServiceSpec, TenantSheet};
use hickoryspan_core::types::{
    CallerId, ClassId, CostRate, CostUnits, CoverageShare, SearchId, ServiceId, TenantId,
};

use crate::cells::RowCells;
use crate::fault::{FaultKind, SheetPosition, quote};
use crate::format::{KINDS, POLICIES, RowKind, SheetColumn, TARGETS};
use crate::rules::{SheetRules, ValueRange};

const PRIORITY_RANGE: ValueRange = ValueRange { smallest: 0.0, largest: u8::MAX as f64 };
const COVERAGE_RANGE: ValueRange = ValueRange { smallest: 0.0, largest: 1.0 };

/// Names share one space per group; searches and orders are one group, because callers name both alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NameGroup {
    Services,
    Searches,
    Callers,
    Classes,
}

/// What identifies a row; a second row with the same key is a duplicate or a contradiction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowKey {
    pub(crate) tenant: TenantId,
    pub(crate) group: NameGroup,
    pub(crate) name: Box<str>,
}

/// The content of a row without faults.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RowSpec {
    Service(ServiceId, ServiceSpec),
    Search(SearchId, SearchSpec),
    Caller(CallerId, CallerSpec),
    Class(ClassId, ClassSpec),
}

impl RowSpec {
    pub(crate) fn add_to(self, sheet: &mut TenantSheet) {
        match self {
            Self::Service(id, spec) => drop(sheet.services.insert(id, spec)),
            Self::Search(id, spec) => drop(sheet.searches.insert(id, spec)),
            Self::Caller(id, spec) => drop(sheet.callers.insert(id, spec)),
            Self::Class(id, spec) => drop(sheet.classes.insert(id, spec)),
        }
    }
}

/// One row with as much as could be read.
pub(crate) struct SheetRow {
    pub(crate) position: SheetPosition,
    pub(crate) key: RowKey,
    /// `None` if a cell has a fault.
    pub(crate) spec: Option<RowSpec>,
    /// The service that a search or order names.
    pub(crate) service: Option<(ServiceId, SheetPosition)>,
}

/// Reads a row; `None` if it has no usable kind, tenant or name.
pub(crate) fn read_row(cells: &mut RowCells<'_>, rules: &SheetRules) -> Option<SheetRow> {
    let kind = cells.named(SheetColumn::Kind, &KINDS, FaultKind::UnknownKind);
    let tenant = read_tenant(cells, rules);
    let Some(kind) = kind else {
        cells.identifier::<SearchId>(SheetColumn::Name);
        return None;
    };
    let mut service = None;
    let (group, spec) = match kind {
        RowKind::Service => (NameGroup::Services, read_service(cells)),
        RowKind::Search | RowKind::Order => {
            let id = cells.identifier::<ServiceId>(SheetColumn::Service);
            let place = cells.cell(SheetColumn::Service);
            service = id.zip(place.map(|(_, position)| position));
            let service_id = service.as_ref().map(|(id, _)| id.clone());
            (NameGroup::Searches, read_search(cells, kind, service_id, rules))
        }
        RowKind::Caller => (NameGroup::Callers, read_caller(cells, rules)),
        RowKind::Class => (NameGroup::Classes, read_class(cells, rules)),
    };
    cells.check_unused(kind);
    let (name, position) = cells.cell(SheetColumn::Name)?;
    let key = RowKey { tenant: tenant?, group, name: name.into() };
    if name.is_empty() {
        return None;
    }
    Some(SheetRow { position, key, spec, service })
}

fn read_tenant(cells: &mut RowCells<'_>, rules: &SheetRules) -> Option<TenantId> {
    let tenant: TenantId = cells.identifier(SheetColumn::Tenant)?;
    if !rules.accept_other_tenants && !rules.required_tenants.contains(&tenant) {
        let (text, position) = cells.cell(SheetColumn::Tenant)?;
        let names: Vec<&str> = rules.required_tenants.iter().map(TenantId::as_str).collect();
        let accepted = format!("one of {}", names.join(", "));
        cells.faults.push(position, FaultKind::UnknownTenant, quote(text), accepted);
    }
    Some(tenant)
}

// The readers below read every cell before they use `?`, so that one run reports all faults of a row.

fn read_service(cells: &mut RowCells<'_>) -> Option<RowSpec> {
    let id = cells.identifier(SheetColumn::Name);
    let kind = cells.named(SheetColumn::Targets, &TARGETS, FaultKind::MalformedValue);
    Some(RowSpec::Service(id?, ServiceSpec { kind: kind? }))
}

fn read_search(
    cells: &mut RowCells<'_>,
    kind: RowKind,
    service: Option<ServiceId>,
    rules: &SheetRules,
) -> Option<RowSpec> {
    let id = cells.identifier(SheetColumn::Name);
    let scope = cells.shards(SheetColumn::Shards);
    let weight = cells.number(SheetColumn::Weight, rules.limits.weight);
    let spec = SearchSpec {
        service: service?,
        scope: scope?,
        weight: CostUnits(weight?),
        idempotent: kind == RowKind::Search,
    };
    Some(RowSpec::Search(id?, spec))
}

fn read_caller(cells: &mut RowCells<'_>, rules: &SheetRules) -> Option<RowSpec> {
    let id = cells.identifier(SheetColumn::Name);
    let rate = cells.number(SheetColumn::Rate, rules.limits.rate);
    let burst = cells.number(SheetColumn::Burst, rules.limits.burst);
    Some(RowSpec::Caller(id?, CallerSpec { rate: CostRate(rate?), burst: CostUnits(burst?) }))
}

fn read_class(cells: &mut RowCells<'_>, rules: &SheetRules) -> Option<RowSpec> {
    let id = cells.identifier(SheetColumn::Name);
    let priority = cells.whole_number(SheetColumn::Priority, PRIORITY_RANGE);
    let deadline = cells.whole_number(SheetColumn::Deadline, rules.limits.deadline);
    let policy = cells.named(SheetColumn::Policy, &POLICIES, FaultKind::MalformedValue);
    let coverage = cells.number(SheetColumn::CoverageFloor, COVERAGE_RANGE);
    let spec = ClassSpec {
        priority: u8::try_from(priority?).ok()?,
        deadline: Duration::from_millis(deadline?),
        policy: policy?,
        coverage_floor: CoverageShare::new(coverage?),
    };
    Some(RowSpec::Class(id?, spec))
}
