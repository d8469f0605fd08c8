//! Arena whose keys are never reused, so that events of an ended attempt find nothing.

use crate::types::{AttemptId, ConnectionId};

/// Bits of a key that hold the slot index. They allow 16 million values at the same time, more than
/// any process has.
const INDEX_BITS: u32 = 24;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// Key of an arena. The key with all bits zero is never returned.
pub(super) trait ArenaKey: Copy + Eq {
    /// Creates a key from its bits.
    fn from_bits(bits: u64) -> Self;
    /// Returns the bits of the key.
    fn to_bits(self) -> u64;
}

/// Identifies a query inside the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct QueryKey(pub u64);

impl ArenaKey for QueryKey {
    fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    fn to_bits(self) -> u64 {
        self.0
    }
}

impl ArenaKey for AttemptId {
    fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    fn to_bits(self) -> u64 {
        self.0
    }
}

impl ArenaKey for ConnectionId {
    fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    fn to_bits(self) -> u64 {
        self.0
    }
}

#[derive(Debug)]
struct Slot<T> {
    generation: u64,
    value: Option<T>,
}

/// Generational arena. A key consists of a slot index and the generation of the slot.
#[derive(Debug)]
pub(super) struct GenerationalArena<K, T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
    len: usize,
    key: std::marker::PhantomData<K>,
}

impl<K, T> Default for GenerationalArena<K, T> {
    fn default() -> Self {
        Self { slots: Vec::new(), free: Vec::new(), len: 0, key: std::marker::PhantomData }
    }
}

impl<K: ArenaKey, T> GenerationalArena<K, T> {
    /// Stores a value and returns its new key.
    pub fn insert(&mut self, value: T) -> K {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, value: None });
            u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
        });
        let slot = &mut self.slots[index as usize];
        slot.generation += 1;
        slot.value = Some(value);
        self.len += 1;
        K::from_bits(slot.generation << INDEX_BITS | u64::from(index))
    }

    /// Returns the value of a key, or `None` if it was removed.
    pub fn get(&self, key: K) -> Option<&T> {
        let bits = key.to_bits();
        let slot = self.slots.get((bits & INDEX_MASK) as usize)?;
        if slot.generation == bits >> INDEX_BITS { slot.value.as_ref() } else { None }
    }

    /// Returns the value of a key, or `None` if it was removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let bits = key.to_bits();
        let slot = self.slots.get_mut((bits & INDEX_MASK) as usize)?;
        if slot.generation == bits >> INDEX_BITS { slot.value.as_mut() } else { None }
    }

    /// Removes and returns the value of a key. The key is not used again.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let bits = key.to_bits();
        let index = bits & INDEX_MASK;
        let slot = self.slots.get_mut(index as usize)?;
        if slot.generation != bits >> INDEX_BITS {
            return None;
        }
        let value = slot.value.take()?;
        self.free.push(index as u32);
        self.len -= 1;
        Some(value)
    }

    /// Returns the number of stored values.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the keys of all stored values in slot order, which is arbitrary.
    pub fn keys(&self) -> Vec<K> {
        let bits = |(index, slot): (usize, &Slot<T>)| {
            slot.value.as_ref()?;
            Some(K::from_bits(slot.generation << INDEX_BITS | index as u64))
        };
        self.slots.iter().enumerate().filter_map(bits).collect()
    }
}
