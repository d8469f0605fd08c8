//! The addresses of control hosts: seeds from the settings, and what the hosts say of each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

/// Addresses where control hosts take directory links; clones share it.
#[derive(Clone, Debug)]
pub struct HostList {
    hosts: Arc<watch::Sender<BTreeSet<SocketAddr>>>,
}

impl HostList {
    /// A list that starts with the seeds.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self { hosts: Arc::new(watch::Sender::new(seeds.into_iter().collect())) }
    }

    /// Adds addresses.
    pub fn add(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        self.hosts.send_if_modified(|hosts| {
            let before = hosts.len();
            hosts.extend(addresses);
            hosts.len() > before
        });
    }

    /// Drops an address that did not answer for long.
    pub fn remove(&self, address: SocketAddr) {
        self.hosts.send_if_modified(|hosts| hosts.remove(&address));
    }

    /// Follows the list.
    pub fn subscribe(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.hosts.subscribe()
    }
}
