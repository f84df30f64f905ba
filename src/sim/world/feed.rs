//! Stand-in control feed: its events and the polls that wait for them.

use super::event_queue::ScheduledEvent;
use super::{PlantedBug, World};
use crate::interface::{Instant, Span};
use crate::sim::rules::MAX_TRANSIT;
use crate::standin::feed::PollRequest;
use crate::standin::ids::{ConnectionId, HostId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Time after an outage of the feed by which the processes have polled it again.
const REPOLL_DELAY: Span = Span::from_millis(2_200);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A poll that waits for an event or for the end of its waiting time.
#[derive(Clone, Copy)]
struct OpenPoll {
    /// Number of the last event that the process has.
    after: usize,
    until: Instant,
}

/// State of the feed: its events, connections and open polls.
#[derive(Default)]
pub(super) struct Feed {
    /// All events so far, without their numbers: those are their places in the list, from 1.
    pub(super) events: Vec<Value>,
    /// Input that is no complete request yet, by connection.
    partial_inputs: BTreeMap<ConnectionId, Vec<u8>>,
    polls: BTreeMap<ConnectionId, OpenPoll>,
    /// Events that are published before this time count as stated at it: the processes cannot poll the feed
    /// earlier.
    pub(super) unreachable_until: Instant,
}

impl Feed {
    pub(super) fn connected(&mut self, connection: ConnectionId) {
        self.partial_inputs.insert(connection, Vec::new());
    }

    pub(super) fn is_connected(&self, connection: ConnectionId) -> bool {
        self.partial_inputs.contains_key(&connection)
    }

    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.partial_inputs.remove(&connection);
        self.polls.remove(&connection);
    }

    /// Drops all connections and polls from the state; returns the connections.
    pub(super) fn disconnect_all(&mut self) -> Vec<ConnectionId> {
        self.lose_polls();
        std::mem::take(&mut self.partial_inputs).into_keys().collect()
    }

    /// Drops the open polls, so that they are never answered.
    pub(super) fn lose_polls(&mut self) {
        self.polls.clear();
    }

    /// Adds bytes to the input of a connection; returns the head of a request if it is complete.
    fn take_head(&mut self, connection: ConnectionId, bytes: &[u8]) -> Option<String> {
        let input = self.partial_inputs.get_mut(&connection)?;
        input.extend_from_slice(bytes);
        let end = input.windows(HEAD_END.len()).position(|window| window == HEAD_END)?;
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + HEAD_END.len());
        Some(head)
    }
}

impl World<'_> {
    /// Handles bytes that have reached the feed: opens a poll once its request is complete.
    pub(super) fn feed_received(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(head) = self.feed.take_head(connection, bytes) else { return };
        let poll = PollRequest::parse(head.split(' ').nth(1).unwrap_or_default());
        let until = self.now + Span::from(poll.wait);
        self.feed.polls.insert(connection, OpenPoll { after: poll.after, until });
        self.event_queue.schedule(until, ScheduledEvent::PollEnds(connection));
        self.answer_poll(connection);
    }

    /// Answers a poll if there is an event for it or its waiting time is over.
    pub(super) fn answer_poll(&mut self, connection: ConnectionId) {
        let Some(OpenPoll { after, until }) = self.feed.polls.get(&connection).copied() else { return };
        if self.feed.events.len() <= after && self.now < until {
            return;
        }
        self.feed.polls.remove(&connection);
        let body = self.events_after(after).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.fabric.send(connection.0, &[head.as_bytes(), body.as_bytes()].concat());
    }

    /// Returns the events after the first `after`, as sent to processes: an event that a planted bug
    /// withholds is empty.
    pub(super) fn events_after(&self, after: usize) -> Value {
        let numbered = |(index, event): (usize, &Value)| {
            let mut event = if self.is_withheld(event) { json!({}) } else { event.clone() };
            event["n"] = (index + 1).into();
            event
        };
        let events: Vec<Value> = self.feed.events.iter().enumerate().skip(after).map(numbered).collect();
        json!({"n": self.feed.events.len(), "events": events})
    }

    /// Whether a planted bug withholds an event from the processes.
    fn is_withheld(&self, event: &Value) -> bool {
        match self.planted_bug {
            Some(PlantedBug::DeafToDrains) => {
                event["members"]["hosts"][0]["health"].as_str().is_some_and(|health| health != "up")
            }
            Some(PlantedBug::DeafToPurges) => event.get("purge").is_some(),
            _ => false,
        }
    }

    /// Publishes an event; returns the time at which it counts as stated.
    pub(super) fn publish(&mut self, event: Value) -> Instant {
        self.feed.events.push(event);
        let connections: Vec<ConnectionId> = self.feed.polls.keys().copied().collect();
        for connection in connections {
            self.answer_poll(connection);
        }
        self.now.max(self.feed.unreachable_until)
    }

    /// Publishes a host's health; returns the time at which it counts as stated.
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

    /// Records that the processes cannot reach the feed until `back_at`.
    pub(super) fn cut_feed(&mut self, back_at: Instant) {
        // Without descriptors the processes cannot connect to the feed again, even if it is back.
        let shortage = self.descriptor_shortage.until;
        let back_at = if self.now < shortage { back_at.max(shortage) } else { back_at };
        let until = back_at + REPOLL_DELAY;
        self.feed.unreachable_until = self.feed.unreachable_until.max(until);
        self.rules.feed_cut_off(self.now - 2 * MAX_TRANSIT, until);
    }
}
