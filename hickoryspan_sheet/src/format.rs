//! Keywords of the file format: column names, row kinds and enumerated values.

use hickoryspan_core::sheet::{CompletionPolicy, ServiceKind};

/// Format version that the reader accepts and the writer produces.
pub(crate) const FORMAT_VERSION: u32 = 1;
pub(crate) const HEADER_KEYWORD: &str = "sheet";
pub(crate) const CLOSING_KEYWORD: &str = "end";
pub(crate) const DIGEST_PREFIX: &str = "digest:";
/// Value of the shards column that stands for all shards of the snapshot.
pub(crate) const ALL_SHARDS: &str = "all";
pub(crate) const DELIMITERS: [char; 3] = [';', ',', '\t'];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SheetColumn {
    Kind,
    Tenant,
    Name,
    Service,
    Targets,
    Shards,
    Weight,
    Rate,
    Burst,
    Priority,
    Deadline,
    Policy,
    CoverageFloor,
    Note,
}

pub(crate) const COLUMNS: [(&str, SheetColumn); 14] = [
    ("kind", SheetColumn::Kind),
    ("tenant", SheetColumn::Tenant),
    ("name", SheetColumn::Name),
    ("service", SheetColumn::Service),
    ("targets", SheetColumn::Targets),
    ("shards", SheetColumn::Shards),
    ("weight", SheetColumn::Weight),
    ("rate", SheetColumn::Rate),
    ("burst", SheetColumn::Burst),
    ("priority", SheetColumn::Priority),
    ("deadline_ms", SheetColumn::Deadline),
    ("policy", SheetColumn::Policy),
    ("coverage_floor", SheetColumn::CoverageFloor),
    ("note", SheetColumn::Note),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RowKind {
    Service,
    Search,
    Order,
    Caller,
    Class,
}

impl RowKind {
    /// Columns used by rows of this kind, in addition to kind, tenant, name and note.
    pub(crate) fn columns(self) -> &'static [SheetColumn] {
        match self {
            Self::Service => &[SheetColumn::Targets],
            Self::Search | Self::Order => {
                &[SheetColumn::Service, SheetColumn::Shards, SheetColumn::Weight]
            }
            Self::Caller => &[SheetColumn::Rate, SheetColumn::Burst],
            Self::Class => &[
                SheetColumn::Priority,
                SheetColumn::Deadline,
                SheetColumn::Policy,
                SheetColumn::CoverageFloor,
            ],
        }
    }
}

pub(crate) const ROW_KINDS: [(&str, RowKind); 5] = [
    ("service", RowKind::Service),
    ("search", RowKind::Search),
    ("order", RowKind::Order),
    ("caller", RowKind::Caller),
    ("class", RowKind::Class),
];

pub(crate) const SERVICE_KINDS: [(&str, ServiceKind); 2] =
    [("sharded", ServiceKind::Sharded), ("single", ServiceKind::Single)];

pub(crate) const POLICIES: [(&str, CompletionPolicy); 2] = [
    ("deadline_first", CompletionPolicy::DeadlineFirst),
    ("coverage_first", CompletionPolicy::CoverageFirst),
];

/// Looks up a value by its name. Ignores case, because spreadsheets capitalize first letters.
pub(crate) fn value_of<T: Copy>(table: &[(&str, T)], name: &str) -> Option<T> {
    table.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
}

pub(crate) fn name_of<T: PartialEq>(table: &[(&'static str, T)], value: T) -> &'static str {
    table.iter().find(|(_, known)| *known == value).map_or("", |(name, _)| name)
}

/// Joins the names of a table with commas, to list the accepted values in a fault.
pub(crate) fn list_names<T>(table: &[(&str, T)]) -> String {
    table.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}
