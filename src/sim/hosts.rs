//! The other end of the line protocol in the simulator: table caches, parents and the origin. They hold copies, fill
//! misses, and answer when the world says it is time. What they are asked is reported to the rules.

use crate::interface::{Instant, Span};
use std::collections::BTreeMap;

/// What a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A table cache.
    Cache,
    /// A parent at the hub.
    Parent,
    /// The origin.
    Origin,
}

/// A request as a host got it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fetch {
    /// Its id: the client's trace.
    pub id: String,
    /// The class.
    pub class: String,
    /// Object and part.
    pub item: (String, u32),
    /// Who fills a miss.
    pub from: Option<String>,
    /// The oldest copy that will do; 0: any.
    pub oldest: Span,
    /// The rank at which the copy is kept.
    pub rank: u32,
    /// The source gives only what it holds.
    pub peek: bool,
}

/// A line that a host got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A request.
    Fetch(Fetch),
    /// A request is given up.
    Abort(String),
    /// A probe.
    Probe(String),
}

/// Takes whole lines, with the bodies behind them, out of what has come.
///
/// # Errors
///
/// What is no line of the protocol.
pub fn lines(input: &mut Vec<u8>) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    while let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") {
        let text = std::str::from_utf8(&input[..end]).map_err(|_| "not UTF-8".to_owned())?;
        let words: Vec<&str> = text.split(' ').collect();
        let (line, used) = match words[..] {
            ["fetch", id, fields, length] => {
                let length: usize = length.parse().map_err(|_| format!("no length: {text}"))?;
                let used = end + 2 + length + 2;
                if input.len() < used {
                    break;
                }
                if &input[used - 2..used] != b"\r\n" {
                    return Err(format!("no end behind the body: {text}"));
                }
                (Line::Fetch(fetch(id, fields)?), used)
            }
            ["abort", id] => (Line::Abort(id.to_owned()), end + 2),
            ["stats" | "alive", tag] => (Line::Probe(tag.to_owned()), end + 2),
            _ => return Err(format!("no line of the protocol: {text}")),
        };
        lines.push(line);
        input.drain(..used);
    }
    Ok(lines)
}

fn fetch(id: &str, fields: &str) -> Result<Fetch, String> {
    let mut fetch = Fetch { id: id.to_owned(), ..Fetch::default() };
    for (name, value) in fields.split(',').filter_map(|pair| pair.split_once('=')) {
        let number = || value.parse::<i64>().map_err(|_| format!("{name} is no number in {fields}"));
        match name {
            "cls" => fetch.class = value.to_owned(),
            "item" => fetch.item.0 = value.to_owned(),
            "chunk" => fetch.item.1 = number()? as u32,
            "from" => fetch.from = Some(value.to_owned()),
            "oldest" => fetch.oldest = Span::from_millis(number()?),
            "rank" => fetch.rank = number()? as u32,
            "mode" => fetch.peek = value.split('+').any(|word| word == "peek"),
            _ => {}
        }
    }
    Ok(fetch)
}

/// A host.
#[derive(Debug)]
pub struct Host {
    /// What its link bears, in full-pace answers, whatever the list tells.
    pub link: f64,
    /// Its name in the list.
    pub name: String,
    /// What it is.
    pub tier: Tier,
    /// Its entry in the list.
    pub entry: serde_json::Value,
    /// Copies by object and part: when the origin gave them out.
    pub copies: BTreeMap<(String, u32), Instant>,
    /// What has come on each connection and is no whole line yet, and when its first byte was sent.
    pub links: BTreeMap<u64, (Vec<u8>, Instant)>,
    /// Requests that are open, by connection and id.
    pub open: BTreeMap<(u64, String), Fetch>,
    /// Takes so many times as long until then.
    pub slow: (i64, Instant),
    /// Answers with errors until then.
    pub errors: Instant,
    /// The next answer can't be read.
    pub garbled: bool,
    /// The next answer comes twice.
    pub twice: bool,
    /// Its process is not there.
    pub dead: bool,
    /// Its last start, if that is one of this run.
    pub born: Option<Instant>,
    /// What was sent to it of late while it was cold.
    pub sends: Vec<Instant>,
}

impl Host {
    /// A warm host.
    pub fn new(name: &str, tier: Tier, entry: serde_json::Value) -> Self {
        Host {
            link: entry["share"].as_f64().unwrap_or(1.0),
            name: name.to_owned(),
            tier,
            entry,
            copies: BTreeMap::new(),
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            slow: (1, Instant::ZERO),
            errors: Instant::ZERO,
            garbled: false,
            twice: false,
            dead: false,
            born: None,
            sends: Vec::new(),
        }
    }

    /// Whether it holds a copy that will do.
    pub fn holds(&self, fetch: &Fetch, now: Instant) -> Option<Instant> {
        let born = *self.copies.get(&fetch.item)?;
        (fetch.oldest == Span::ZERO || now - born <= fetch.oldest).then_some(born)
    }
}

