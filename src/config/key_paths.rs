//! The keys of a configuration, by which an incompletely written file is recognised.

use serde_json::Value;
use std::collections::BTreeSet;

/// Keys that a complete configuration may lack.
const OPTIONAL_KEYS: [&str; 3] = ["admin", "known", "aim_stretch"];

/// Returns the paths of all keys that are not optional, such as `limits.sockets`. Of a list, only the keys that all its
/// objects have are returned.
pub(super) fn key_paths(value: &Value) -> BTreeSet<String> {
    match value {
        Value::Object(map) => {
            let required = map.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
            required.flat_map(|(key, value)| paths_from(key, value)).collect()
        }
        Value::Array(list) => {
            let in_all = list.iter().map(key_paths).reduce(|in_all, paths| &in_all & &paths);
            in_all.unwrap_or_default()
        }
        _ => BTreeSet::new(),
    }
}

/// Returns the path of a key, and the paths below it.
fn paths_from(key: &str, value: &Value) -> BTreeSet<String> {
    let mut paths: BTreeSet<String> =
        key_paths(value).into_iter().map(|path| format!("{key}.{path}")).collect();
    paths.insert(key.to_owned());
    paths
}

#[cfg(test)]
mod tests;
