//! When changes are told: what must not wait at once, the rest together once it has become quiet.

use crate::interface::Micros;

/// How soon a change has to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing has changed.
    None,
    /// It may wait for others: a server that came, a weight, delegates.
    Soon,
    /// It may not: a drain, a removal, a purge.
    Now,
}

/// Gathers changes. A pure state machine on passed-in time.
#[derive(Debug)]
pub struct Debounce {
    quiet: Micros,
    most: Micros,
    /// The first change that waits, and the last one.
    waits: Option<(Micros, Micros)>,
}

impl Debounce {
    /// Tells changes that may wait once nothing came for `quiet`, and `most` after the first one at the latest, us.
    pub fn new(quiet: Micros, most: Micros) -> Self {
        Debounce { quiet, most, waits: None }
    }

    /// A change came. Gives whether all that waits is to be told now.
    pub fn changed(&mut self, now: Micros, urgency: Urgency) -> bool {
        match urgency {
            Urgency::None => false,
            Urgency::Now => {
                self.waits = None;
                true
            }
            Urgency::Soon => {
                let first = self.waits.map_or(now, |(first, _)| first);
                self.waits = Some((first, now));
                self.ripe(now)
            }
        }
    }

    /// When what waits is to be told, if anything does.
    pub fn due(&self) -> Option<Micros> {
        self.waits.map(|(first, last)| (last + self.quiet).min(first + self.most))
    }

    /// Whether what waits is to be told by now; it then no longer waits.
    pub fn ripe(&mut self, now: Micros) -> bool {
        let ripe = self.due().is_some_and(|due| due <= now);
        if ripe {
            self.waits = None;
        }
        ripe
    }
}

#[cfg(test)]
mod tests;
