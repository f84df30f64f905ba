//! Reads the rules of an `expect` block.

use super::read_selectors;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Located};
use crate::expect::expectation::{Answer, Rule};
use crate::expect::selector::Selector;
use crate::expect::site::Site;

/// The highest rank of a cached copy.
const MAX_RANK: u64 = 3;

/// Builds a rule from the value of its key.
type MakeRule<T> = fn(T) -> Rule;

/// The rules about sets of servers, by key.
const SERVER_RULES: [(&str, MakeRule<Vec<Selector>>); 4] = [
    ("goes_to", Rule::GoesTo),
    ("never_goes_to", Rule::NeverGoesTo),
    ("fills_from", Rule::FillsFrom),
    ("never_fill_from", Rule::NeverFillFrom),
];

/// The key, allowed range and constructor of a rule whose value is a whole number.
struct CountRule {
    key: &'static str,
    min: u64,
    max: u64,
    rule: MakeRule<u64>,
}

const COUNT_RULES: [CountRule; 4] = [
    CountRule { key: "attempts_at_most", min: 1, max: 255, rule: Rule::MaxAttempts },
    CountRule { key: "caches_at_most", min: 1, max: 100_000, rule: Rule::MaxCaches },
    CountRule { key: "rank_at_least", min: 0, max: MAX_RANK, rule: Rule::MinRank },
    CountRule { key: "rank_at_most", min: 0, max: MAX_RANK, rule: Rule::MaxRank },
];

/// The rules about shares, from 0 to 1, by key.
const SHARE_RULES: [(&str, MakeRule<f64>); 2] =
    [("share_at_most", Rule::MaxHomeShare), ("moves_at_most", Rule::MaxMigratedShare)];

/// Reads all rules of a block, and returns them in the file's order.
pub(super) fn read(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
    site: &Site,
) -> Result<Vec<Located<Rule>>, HclError> {
    let mut rules = Vec::new();
    for (key, rule) in SERVER_RULES {
        if let Some(at) = reader.position_of(key) {
            let value = rule(read_selectors(doc, reader, site, key)?);
            rules.push(Located { value, at });
        }
    }
    for CountRule { key, min, max, rule } in COUNT_RULES {
        let count = reader.integer(key, min, max)?;
        rules.extend(count.map(|count| Located { value: rule(count.value), at: count.at }));
    }
    for (key, rule) in SHARE_RULES {
        let share = reader.number(key, 0.0, 1.0)?;
        rules.extend(share.map(|share| Located { value: rule(share.value), at: share.at }));
    }
    rules.extend(read_answer(doc, reader)?);
    rules.extend(read_acyclic(doc, reader)?);
    rules.sort_by_key(|rule| rule.at);
    Ok(rules)
}

fn read_answer(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
) -> Result<Option<Located<Rule>>, HclError> {
    let Some(name) = reader.string("answer")? else { return Ok(None) };
    let mut answers = [Answer::Served, Answer::Rejected, Answer::Failed].into_iter();
    let answer = answers.find(|answer| answer.name() == name.value);
    let answer = answer.ok_or_else(|| {
        doc.error(name.at, format!("answer must be served, refused or failed, not {:?}", name.value))
    })?;
    Ok(Some(Located { value: Rule::Answer(answer), at: name.at }))
}

fn read_acyclic(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
) -> Result<Option<Located<Rule>>, HclError> {
    match reader.boolean("acyclic")? {
        None => Ok(None),
        Some(flag) if flag.value => Ok(Some(Located { value: Rule::Acyclic, at: flag.at })),
        Some(flag) => Err(doc.error(flag.at, "acyclic must be true; leave it out to allow cycles")),
    }
}
