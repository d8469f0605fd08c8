//! The last documents of a control host, and what entries need that have an earlier one.

use std::collections::VecDeque;
use std::sync::Arc;

use hickoryspan_core::gateway::document::{ConfigurationDocument, DocumentVersion};
use hickoryspan_core::gateway::document_change::DocumentChange;
use hickoryspan_core::gateway::document_parts::{DocumentPart, encode_parts};

/// Documents that are kept so that an entry gets only what changed since the one it has.
const MAX_DOCUMENTS: usize = 16;

/// A change that was encoded for an entry, and that others are about to need too.
struct EncodedChange {
    base: Option<DocumentVersion>,
    version: DocumentVersion,
    parts: Vec<Arc<DocumentPart>>,
}

/// Documents in the order in which they came into force.
#[derive(Default)]
pub(crate) struct DocumentHistory {
    // The newest is the last one.
    documents: VecDeque<Arc<ConfigurationDocument>>,
    last_change: Option<EncodedChange>,
}

impl DocumentHistory {
    /// Takes a document; false if it is not newer than the one in force.
    pub(crate) fn push(&mut self, document: Arc<ConfigurationDocument>) -> bool {
        if self.version().is_some_and(|current| current >= document.version) {
            return false;
        }
        self.documents.push_back(document);
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
        true
    }

    /// The version in force.
    pub(crate) fn version(&self) -> Option<DocumentVersion> {
        self.documents.back().map(|document| document.version)
    }

    /// What an entry needs that has the version `held`; all entries of one moment need the same.
    pub(crate) fn change_since(&mut self, held: Option<DocumentVersion>) -> Vec<Arc<DocumentPart>> {
        let Some(next) = self.documents.back() else { return Vec::new() };
        let base = self.documents.iter().find(|document| Some(document.version) == held);
        let base_version = base.map(|document| document.version);
        if let Some(change) = &self.last_change
            && change.version == next.version
            && change.base == base_version
        {
            return change.parts.clone();
        }
        let change = DocumentChange::between(base.map(Arc::as_ref), next);
        let parts = match encode_parts(&change) {
            Ok(parts) => parts.into_iter().map(Arc::new).collect(),
            Err(error) => {
                spdlog::error!("{}", error);
                Vec::new()
            }
        };
        let change = EncodedChange { base: base_version, version: next.version, parts };
        self.last_change.insert(change).parts.clone()
    }
}
