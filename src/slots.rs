//! Tables of numbered slots. A key holds its slot's generation, so what comes late for a freed slot never
//! hits the slot's next use.

/// Names one use of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    generation: u32,
    index: u32,
}

impl Key {
    /// The key as a number; never under 2^32, and never the same for two uses of one slot.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 32 | u64::from(self.index)
    }

    /// The key that [`Key::number`] gave.
    pub fn from_number(number: u64) -> Self {
        Key { generation: (number >> 32) as u32, index: number as u32 }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

/// A table of slots.
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
    /// Puts a value into a free slot, or a new one.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.1 = Some(value);
            return Key { generation: slot.0, index };
        }
        self.slots.push((1, Some(value)));
        Key { generation: 1, index: (self.slots.len() - 1) as u32 }
    }

    /// The value of this use of the slot, if it is not over.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots.get(key.index as usize).filter(|slot| slot.0 == key.generation)?.1.as_ref()
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots.get_mut(key.index as usize).filter(|slot| slot.0 == key.generation)?.1.as_mut()
    }

    /// Ends this use of the slot.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize).filter(|slot| slot.0 == key.generation)?;
        let value = slot.1.take()?;
        if slot.0 < u32::MAX {
            slot.0 += 1; // a slot whose generations are used up stays empty for good
            self.free.push(key.index);
        }
        Some(value)
    }

    /// Slots in use.
    pub fn len(&self) -> usize {
        self.slots.iter().filter(|slot| slot.1.is_some()).count()
    }

    /// Whether no slot is in use.
    pub fn is_empty(&self) -> bool {
        self.slots.iter().all(|slot| slot.1.is_none())
    }

    /// The slots in use, by index.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, (generation, value))| {
            Some((Key { generation: *generation, index: index as u32 }, value.as_ref()?))
        })
    }
}

#[cfg(test)]
mod tests;