/// The hosts of a point: its caches, the parents of its hub, and last the origin.
#[derive(Debug, Default)]
pub struct Fleet {
    /// By number.
    pub hosts: Vec<Host>,
    /// Answers tell only how a served request came about.
    pub sparse_notes: bool,
}

impl Fleet {
    /// The number of a host by its name.
    pub fn named(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == name)
    }

    /// What a host answers now: the word, the fields, the bytes. Copies that a fill makes are kept.
    pub fn outcome(
        &mut self,
        number: usize,
        fetch: &Fetch,
        now: Instant,
        is_there: &dyn Fn(&Fleet, usize) -> bool,
    ) -> (&'static str, String, Vec<u8>) {
        let (word, fields, body) = self.detailed_outcome(number, fetch, now, is_there);
        let fields = if self.sparse_notes { sparse(&fields) } else { fields };
        (word, fields, body)
    }

    /// The answer with all that it can tell.
    fn detailed_outcome(
        &mut self,
        number: usize,
        fetch: &Fetch,
        now: Instant,
        is_there: &dyn Fn(&Fleet, usize) -> bool,
    ) -> (&'static str, String, Vec<u8>) {
        let bare = |word, tell: &str| (word, format!("tell={tell},waited=0"), Vec::new());
        if self.hosts[number].errors > now {
            return ("500", String::new(), Vec::new());
        }
        let source = fetch.from.as_ref().and_then(|from| self.named(from));
        let origin = self.hosts.len() - 1;
        if fetch.class == "result" {
            let runs = match source {
                _ if self.hosts[number].tier != Tier::Cache => is_there(self, origin),
                Some(source) => {
                    is_there(self, source) && self.hosts[source].errors <= now && is_there(self, origin)
                }
                None => return bare("404", "not_there"),
            };
            return match runs {
                true => {
                    ("200", "tell=pulled_far,waited=10".into(), format!("done:{};", fetch.id).into_bytes())
                }
                false => bare("500", "cut_off"),
            };
        }
        if let Some(born) = self.hosts[number].holds(fetch, now) {
            return copy("local", fetch, born);
        }
        let far = |fleet: &mut Self, through: Option<usize>| {
            if !is_there(fleet, origin) || fleet.hosts[origin].errors > now {
                return bare("500", "far_fault");
            }
            let born = now - Span::from_millis(1);
            for host in [Some(number), through].into_iter().flatten().filter(|host| *host != origin) {
                fleet.hosts[host].copies.insert(fetch.item.clone(), born);
            }
            copy("pulled_far", fetch, born)
        };
        match (self.hosts[number].tier, source) {
            (Tier::Origin, _) => copy("local", fetch, now - Span::from_millis(1)),
            (Tier::Parent, _) if fetch.peek => bare("404", "not_there"),
            (Tier::Parent, _) => far(self, None),
            (Tier::Cache, None) => bare("404", "not_there"),
            (Tier::Cache, Some(source)) if !is_there(self, source) || self.hosts[source].errors > now => {
                bare("500", "cut_off")
            }
            (Tier::Cache, Some(source)) => match self.hosts[source].holds(fetch, now) {
                Some(born) => {
                    self.hosts[number].copies.insert(fetch.item.clone(), born);
                    copy("pulled", fetch, born)
                }
                None if self.hosts[source].tier == Tier::Cache || fetch.peek => bare("404", "not_there"),
                None => far(self, Some(source)),
            },
        }
    }
}

/// An answer's fields where notes tell only how a served request came about: failures and waits are left out.
fn sparse(fields: &str) -> String {
    let kept = fields.split(',').filter_map(|field| match field {
        "tell=pulled_far" => Some("tell=pulled"),
        "tell=local" | "tell=pulled" => Some(field),
        _ if field.starts_with("tell=") || field.starts_with("waited=") => None,
        _ => Some(field),
    });
    kept.collect::<Vec<_>>().join(",")
}

/// An answer with a copy: its bytes say what it is and when the origin gave it out.
fn copy(tell: &str, fetch: &Fetch, born: Instant) -> (&'static str, String, Vec<u8>) {
    let (item, part) = &fetch.item;
    let born_us = born.as_micros();
    let mut body = format!("{item}:{part}:{born_us};").into_bytes();
    let long = u64::from_str_radix(item, 16).unwrap_or(0).wrapping_mul(2_654_435_761) % 20_000;
    body.resize(body.len() + 100 + long as usize, b'.');
    let waited = if tell == "local" { 0 } else { 10 };
    ("200", format!("ver=v{born_us},born={},tell={tell},waited={waited}", born_us / 1000), body)
}

/// An answer's bytes on the wire.
pub fn answer(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let fields = if fields.is_empty() { "-" } else { fields };
    let head = format!("{id} {word} {fields} {}\r\n", body.len());
    let tail: &[u8] = if body.is_empty() { b"" } else { b"\r\n" };
    [head.as_bytes(), body, tail].concat()
}

#[cfg(test)]
mod tests;
