//! Names that occur in the file: columns, kinds of rows and fixed values.

use hickoryspan_core::sheet::{CompletionPolicy, ServiceKind};

/// Version of the format that the reader accepts and the writer writes.
pub(crate) const FORMAT_VERSION: u32 = 1;
pub(crate) const HEADER_WORD: &str = "sheet";
pub(crate) const CLOSING_WORD: &str = "end";
pub(crate) const DIGEST_PREFIX: &str = "digest:";
/// Value of the shards column for every shard of the snapshot.
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
    /// Columns that a row of this kind fills, besides kind, tenant, name and note.
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

pub(crate) const KINDS: [(&str, RowKind); 5] = [
    ("service", RowKind::Service),
    ("search", RowKind::Search),
    ("order", RowKind::Order),
    ("caller", RowKind::Caller),
    ("class", RowKind::Class),
];

pub(crate) const TARGETS: [(&str, ServiceKind); 2] =
    [("sharded", ServiceKind::Sharded), ("single", ServiceKind::Single)];

pub(crate) const POLICIES: [(&str, CompletionPolicy); 2] = [
    ("deadline_first", CompletionPolicy::DeadlineFirst),
    ("coverage_first", CompletionPolicy::CoverageFirst),
];

/// The value with a name; letter case is ignored, because spreadsheets capitalize first letters.
pub(crate) fn value_of<T: Copy>(table: &[(&str, T)], name: &str) -> Option<T> {
    table.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
}

pub(crate) fn name_of<T: PartialEq>(table: &[(&'static str, T)], value: T) -> &'static str {
    table.iter().find(|(_, known)| *known == value).map_or("", |(name, _)| name)
}

/// The accepted names as text for a fault.
pub(crate) fn list_names<T>(table: &[(&str, T)]) -> String {
    table.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}
