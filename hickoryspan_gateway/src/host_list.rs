//! The addresses of control hosts: the seeds from the settings, and the addresses that the hosts report.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

/// Directory addresses of control hosts. Clones share one list.
#[derive(Clone, Debug)]
pub struct HostList {
    hosts: Arc<watch::Sender<BTreeSet<SocketAddr>>>,
}

impl HostList {
    /// Creates a list that contains the seeds.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { hosts: Arc::new(watch::Sender::new(seeds.into_iter().collect())) }
    }

    /// Adds addresses and notifies subscribers if any of them is new.
    pub fn add(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        self.hosts.send_if_modified(|hosts| {
            let before = hosts.len();
            hosts.extend(addresses);
            hosts.len() > before
        });
    }

    /// Removes the address of a host that has not been reachable for a long time.
    pub fn remove(&self, address: SocketAddr) {
        self.hosts.send_if_modified(|hosts| hosts.remove(&address));
    }

    /// Returns a receiver that is notified of changes.
    pub fn subscribe(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.hosts.subscribe()
    }
}
