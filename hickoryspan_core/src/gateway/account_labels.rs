//! Bounds the number of accounts that appear as labels of metrics.

use std::collections::HashSet;

use crate::types::AccountId;

/// Number of accounts with a label of their own in one process. The first to send requests are mostly those that send
/// many.
const MAX_ACCOUNTS: usize = 64;
/// Label that all other accounts share. Names of accounts contain no parentheses.
const OTHER_ACCOUNTS: &str = "(other)";

/// The accounts that have a label of their own.
#[derive(Clone, Debug, Default)]
pub struct AccountLabels {
    known: HashSet<AccountId>,
}

impl AccountLabels {
    /// Returns the label for the requests of an account.
    pub fn label<'a>(&mut self, account: &'a AccountId) -> &'a str {
        if self.known.contains(account) {
            return account.as_str();
        }
        if self.known.len() >= MAX_ACCOUNTS {
            return OTHER_ACCOUNTS;
        }
        self.known.insert(account.clone());
        account.as_str()
    }
}
