//! Tables of numbered slots. A key holds its slot's generation, so a late event for a removed value never
//! affects the next value in the same slot.

/// Identifies one value in a table: its slot and the generation of the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    generation: u32,
    index: u32,
}

impl Key {
    /// Returns the key as a number, which is at least 2^32 and differs for each value in the same slot.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// Returns the key whose [`Key::number`] is `number`.
    pub fn from_number(number: u64) -> Self {
        Key { generation: (number >> 32) as u32, index: number as u32 }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

/// A table whose values are found by [`Key`].
pub struct Slots<T> {
    slots: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { slots: Vec::new(), free: Vec::new() }
    }
}

impl<T> Slots<T> {
    /// Puts a value into a free slot, or into a new one, and returns its key.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.1 = Some(value);
            return Key { generation: slot.0, index };
        }
        self.slots.push((1, Some(value)));
        Key { generation: 1, index: (self.slots.len() - 1) as u32 }
    }

    /// Returns the value of a key; `None` if it was removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots.get(key.index as usize).filter(|slot| slot.0 == key.generation)?.1.as_ref()
    }

    /// Returns the value of a key for changes; `None` if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots.get_mut(key.index as usize).filter(|slot| slot.0 == key.generation)?.1.as_mut()
    }

    /// Removes and returns the value of a key; `None` if it was removed before.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.0 == key.generation)?;
        let value = slot.1.take()?;
        if slot.0 < u32::MAX {
            slot.0 += 1; // a slot with no generation left is never used again
            self.free.push(key.index);
        }
        Some(value)
    }

    /// Returns the number of values, by a scan of all slots.
    pub fn len(&self) -> usize {
        self.slots.iter().filter(|slot| slot.1.is_some()).count()
    }

    /// Whether the table has no value.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(|slot| slot.1.is_none())
    }

    /// Iterates over the values with their keys, in the order of the slots.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, (generation, value))| {
            Some((Key { generation: *generation, index: index as u32 }, value.as_ref()?))
        })
    }
}

#[cfg(test)]
mod tests;
