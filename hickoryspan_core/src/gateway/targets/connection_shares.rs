//! Divides the connections that an entry may have among its targets.
//!
//! Under a crowd of requests that one service never answers, that service could otherwise take all of them, and requests
//! for other targets would wait behind it. So one connection to each target is kept free as long as it has none.

use std::collections::HashMap;

use crate::types::TargetId;

/// The number of open connections to each target that this entry knows.
#[derive(Clone, Debug)]
pub struct ConnectionShares {
    max_connections: usize,
    open: HashMap<TargetId, usize>,
    total: usize,
}

impl ConnectionShares {
    /// Creates the shares of an entry that may have this many connections to all targets together.
    pub fn new(max_connections: usize) -> Self {
        Self { max_connections, open: HashMap::new(), total: 0 }
    }

    /// Notes that a connection to the target is opened, if there may be another one.
    pub fn try_open(&mut self, target: &TargetId) -> bool {
        // A target that nothing was sent to before is known from now on.
        let own = *self.open.entry(target.clone()).or_default();
        let free = self.max_connections.saturating_sub(self.total);
        // Mostly there is plenty, and the targets without a connection need not be counted.
        let has_plenty = free > self.open.len();
        let kept = if has_plenty || own == 0 { 0 } else { self.count_without() };
        if free <= kept {
            return false;
        }
        self.open.insert(target.clone(), own + 1);
        self.total += 1;
        true
    }

    /// Returns the number of known targets without a connection. With more targets than connections none is kept free,
    /// since it could not be for all.
    fn count_without(&self) -> usize {
        if self.open.len() > self.max_connections {
            return 0;
        }
        self.open.values().filter(|open| **open == 0).count()
    }

    /// Notes that a connection to the target has closed.
    pub fn close(&mut self, target: &TargetId) {
        let Some(open) = self.open.get_mut(target).filter(|open| **open > 0) else { return };
        *open -= 1;
        self.total -= 1;
    }

    /// Forgets targets that are not wanted any more and have no connection.
    pub fn retain(&mut self, is_wanted: impl Fn(&TargetId) -> bool) {
        self.open.retain(|target, open| *open > 0 || is_wanted(target));
    }

    /// Returns the number of open connections.
    pub fn total(&self) -> usize {
        self.total
    }
}
