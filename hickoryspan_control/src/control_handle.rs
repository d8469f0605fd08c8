//! What other crates may ask of a running control replica, for interfaces of their own.

use std::sync::Arc;

use hickoryspan_core::control::interface::{AdminQuery, ControlEvent, ControlReply, ReplicaRecord};
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::gateway::document::ConfigurationDocument;
use tokio::sync::watch;

use crate::actor::ControlInbox;

/// What a replica knows without asking a quorum.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// The configuration document that is applied here.
    pub document: Option<Arc<ConfigurationDocument>>,
    /// The leader, while one is heard.
    pub leader: Option<ReplicaRecord>,
    /// The replicas.
    pub replicas: Vec<ReplicaRecord>,
}

impl ControlView {
    /// Follows the machine; true if something changed.
    pub(crate) fn follow(&mut self, machine: &ControlMachine) -> bool {
        let mut changed = false;
        let document = machine.state().document();
        let version = |document: &Arc<ConfigurationDocument>| document.version;
        if document.map(version) != self.document.as_ref().map(version) {
            self.document = document.cloned();
            changed = true;
        }
        let leader = machine.raft().leader_record();
        if leader != self.leader.as_ref() {
            self.leader = leader.cloned();
            changed = true;
        }
        let set = machine.raft().replica_set().0;
        if !set.records().eq(self.replicas.iter()) {
            self.replicas = set.records().cloned().collect();
            changed = true;
        }
        changed
    }
}

/// Reaches a running control replica.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) inbox: ControlInbox,
    pub(crate) views: watch::Receiver<ControlView>,
}

impl ControlHandle {
    /// Submits a document; the reply is `DocumentDecided`, `NotLeader` or `Unavailable`. Nothing is returned if the
    /// replica stops.
    pub async fn replace_document(
        &self,
        document: Arc<ConfigurationDocument>,
    ) -> Option<ControlReply> {
        self.inbox.ask(|token| ControlEvent::ReplaceDocument(token, document)).await
    }

    /// Reads the newest document, confirmed by a quorum.
    pub async fn read_document(&self) -> Option<ControlReply> {
        self.inbox.ask(|token| ControlEvent::Query(token, AdminQuery::Document)).await
    }

    /// Passes on that a control host reported itself.
    pub fn note_replica(&self, record: ReplicaRecord) {
        self.inbox.try_deliver(ControlEvent::ReplicaSeen(Box::new(record)));
    }

    /// Follows what the replica knows.
    pub fn views(&self) -> watch::Receiver<ControlView> {
        self.views.clone()
    }
}
