//! Error texts for unknown names.

use std::collections::BTreeSet;

/// Maximum number of known names that a text lists.
const MAX_LISTED_NAMES: usize = 12;

/// Returns an error text for an unknown name. It suggests the closest known name by edit distance; if none is close
/// enough, it lists some of the known names.
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
