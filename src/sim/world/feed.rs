//! The control feed: its events and the polls that wait for them.

use super::*;

impl World<'_> {
    pub(super) fn feed_got(&mut self, link: u64, bytes: &[u8]) {
        let Some(input) = self.feed.links.get_mut(&link) else { return };
        input.extend_from_slice(bytes);
        let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") else { return };
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + 4);
        let query = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let until = self.now + Span::from_millis(number(&query, "wait").min(5000) as i64);
        self.feed.polls.insert(link, (number(&query, "SUB") as usize, until));
        self.schedule(until, Event::PollEnds(link));
        self.answer_poll(link);
    }

    /// Answers a poll if there is something to tell or its time is over.
    pub(super) fn answer_poll(&mut self, link: u64) {
        let Some((after, until)) = self.feed.polls.get(&link).copied() else { return };
        if self.feed.events.len() <= after && self.now < until {
            return;
        }
        self.feed.polls.remove(&link);
        let body = json!({"n": self.feed.events.len(), "events": self.told(after)}).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.fabric.send(link, &[head.as_bytes(), body.as_bytes()].concat());
    }

    /// Tells an event; gives when it counts as told.
    pub(super) fn tell(&mut self, event: Value) -> Instant {
        self.feed.events.push(event);
        let links: Vec<u64> = self.feed.polls.keys().copied().collect();
        links.into_iter().for_each(|link| self.answer_poll(link));
        self.now.max(self.feed.cut_until)
    }

    pub(super) fn tell_health(&mut self, number: usize, health: &str) -> Instant {
        let mut entry = self.fleet.hosts[number].entry.clone();
        entry["health"] = health.into();
        self.fleet.hosts[number].entry = entry.clone();
        self.tell(json!({"members": {"seq": 0, "whole": false, "hosts": [entry]}}))
    }

    pub(super) fn cut_feed(&mut self, until: Instant) {
        // Without descriptors it is not connected to again.
        let connected = if self.now < self.exhausted.1 { self.exhausted.1 + HEARD_AGAIN } else { until };
        let until = until.max(connected);
        self.feed.cut_until = self.feed.cut_until.max(until);
        self.rules.feed_cut(self.now - 2 * WAY, until);
    }
}
