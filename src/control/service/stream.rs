//! The task that serves one client's stream.

use super::message::RequestMessage;
use super::metrics::Metrics;
use super::rejections::RejectionStore;
use crate::config::hcl_document::unknown_name;
use crate::control::feed_watch::PollCounter;
use crate::control::resource::ResourceType;
use crate::control::session::{ClientRequest, RequestEffect, Session};
use crate::control::snapshot::Snapshot;
use crate::control::wire;
use envoy_types::pb::envoy::config::core::v3::Node;
use std::fmt;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio_stream::StreamExt;
use tonic::{Status, Streaming};
use tracing::{info, warn};

/// Maximum number of names in a request.
const MAX_NAMES: usize = 10_000;

/// How a stream ended, if not by an error that this service sends.
enum StreamEnd {
    /// The connection no longer takes responses.
    ClientGone,
    /// The client closed its side.
    ClientClosed,
    /// The connection failed, or a request could not be decoded.
    Broken(Status),
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StreamEnd::ClientGone => formatter.write_str("client gone"),
            StreamEnd::ClientClosed => formatter.write_str("client closed"),
            StreamEnd::Broken(status) => write!(formatter, "broken: {}", status.message()),
        }
    }
}

/// Counters of one stream, logged when it ends.
#[derive(Default)]
struct StreamCounts {
    sent: u64,
    acks: u64,
    nacks: u64,
}

/// What woke the task.
enum Wakeup<M> {
    Request(Option<Result<M, Status>>),
    /// A new snapshot was published or the connection has taken a response, so there may be a response to send.
    Send,
    ClientGone,
    Stopping,
}

/// The state that all streams share.
#[derive(Clone)]
pub(super) struct StreamContext {
    /// The newest snapshot.
    pub(super) snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Counts the polls sent to the control feed.
    pub(super) polls_sent: PollCounter,
    pub(super) metrics: Arc<Metrics>,
    /// Whether the service is to stop.
    pub(super) stopping: watch::Receiver<bool>,
    pub(super) rejections: Arc<RejectionStore>,
}

/// One client's stream.
pub(super) struct Stream<M: RequestMessage> {
    context: StreamContext,
    requests: Streaming<M>,
    responses: mpsc::Sender<Result<M::Response, Status>>,
    /// `None` until the first request.
    session: Option<Session>,
    /// The client's `node.id`.
    node: String,
    counts: StreamCounts,
}

impl<M: RequestMessage> Stream<M> {
    /// Creates a stream whose client has sent nothing yet.
    pub(super) fn new(
        context: StreamContext,
        requests: Streaming<M>,
        responses: mpsc::Sender<Result<M::Response, Status>>,
    ) -> Self {
        let node = String::new();
        Stream { context, requests, responses, session: None, node, counts: StreamCounts::default() }
    }

    /// Serves the stream until it ends, and logs how it ended.
    pub(super) async fn run(mut self, peer: &str) {
        let end = match self.serve().await {
            Ok(end) => end.to_string(),
            Err(status) => {
                let text = status.message().to_owned();
                let _ = self.responses.send(Err(status)).await;
                text
            }
        };
        let point = self.session.as_ref().map_or("", Session::point);
        let StreamCounts { sent, acks, nacks } = self.counts;
        info!(node = %self.node, %peer, %point, %end, sent, acks, nacks, "stream ended");
    }

    async fn serve(&mut self) -> Result<StreamEnd, Status> {
        loop {
            let snapshot = Arc::clone(&self.context.snapshots.borrow_and_update());
            if self.send_next(&snapshot) {
                continue;
            }
            match self.next_wakeup().await {
                Wakeup::Request(Some(Ok(request))) => self.handle(request, &snapshot)?,
                Wakeup::Request(Some(Err(status))) => return Ok(StreamEnd::Broken(status)),
                Wakeup::Request(None) => return Ok(StreamEnd::ClientClosed),
                Wakeup::Send => {}
                Wakeup::ClientGone => return Ok(StreamEnd::ClientGone),
                Wakeup::Stopping => return Err(Status::unavailable("stopping")),
            }
        }
    }

    /// Sends the next response if one is due and the connection can take it. The response is made only then, from the
    /// newest snapshot. Returns whether a response was sent.
    fn send_next(&mut self, snapshot: &Snapshot) -> bool {
        let Some(session) = &mut self.session else { return false };
        let Ok(permit) = self.responses.try_reserve() else { return false };
        let Some(response) = session.next(snapshot) else { return false };
        self.counts.sent += 1;
        self.context.metrics.sent.fetch_add(1, Ordering::Relaxed);
        permit.send(Ok(M::response(&response)));
        true
    }

    async fn next_wakeup(&mut self) -> Wakeup<M> {
        let is_full = self.responses.capacity() == 0;
        tokio::select! {
            request = self.requests.next() => Wakeup::Request(request),
            changed = self.context.snapshots.changed() => match changed {
                Ok(()) => Wakeup::Send,
                Err(_) => Wakeup::Stopping,
            },
            permit = self.responses.reserve(), if is_full => match permit {
                Ok(_) => Wakeup::Send,
                Err(_) => Wakeup::ClientGone,
            },
            () = self.responses.closed() => Wakeup::ClientGone,
            _ = self.context.stopping.wait_for(|stop| *stop) => Wakeup::Stopping,
        }
    }

    fn handle(&mut self, message: M, snapshot: &Snapshot) -> Result<(), Status> {
        let resource_type = message.resource_type()?;
        if self.session.is_none() {
            self.session = Some(self.open_session(message.node(), snapshot)?);
        }
        let request = message.into_request();
        if request.name_count() > MAX_NAMES {
            return Err(Status::invalid_argument(format!("over {MAX_NAMES} names in one request")));
        }
        self.handle_request(resource_type, &request);
        Ok(())
    }

    /// Creates the session of a client from the node in its first request. A node without a known point is an error.
    fn open_session(&mut self, node: Option<&Node>, snapshot: &Snapshot) -> Result<Session, Status> {
        let point = wire::point(node);
        let point = point.ok_or_else(|| Status::invalid_argument("node.locality.zone names no point"))?;
        if !snapshot.points.contains_key(point) {
            let text = unknown_name("point", point, snapshot.points.keys().map(String::as_str));
            return Err(Status::invalid_argument(format!("node.locality.zone: {text}")));
        }
        let mut session = Session::new(M::VARIANT, point, snapshot.epoch);
        self.node = node.map(|node| node.id.clone()).unwrap_or_default();
        if let Some(rejections) = self.context.rejections.get(&self.node) {
            session.restore_rejections(rejections);
        }
        Ok(session)
    }

    fn handle_request(&mut self, resource_type: ResourceType, request: &ClientRequest) {
        let Some(session) = &mut self.session else { return };
        let effect = session.handle(resource_type, request, self.context.polls_sent.newest_poll());
        match effect {
            RequestEffect::Acked(_) => {
                self.counts.acks += 1;
                self.context.metrics.acks.fetch_add(1, Ordering::Relaxed);
            }
            RequestEffect::Nacked { sequence, error } => {
                self.counts.nacks += 1;
                self.context.metrics.nacks.fetch_add(1, Ordering::Relaxed);
                let seq = sequence.0;
                let kind = resource_type;
                warn!(
                    node = %self.node, ?kind, seq, error,
                    "client rejected a response (NACK); this version is not sent to that node again"
                );
            }
            RequestEffect::Subscribed | RequestEffect::Stale => return,
        }
        self.context.rejections.set(&self.node, session.rejections());
    }
}
