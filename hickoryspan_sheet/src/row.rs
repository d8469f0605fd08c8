//! Parses a row between the column names and the closing row.

use std::time::Duration;

use hickoryspan_core::sheet::{CallerSpec, ClassSpec, SearchSpec, ServiceSpec, TenantSheet};
use hickoryspan_core::types::{
    CallerId, ClassId, CostRate, CostUnits, CoverageShare, SearchId, ServiceId, TenantId,
};

use crate::cells::RowCells;
use crate::fault::{FaultKind, SheetPosition, quote};
use crate::format::{POLICIES, ROW_KINDS, RowKind, SERVICE_KINDS, SheetColumn};
use crate::rules::{SheetRules, ValueRange};

const PRIORITY_RANGE: ValueRange = ValueRange { min: 0.0, max: u8::MAX as f64 };
const COVERAGE_RANGE: ValueRange = ValueRange { min: 0.0, max: 1.0 };

/// Namespace of row names. Searches and orders share one, because callers refer to both in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RowNamespace {
    Services,
    Searches,
    Callers,
    Classes,
}

/// Unique key of a row. A second row with the same key is a duplicate or a contradiction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RowKey {
    pub(crate) tenant: TenantId,
    pub(crate) namespace: RowNamespace,
    pub(crate) name: Box<str>,
}

/// Parsed content of a valid row.
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

/// A row whose key could be parsed. Other cells may have faults.
pub(crate) struct SheetRow {
    pub(crate) position: SheetPosition,
    pub(crate) key: RowKey,
    /// `None` if a cell has a fault.
    pub(crate) spec: Option<RowSpec>,
    /// Service that a search or order refers to, and the position of the reference.
    pub(crate) service: Option<(ServiceId, SheetPosition)>,
}

/// Parses a row. Returns `None` if its kind or tenant is missing or malformed, or its name is blank.
pub(crate) fn read_row(cells: &mut RowCells<'_>, rules: &SheetRules) -> Option<SheetRow> {
    let kind = cells.named_value(SheetColumn::Kind, &ROW_KINDS, FaultKind::UnknownKind);
    let tenant = read_tenant(cells, rules);
    let Some(kind) = kind else {
        cells.identifier::<SearchId>(SheetColumn::Name);
        return None;
    };
    let mut service = None;
    let (namespace, spec) = match kind {
        RowKind::Service => (RowNamespace::Services, read_service(cells)),
        RowKind::Search | RowKind::Order => {
            let id = cells.identifier::<ServiceId>(SheetColumn::Service);
            let service_cell = cells.cell(SheetColumn::Service);
            service = id.zip(service_cell.map(|(_, position)| position));
            let service_id = service.as_ref().map(|(id, _)| id.clone());
            (RowNamespace::Searches, read_search(cells, kind, service_id, rules))
        }
        RowKind::Caller => (RowNamespace::Callers, read_caller(cells, rules)),
        RowKind::Class => (RowNamespace::Classes, read_class(cells, rules)),
    };
    cells.check_unused(kind);
    let (name, position) = cells.cell(SheetColumn::Name)?;
    let key = RowKey { tenant: tenant?, namespace, name: name.into() };
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

// The functions below parse all cells before they use `?`, so that all faults of a row are reported at once.

fn read_service(cells: &mut RowCells<'_>) -> Option<RowSpec> {
    let id = cells.identifier(SheetColumn::Name);
    let kind = cells.named_value(SheetColumn::Targets, &SERVICE_KINDS, FaultKind::MalformedValue);
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
    let policy = cells.named_value(SheetColumn::Policy, &POLICIES, FaultKind::MalformedValue);
    let coverage = cells.number(SheetColumn::CoverageFloor, COVERAGE_RANGE);
    let spec = ClassSpec {
        priority: u8::try_from(priority?).ok()?,
        deadline: Duration::from_millis(deadline?),
        policy: policy?,
        coverage_floor: CoverageShare::new(coverage?),
    };
    Some(RowSpec::Class(id?, spec))
}
