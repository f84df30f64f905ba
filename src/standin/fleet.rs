//! The hosts of a point as one hierarchy: which host answers from a cached copy, which one fills a miss, and
//! what the answers state.

use super::host::{Host, Tier};
use super::ids::HostId;
use super::line_protocol::{FetchRequest, HostAnswer};
use crate::interface::{Instant, Span};
use std::ops::{Index, IndexMut};

/// Age of a copy when the origin's answer is made.
const ORIGIN_COPY_AGE: Span = Span::from_millis(1);

/// Returns whether a host's process is running and can be reached.
pub type IsReachable<'a> = &'a dyn Fn(&Fleet, HostId) -> bool;

/// The hosts that serve a point: its caches, the parents of its hub and the origin.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The hosts in the order of their ids, with the origin last.
    pub hosts: Vec<Host>,
    /// Whether answers state only whether a served request was a hit or a fill. The status of failed
    /// requests, waiting times and the source of a fill are then left out.
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
    /// Returns the host with this name in the endpoint list.
    pub fn find(&self, name: &str) -> Option<HostId> {
        self.hosts.iter().position(|host| host.name == name).map(HostId)
    }

    /// Returns the fill source of a request; `None` if the request names none, or one that is not in the
    /// fleet.
    pub fn source(&self, request: &FetchRequest) -> Option<HostId> {
        request.source.as_ref().and_then(|name| self.find(name))
    }

    fn origin(&self) -> HostId {
        HostId(self.hosts.len() - 1)
    }

    /// Returns the answer of a host to a request, and caches the copies that a fill makes.
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

    /// Returns a cache's answer to a miss whose source is reachable and does not fail.
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

    /// Returns the answer to a miss that the origin fills. The hosts in `through` cache copies.
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

/// Reduces the fields of an answer to those that it has with [`Fleet::served_status_only`]: removes the
/// status of failures and the waiting time, and states a fill by the origin as a fill.
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

/// Returns an answer with a copy. Its body states the object, the part and when the origin handed the copy
/// out.
fn answer_with_copy(note: &str, request: &FetchRequest, handed_out: Instant) -> HostAnswer {
    let handed_out_us = handed_out.as_micros();
    let handed_out_ms = handed_out_us / 1000;
    let mut body = format!("{}:{}:{handed_out_us};", request.item.object, request.item.part).into_bytes();
    body.resize(body.len() + padding(&request.item.object), b'.');
    let waited = if note == "local" { 0 } else { 10 };
    let fields = format!("ver=v{handed_out_us},born={handed_out_ms},tell={note},waited={waited}");
    HostAnswer { status: "200", fields, body }
}

/// Returns the number of padding bytes after a copy's text. It depends on the object, so that objects differ
/// in size.
fn padding(object: &str) -> usize {
    const MIN_BYTES: usize = 100;
    const RANGE_BYTES: u64 = 20_000;
    const MULTIPLIER: u64 = 2_654_435_761; // Knuth's multiplicative hash
    let number = u64::from_str_radix(object, 16).unwrap_or(0);
    MIN_BYTES + (number.wrapping_mul(MULTIPLIER) % RANGE_BYTES) as usize
}

#[cfg(test)]
mod tests;
