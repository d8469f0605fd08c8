//! Client accounts: the customers whose callers may send requests, and the keys by which these are recognized
//! (`docs/design/accounts.md`).

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{AccountId, RequestRate, ShareWeight};

/// Separates these digests from other uses of the hash function.
const DIGEST_CONTEXT: &str = "hickoryspan 2026-12-06 key of a client account";

/// Weight of all accounts if none has a quota.
const EVEN_WEIGHT: ShareWeight = ShareWeight(1.0);

/// Digest of a key. Entries know only digests, so that neither their memory nor a message between hosts contains a key.
/// It has no `Display`, because it must not reach logs: short keys could be found from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = blake3::derive_key(DIGEST_CONTEXT, key);
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        Self(u128::from_be_bytes(half))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// How many requests of an account may run, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AccountQuota {
    /// Requests per second.
    pub rate: RequestRate,
    /// Number of requests that may come at once.
    pub burst: f64,
}

impl AccountQuota {
    fn is_valid(&self) -> bool {
        let is_usable = |value: f64| value.is_finite() && value >= 0.0;
        is_usable(self.rate.0) && is_usable(self.burst)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ClientAccount {
    /// Name of the account, which targets learn with each request.
    pub account: AccountId,
    /// Digests of the keys of its callers. Without keys, none of its requests is served.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Quota; `None` if it has no limit.
    pub quota: Option<AccountQuota>,
}

/// The reason why a list of accounts is invalid. It names no key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAccounts {
    /// Two accounts have the same name.
    #[error("account {0}: another account has the same name")]
    DuplicateName(AccountId),
    /// Two accounts have the same key.
    #[error("account {0}: a key also belongs to account {1}")]
    SharedKey(AccountId, AccountId),
    /// The rate or the burst of a quota is negative or not finite.
    #[error("account {0}: the quota is not a rate and a burst of zero or more")]
    InvalidQuota(AccountId),
}

/// Checks the constraints between accounts and returns the first violation.
pub fn check_accounts(accounts: &[ClientAccount]) -> Result<(), InvalidAccounts> {
    let mut names = HashSet::new();
    let mut keys: HashMap<KeyDigest, &AccountId> = HashMap::new();
    for account in accounts {
        let name = &account.account;
        if !names.insert(name) {
            return Err(InvalidAccounts::DuplicateName(name.clone()));
        }
        for key in &account.keys {
            if let Some(other) = keys.insert(*key, name).filter(|other| *other != name) {
                return Err(InvalidAccounts::SharedKey(name.clone(), other.clone()));
            }
        }
        if account.quota.is_some_and(|quota| !quota.is_valid()) {
            return Err(InvalidAccounts::InvalidQuota(name.clone()));
        }
    }
    Ok(())
}

/// Returns the rate of an account's quota. A rate of zero is no share.
fn quota_rate(account: &ClientAccount) -> Option<f64> {
    account.quota.map(|quota| quota.rate.0).filter(|rate| *rate > 0.0)
}

/// The accounts of one document by key.
#[derive(Debug)]
pub struct AccountTable {
    by_key: HashMap<KeyDigest, Arc<ClientAccount>>,
    // Of accounts without a quota.
    default_weight: ShareWeight,
}

impl AccountTable {
    /// Builds the table.
    pub fn new(accounts: &[ClientAccount]) -> Self {
        let mut by_key = HashMap::new();
        for account in accounts {
            let shared = Arc::new(account.clone());
            by_key.extend(account.keys.iter().map(|key| (*key, Arc::clone(&shared))));
        }
        let rates: Vec<f64> = accounts.iter().filter_map(quota_rate).collect();
        let default_weight = match rates.is_empty() {
            true => EVEN_WEIGHT,
            false => ShareWeight(rates.iter().sum::<f64>() / rates.len() as f64),
        };
        Self { by_key, default_weight }
    }

    /// Returns the weight of an account's fair share: the rate of its quota, or the mean of those of the others if it
    /// has none.
    pub fn share_weight(&self, account: &ClientAccount) -> ShareWeight {
        quota_rate(account).map_or(self.default_weight, ShareWeight)
    }

    /// Returns the account that holds a key. A comparison of digests reveals nothing of a key by its duration, since a
    /// caller cannot choose them.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(key)
    }
}
