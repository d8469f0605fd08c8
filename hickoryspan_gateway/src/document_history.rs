//! The latest documents of a control host, and the changes from them that entries need.

use std::collections::VecDeque;
use std::sync::Arc;

use hickoryspan_core::gateway::documents::document::{ConfigurationDocument, DocumentVersion};
use hickoryspan_core::gateway::documents::document_change::DocumentChange;
use hickoryspan_core::gateway::documents::document_parts::{DocumentPart, encode_parts};

/// Number of documents kept at most, so that an entry receives only the changes since the one it has.
const MAX_DOCUMENTS: usize = 16;

/// The encoded form of a change, cached because many entries need the same change.
struct EncodedChange {
    base: Option<DocumentVersion>,
    version: DocumentVersion,
    parts: Vec<Arc<DocumentPart>>,
}

/// The latest documents, in the order in which they became active.
pub(crate) struct DocumentHistory {
    /// Bytes that the documents may have together as operators sent them. The active one is kept in any case.
    max_bytes: usize,
    // Sorted by version; the last one is active.
    documents: VecDeque<Arc<ConfigurationDocument>>,
    last_change: Option<EncodedChange>,
}

impl DocumentHistory {
    /// Creates a history of this many bytes at most, without a document.
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { max_bytes, documents: VecDeque::new(), last_change: None }
    }

    /// Activates a document. Returns false if it is not newer than the active one.
    pub(crate) fn push(&mut self, document: Arc<ConfigurationDocument>) -> bool {
        if self.version().is_some_and(|current| current >= document.version) {
            return false;
        }
        self.documents.push_back(document);
        while self.documents.len() > 1
            && (self.documents.len() > MAX_DOCUMENTS || self.bytes() > self.max_bytes)
        {
            self.documents.pop_front();
        }
        true
    }

    fn bytes(&self) -> usize {
        self.documents.iter().map(|document| document.source.len()).sum()
    }

    /// Returns the version of the active document.
    pub(crate) fn version(&self) -> Option<DocumentVersion> {
        self.documents.back().map(|document| document.version)
    }

    /// Returns the change from version `held` to the active document, in parts. Consecutive calls usually request
    /// the same change, which is then encoded only once.
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
