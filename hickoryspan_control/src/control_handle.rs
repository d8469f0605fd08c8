//! Access to a running control replica for the interfaces of other crates.

use std::sync::Arc;

use hickoryspan_core::control::interface::{AdminQuery, ControlEvent, ControlReply, ReplicaRecord};
use hickoryspan_core::control::machine::ControlMachine;
use hickoryspan_core::gateway::documents::document::ConfigurationDocument;
use hickoryspan_core::gateway::targets::evacuations::{EvacuationOrder, EvacuationState};
use tokio::sync::watch;

use crate::actor::ControlInbox;

/// The state of a replica that is known locally, without confirmation by a quorum.
#[derive(Clone, Debug, Default)]
pub struct ControlView {
    /// The configuration document that this replica has applied.
    pub document: Option<Arc<ConfigurationDocument>>,
    /// The leader; `None` while this replica is not in contact with one.
    pub leader: Option<ReplicaRecord>,
    /// All replicas of the set.
    pub replicas: Vec<ReplicaRecord>,
    /// The evacuated failure domains; `None` until this replica has caught up with a leader.
    pub evacuations: Option<EvacuationState>,
}

impl ControlView {
    /// Updates the view from the state machine. Returns true if anything changed.
    pub(crate) fn update_from(&mut self, machine: &ControlMachine) -> bool {
        let mut changed = false;
        let document = machine.state().document();
        let version = |document: &Arc<ConfigurationDocument>| document.version;
        if document.map(version) != self.document.as_ref().map(version) {
            self.document = document.cloned();
            changed = true;
        }
        let evacuations = machine.state().evacuations();
        if machine.raft().has_caught_up() && self.evacuations.as_ref() != Some(evacuations) {
            self.evacuations = Some(evacuations.clone());
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
            self.log_replicas();
            changed = true;
        }
        changed
    }

    fn log_replicas(&self) {
        let names = |voter: bool| {
            let records = self.replicas.iter().filter(|record| record.voter == voter);
            let names: Vec<String> = records
                .map(|record| format!("{}@{}", record.replica, record.peer_address))
                .collect();
            if names.is_empty() { "-".to_owned() } else { names.join(" ") }
        };
        spdlog::info!(
            "replica set changed",
            kv: { voters: = names(true), learners: = names(false) }
        );
    }
}

/// Handle for requests to a running control replica.
#[derive(Clone)]
pub struct ControlHandle {
    pub(crate) inbox: ControlInbox,
    pub(crate) views: watch::Receiver<ControlView>,
}

impl ControlHandle {
    /// Submits a document. The reply is `DocumentDecided`, `NotLeader` or `Unavailable`. Returns `None` if too many
    /// events are waiting or the replica stops.
    pub async fn replace_document(
        &self,
        document: Arc<ConfigurationDocument>,
    ) -> Option<ControlReply> {
        self.inbox.ask(|token| ControlEvent::ReplaceDocument(token, document)).await
    }

    /// Reads the newest document, confirmed by a quorum. Returns `None` as [`Self::replace_document`] does.
    pub async fn read_document(&self) -> Option<ControlReply> {
        self.inbox.ask(|token| ControlEvent::Query(token, AdminQuery::Document)).await
    }

    /// Orders to start or finish the evacuation of a failure domain. The reply is `Evacuated`, `NotLeader` or
    /// `Unavailable`. Returns `None` as [`Self::replace_document`] does.
    pub async fn evacuate(&self, order: EvacuationOrder) -> Option<ControlReply> {
        self.inbox.ask(|token| ControlEvent::Evacuate(token, order)).await
    }

    /// Passes on the report of a control host. It is dropped if too many events are waiting.
    pub fn note_replica(&self, record: ReplicaRecord) {
        self.inbox.try_deliver(ControlEvent::ReplicaSeen(Box::new(record)));
    }

    /// Subscribes to changes of the replica's view.
    pub fn views(&self) -> watch::Receiver<ControlView> {
        self.views.clone()
    }
}
