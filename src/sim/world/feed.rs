//! The control feed: its events and the polls that wait for them.

use super::agenda::ScheduledEvent;
use super::{Sabotage, World};
use crate::interface::{Instant, Span};
use crate::sim::rules::MAX_TRANSIT;
use crate::standin::feed::PollRequest;
use crate::standin::ids::{ConnectionId, HostId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The processes have polled a feed that was cut off again this long after it is back.
const POLLED_AGAIN: Span = Span::from_millis(2_200);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A poll that waits for an event.
#[derive(Clone, Copy)]
struct OpenPoll {
    /// The number of the last event that the process has.
    after: usize,
    until: Instant,
}

/// What the feed knows.
#[derive(Default)]
pub(super) struct Feed {
    /// All events so far, without their numbers.
    pub(super) events: Vec<Value>,
    /// Unread input by connection.
    links: BTreeMap<ConnectionId, Vec<u8>>,
    polls: BTreeMap<ConnectionId, OpenPoll>,
    /// What is stated before then counts as stated then.
    pub(super) cut_until: Instant,
}

impl Feed {
    pub(super) fn connected(&mut self, link: ConnectionId) {
        self.links.insert(link, Vec::new());
    }

    pub(super) fn is_connected(&self, link: ConnectionId) -> bool {
        self.links.contains_key(&link)
    }

    pub(super) fn disconnected(&mut self, link: ConnectionId) {
        self.links.remove(&link);
        self.polls.remove(&link);
    }

    /// Forgets all connections and polls; returns the connections.
    pub(super) fn disconnect_all(&mut self) -> Vec<ConnectionId> {
        self.lose_polls();
        std::mem::take(&mut self.links).into_keys().collect()
    }

    /// Never answers the polls that wait now.
    pub(super) fn lose_polls(&mut self) {
        self.polls.clear();
    }

    /// Adds bytes to the input of a connection; returns the head of a request once it is complete.
    fn take_head(&mut self, link: ConnectionId, bytes: &[u8]) -> Option<String> {
        let input = self.links.get_mut(&link)?;
        input.extend_from_slice(bytes);
        let end = input.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + HEAD_END.len());
        Some(head)
    }
}

impl World<'_> {
    /// Bytes have reached the feed.
    pub(super) fn feed_received(&mut self, link: ConnectionId, bytes: &[u8]) {
        let Some(head) = self.feed.take_head(link, bytes) else { return };
        let poll = PollRequest::parse(head.split(' ').nth(1).unwrap_or_default());
        let until = self.now + Span::from(poll.wait);
        self.feed.polls.insert(link, OpenPoll { after: poll.after, until });
        self.agenda.schedule(until, ScheduledEvent::PollEnds(link));
        self.answer_poll(link);
    }

    /// Answers a poll if there is an event for it or its time is over.
    pub(super) fn answer_poll(&mut self, link: ConnectionId) {
        let Some(OpenPoll { after, until }) = self.feed.polls.get(&link).copied() else { return };
        if self.feed.events.len() <= after && self.now < until {
            return;
        }
        self.feed.polls.remove(&link);
        let body = self.events_after(after).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.fabric.send(link.0, &[head.as_bytes(), body.as_bytes()].concat());
    }

    /// The events after the first `after`, as processes are told them.
    pub(super) fn events_after(&self, after: usize) -> Value {
        let numbered = |(index, event): (usize, &Value)| {
            let mut event = if self.is_withheld(event) { json!({}) } else { event.clone() };
            event["n"] = (index + 1).into();
            event
        };
        let events: Vec<Value> = self.feed.events.iter().enumerate().skip(after).map(numbered).collect();
        json!({"n": self.feed.events.len(), "events": events})
    }

    /// Whether a planted bug keeps an event from the processes.
    fn is_withheld(&self, event: &Value) -> bool {
        match self.sabotage {
            Some(Sabotage::DeafToDrains) => {
                event["members"]["hosts"][0]["health"].as_str().is_some_and(|health| health != "up")
            }
            Some(Sabotage::DeafToPurges) => event.get("purge").is_some(),
            _ => false,
        }
    }

    /// Publishes an event; returns when it counts as stated.
    pub(super) fn publish(&mut self, event: Value) -> Instant {
        self.feed.events.push(event);
        let links: Vec<ConnectionId> = self.feed.polls.keys().copied().collect();
        for link in links {
            self.answer_poll(link);
        }
        self.now.max(self.feed.cut_until)
    }

    /// Publishes a host's health; returns when it counts as stated.
    pub(super) fn publish_health(&mut self, host: HostId, health: &str) -> Instant {
        let entry = &mut self.fleet[host].entry;
        entry["health"] = health.into();
        let entry = entry.clone();
        self.publish(json!({"members": {"seq": 0, "whole": false, "hosts": [entry]}}))
    }

    /// Publishes the whole endpoint list.
    pub(super) fn publish_whole_list(&mut self) {
        let entries: Vec<Value> = self.fleet.hosts.iter().map(|host| host.entry.clone()).collect();
        self.publish(json!({"members": {"seq": 0, "whole": true, "hosts": entries}}));
    }

    /// The processes do not reach the feed until then.
    pub(super) fn cut_feed(&mut self, back_at: Instant) {
        // Without descriptors they do not connect to it again.
        let shortage = self.descriptor_shortage.until;
        let back_at = if self.now < shortage { back_at.max(shortage) } else { back_at };
        let until = back_at + POLLED_AGAIN;
        self.feed.cut_until = self.feed.cut_until.max(until);
        self.rules.feed_cut(self.now - 2 * MAX_TRANSIT, until);
    }
}
