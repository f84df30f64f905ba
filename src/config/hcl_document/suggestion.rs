//! Texts for names that are not known.

use std::collections::BTreeSet;

/// Known names that a text lists at most.
const MAX_LISTED_NAMES: usize = 12;

/// A text that a name is not known, with the closest one that is (by edit distance, `strsim`), or some of them.
pub fn unknown_name<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: BTreeSet<&str> = known.collect();
    let max_distance = 1 + name.len() / 3;
    let closest = known.iter().map(|known| (strsim::damerau_levenshtein(known, name), *known)).min();
    match closest.filter(|(distance, _)| *distance <= max_distance) {
        Some((_, closest)) => format!("no {what} {name:?}; did you mean {closest:?}?"),
        None if known.is_empty() => format!("no {what} {name:?}; there is none"),
        None => {
            let list = known.iter().take(MAX_LISTED_NAMES).copied().collect::<Vec<_>>().join(", ");
            let more = if known.len() > MAX_LISTED_NAMES { ", ..." } else { "" };
            format!("no {what} {name:?}; there are {list}{more}")
        }
    }
}
