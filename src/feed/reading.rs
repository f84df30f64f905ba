//! Reads from the control feed: complete responses, and the new events in them.

use super::http::{self, HttpResponse, MalformedResponse};
use super::{Feed, FeedDeadline, MIN_BACKOFF, MIN_CONNECT_TIMEOUT};
use crate::config::events::FeedBatch;
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, ReadProgress, Reason};
use tracing::warn;

/// Maximum length of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 22;
/// HTTP status of a response that carries events.
const STATUS_OK: u16 = 200;

impl Feed {
    /// Handles the connection, which may be readable or writable, and returns the new events. If an error
    /// occurs, the connection is closed and the backoff begins.
    pub fn on_ready(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<FeedDeadline>,
    ) -> Vec<FeedBatch> {
        let mut batches = Vec::new();
        if let Err(reason) = self.try_ready(now, net, deadlines, &mut batches) {
            self.disconnect(now, reason, net, deadlines);
        }
        batches
    }

    fn try_ready(
        &mut self,
        now: Instant,
        net: &mut Net,
        deadlines: &mut dyn Schedule<FeedDeadline>,
        batches: &mut Vec<FeedBatch>,
    ) -> Result<(), Reason> {
        let Some(key) = self.connection else { return Ok(()) };
        if !self.is_up {
            if !net.connected(key)? {
                return Ok(());
            }
            (self.is_up, self.connect_timeout) = (true, MIN_CONNECT_TIMEOUT);
            self.send_poll(now, net, deadlines);
        }
        net.flush(key)?;
        loop {
            let progress = net.read(key, MAX_RESPONSE_BYTES);
            // A response that was received before the connection broke is still used.
            if let Some(response) = next_response(key, progress, net)? {
                self.on_response(response, batches)?;
                self.send_poll(now, net, deadlines);
            }
            let progress = progress?;
            if progress.has_peer_ended {
                return Err(Reason::PeerClosed);
            }
            if !progress.is_buffer_full {
                return Ok(());
            }
        }
    }

    /// Handles the response to the poll that was sent last.
    fn on_response(&mut self, response: HttpResponse, batches: &mut Vec<FeedBatch>) -> Result<(), Reason> {
        let parsed = serde_json::from_slice::<FeedBatch>(&response.body);
        let batch = match parsed {
            Ok(batch) if response.status == STATUS_OK => batch,
            other => {
                warn!("feed: unusable response: status {}, parse error {:?}", response.status, other.err());
                return Err(Reason::BadMessage);
            }
        };
        self.backoff = MIN_BACKOFF;
        self.polls.answered = self.polls.sent;
        batches.extend(self.remove_received(batch));
        if response.closes_connection {
            return Err(Reason::Done);
        }
        Ok(())
    }

    /// Removes the events that were received before from a batch; `None` if no event is left.
    fn remove_received(&mut self, mut batch: FeedBatch) -> Option<FeedBatch> {
        batch.events.retain(|event| event.n > self.last_event);
        let newest = batch.events.iter().map(|event| event.n).max();
        self.last_event = self.last_event.max(newest.unwrap_or(0)).max(batch.n);
        Some(batch).filter(|batch| !batch.events.is_empty())
    }
}

/// Removes the next complete response from the input; `None` if none has been received completely.
fn next_response(
    key: ConnectionKey,
    progress: Result<ReadProgress, Reason>,
    net: &mut Net,
) -> Result<Option<HttpResponse>, Reason> {
    let is_at_end = progress.is_ok_and(|progress| progress.has_peer_ended);
    let Some(parsed) = net.input(key, |input| http::parse_response(input, is_at_end)) else {
        return Ok(None);
    };
    match parsed {
        Ok(Some(response)) => Ok(Some(response)),
        // A full buffer that holds no complete response cannot take the rest of one.
        Ok(None) if progress.is_ok_and(|progress| progress.is_buffer_full) => Err(Reason::Oversize),
        Ok(None) => Ok(None),
        Err(MalformedResponse) => Err(Reason::BadMessage),
    }
}
