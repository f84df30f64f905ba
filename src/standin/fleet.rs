//! The hosts of a point as one hierarchy: who answers from a copy, who fills a miss, and what the answer says.

use super::host::{Host, Tier};
use super::ids::HostId;
use super::line_protocol::{FetchRequest, HostAnswer};
use crate::interface::{Instant, Span};
use std::ops::{Index, IndexMut};

/// How long before its answer the origin has handed out a copy.
const ORIGIN_COPY_AGE: Span = Span::from_millis(1);

/// Says whether a host's process runs and can be reached.
pub type IsReachable<'a> = &'a dyn Fn(&Fleet, HostId) -> bool;

/// The hosts of a point: its caches, the parents of its hub, and last the origin.
#[derive(Debug, Default)]
pub struct Fleet {
    /// In the order of their ids.
    pub hosts: Vec<Host>,
    /// Answers state only how a served request came about.
    pub served_status_only: bool,
}

impl Index<HostId> for Fleet {
    type Output = Host;

    fn index(&self, host: HostId) -> &Host {
        &self.hosts[host.0]
    }
}

impl IndexMut<HostId> for Fleet {
    fn index_mut(&mut self, host: HostId) -> &mut Host {
        &mut self.hosts[host.0]
    }
}

impl Fleet {
    /// The host of a name.
    pub fn find(&self, name: &str) -> Option<HostId> {
        self.hosts.iter().position(|host| host.name == name).map(HostId)
    }

    /// The host that a request names as its fill source.
    pub fn source(&self, request: &FetchRequest) -> Option<HostId> {
        request.source.as_ref().and_then(|name| self.find(name))
    }

    fn origin(&self) -> HostId {
        HostId(self.hosts.len() - 1)
    }

    /// What a host answers now. Copies that a fill makes are cached.
    pub fn answer(
        &mut self,
        host: HostId,
        request: &FetchRequest,
        now: Instant,
        is_reachable: IsReachable<'_>,
    ) -> HostAnswer {
        let answer = if self[host].fails(now) {
            HostAnswer { status: "500", fields: String::new(), body: Vec::new() }
        } else if request.is_write() {
            self.answer_write(host, request, now, is_reachable)
        } else {
            self.answer_read(host, request, now, is_reachable)
        };
        let fields = if self.served_status_only { keep_served_status(&answer.fields) } else { answer.fields };
        HostAnswer { fields, ..answer }
    }

    fn answer_write(
        &self,
        host: HostId,
        request: &FetchRequest,
        now: Instant,
        is_reachable: IsReachable<'_>,
    ) -> HostAnswer {
        let origin = self.origin();
        let runs = match self.source(request) {
            _ if self[host].tier != Tier::Cache => is_reachable(self, origin),
            Some(source) => {
                is_reachable(self, source) && !self[source].fails(now) && is_reachable(self, origin)
            }
            None => return answer_without_copy("404", "not_there"),
        };
        if !runs {
            return answer_without_copy("500", "cut_off");
        }
        HostAnswer {
            status: "200",
            fields: "tell=pulled_far,waited=10".to_owned(),
            body: format!("done:{};", request.id).into_bytes(),
        }
    }

    fn answer_read(
        &mut self,
        host: HostId,
        request: &FetchRequest,
        now: Instant,
        is_reachable: IsReachable<'_>,
    ) -> HostAnswer {
        if let Some(handed_out) = self[host].usable_copy(request, now) {
            return answer_with_copy("local", request, handed_out);
        }
        match (self[host].tier, self.source(request)) {
            (Tier::Origin, _) => answer_with_copy("local", request, now - ORIGIN_COPY_AGE),
            (Tier::Parent, _) if request.only_if_cached => answer_without_copy("404", "not_there"),
            (Tier::Parent, _) => self.fill_from_origin(&[host], request, now, is_reachable),
            (Tier::Cache, None) => answer_without_copy("404", "not_there"),
            (Tier::Cache, Some(source)) if !is_reachable(self, source) || self[source].fails(now) => {
                answer_without_copy("500", "cut_off")
            }
            (Tier::Cache, Some(source)) => self.fill(host, source, request, now, is_reachable),
        }
    }

    /// A cache's miss, filled by a source that answers.
    fn fill(
        &mut self,
        host: HostId,
        source: HostId,
        request: &FetchRequest,
        now: Instant,
        is_reachable: IsReachable<'_>,
    ) -> HostAnswer {
        match self[source].usable_copy(request, now) {
            Some(handed_out) => {
                self[host].copies.insert(request.item.clone(), handed_out);
                answer_with_copy("pulled", request, handed_out)
            }
            None if self[source].tier == Tier::Cache || request.only_if_cached => {
                answer_without_copy("404", "not_there")
            }
            None => self.fill_from_origin(&[host, source], request, now, is_reachable),
        }
    }

    /// A miss that the origin fills; the hosts on the way keep copies.
    fn fill_from_origin(
        &mut self,
        through: &[HostId],
        request: &FetchRequest,
        now: Instant,
        is_reachable: IsReachable<'_>,
    ) -> HostAnswer {
        let origin = self.origin();
        if !is_reachable(self, origin) || self[origin].fails(now) {
            return answer_without_copy("500", "far_fault");
        }
        let handed_out = now - ORIGIN_COPY_AGE;
        for host in through.iter().filter(|host| **host != origin) {
            self[*host].copies.insert(request.item.clone(), handed_out);
        }
        answer_with_copy("pulled_far", request, handed_out)
    }
}

/// An answer's fields where notes state only how a served request came about: failures and waits are left out.
fn keep_served_status(fields: &str) -> String {
    let kept = fields.split(',').filter_map(|field| match field {
        "tell=pulled_far" => Some("tell=pulled"),
        "tell=local" | "tell=pulled" => Some(field),
        _ if field.starts_with("tell=") || field.starts_with("waited=") => None,
        _ => Some(field),
    });
    kept.collect::<Vec<_>>().join(",")
}

fn answer_without_copy(status: &'static str, note: &str) -> HostAnswer {
    HostAnswer { status, fields: format!("tell={note},waited=0"), body: Vec::new() }
}

/// An answer with a copy: its bytes say what it is and when the origin handed it out.
fn answer_with_copy(note: &str, request: &FetchRequest, handed_out: Instant) -> HostAnswer {
    let handed_out_us = handed_out.as_micros();
    let handed_out_ms = handed_out_us / 1000;
    let mut body = format!("{}:{}:{handed_out_us};", request.item.object, request.item.part).into_bytes();
    body.resize(body.len() + padding(&request.item.object), b'.');
    let waited = if note == "local" { 0 } else { 10 };
    let fields = format!("ver=v{handed_out_us},born={handed_out_ms},tell={note},waited={waited}");
    HostAnswer { status: "200", fields, body }
}

/// The bytes behind a copy's text; objects differ in size.
fn padding(object: &str) -> usize {
    const MIN_BYTES: usize = 100;
    const RANGE_BYTES: u64 = 20_000;
    const MULTIPLIER: u64 = 2_654_435_761; // Knuth's multiplicative hash
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    MIN_BYTES + (number.wrapping_mul(MULTIPLIER) % RANGE_BYTES) as usize
}

#[cfg(test)]
mod tests;
