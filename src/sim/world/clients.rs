//! Stand-in clients: they send and cancel requests, and their connections end.

use super::event_queue::ScheduledEvent;
use super::faults::DescriptorShortage;
use super::process_id::ProcessId;
use super::traffic::{PlannedRequest, RequestNumber};
use super::{numbered_address, PlantedBug, World, FRONT};
use crate::interface::{Instant, Span};
use crate::sim::rules::MAX_TRANSIT;
use crate::standin::ids::{ClientId, ConnectionId};
use crate::standin::thrift_client;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Group to which all objects belong.
pub(super) const GROUP: u32 = 17;
/// Requests that are sent later than this after SIGTERM need not be accepted by the process.
const ACCEPTED_AFTER_SIGTERM: Span = Span::from_millis(700);
/// A request may have crossed the end of its connection if it was written at most this time plus twice
/// [`MAX_TRANSIT`] before the end was seen.
const CROSSING_ALLOWANCE: Span = Span::from_millis(50);
/// A request must have its answer within this time after the client's timeout.
const MAX_ANSWER_DELAY: Span = Span::from_secs(2);
/// Time after the end of a descriptor shortage by which waiting connections must have been accepted.
const ACCEPT_RESUME_DELAY: Span = Span::from_millis(60);
/// Body of requests that are writes.
const WRITE_BODY: &[u8] = b"won";

/// A request that has no answer yet.
pub(super) struct OpenRequest {
    pub(super) number: RequestNumber,
    written: Instant,
    /// When it counts as sent: later than `written` if its connection could not be accepted for lack of
    /// descriptors.
    pub(super) sent: Instant,
    /// Whether it was sent before, on a connection that ended.
    is_resent: bool,
}

/// A stand-in client, with the state of its connection if it has one.
#[derive(Default)]
pub(super) struct Client {
    pub(super) connection: Option<ConnectionId>,
    last_seqid: i32,
    pub(super) input: Vec<u8>,
    /// Requests without an answer, by sequence number.
    pub(super) open: BTreeMap<i32, OpenRequest>,
    /// Sequence numbers of cancelled requests, whose answers may still arrive.
    pub(super) cancelled: BTreeSet<i32>,
    connected_at: Instant,
    /// Earliest time at which requests on this connection count as sent. It is later than `connected_at` if
    /// the process had no descriptor for the connection.
    accepted_by: Instant,
}

impl Client {
    fn next_seqid(&mut self) -> i32 {
        self.last_seqid += 1;
        self.last_seqid
    }

    /// Drops the state of the connection; returns the requests that were open.
    fn disconnect(&mut self) -> BTreeMap<i32, OpenRequest> {
        self.connection = None;
        self.input.clear();
        self.cancelled.clear();
        std::mem::take(&mut self.open)
    }
}

impl World<'_> {
    pub(super) fn client(&mut self, client: ClientId) -> &mut Client {
        &mut self.clients[client.0]
    }

    /// Returns the client to which a connection belongs.
    pub(super) fn client_of(&self, connection: ConnectionId) -> Option<ClientId> {
        self.clients.iter().position(|client| client.connection == Some(connection)).map(ClientId)
    }

    /// Sends a client's request, on a new connection if it has none. Does nothing once the run is ending.
    pub(super) fn send_request(&mut self, number: RequestNumber, is_resent: bool) {
        if self.is_ending {
            return;
        }
        let request = self.request(number).clone();
        let connection = match self.client(request.client).connection {
            Some(connection) => connection,
            None => self.connect_client(request.client),
        };
        let now = self.now;
        let client = self.client(request.client);
        let seqid = client.next_seqid();
        let sent = now.max(client.accepted_by);
        client.open.insert(seqid, OpenRequest { number, written: now, sent, is_resent });
        self.fabric.send(connection.0, &invoke_frame(seqid, &request));
        let answered_by = request.client_timeout + MAX_ANSWER_DELAY;
        self.schedule_in(answered_by, ScheduledEvent::CheckAnswered(request.client, seqid));
        if let Some(after) = request.cancelled_after {
            self.schedule_in(after, ScheduledEvent::CancelRequest(request.client, seqid));
        }
    }

    fn connect_client(&mut self, id: ClientId) -> ConnectionId {
        let from = SocketAddr::from(([127, 0, 2, id.0 as u8 + 1], 40_000));
        let connection = ConnectionId(self.fabric.connect_client(from, numbered_address(FRONT)));
        let now = self.now;
        let client = self.client(id);
        client.connection = Some(connection);
        client.connected_at = now;
        client.accepted_by = now;
        self.delay_acceptance(id);
        connection
    }

    /// Moves the time at which a client's requests count as sent to the end of a descriptor shortage, if the
    /// client connected during it: the process accepts the connection only then.
    pub(super) fn delay_acceptance(&mut self, id: ClientId) {
        let DescriptorShortage { since, until } = self.descriptor_shortage;
        let client = self.client(id);
        let connected_before = client.connected_at + MAX_TRANSIT < since;
        let connected_after = until + ACCEPT_RESUME_DELAY < client.connected_at;
        if client.connection.is_none() || connected_before || connected_after {
            return;
        }
        client.accepted_by = client.accepted_by.max(until + ACCEPT_RESUME_DELAY);
        for open in client.open.values_mut() {
            open.sent = open.sent.max(client.accepted_by);
        }
    }

    pub(super) fn check_answered(&mut self, client: ClientId, seqid: i32) {
        let Some(open) = self.clients[client.0].open.get(&seqid) else { return };
        let text = format!("{} got no answer", self.request(open.number).trace);
        self.rules.record_breach(self.now, "unanswered", text);
    }

    /// Cancels a client's request if it is still open.
    pub(super) fn cancel_request(&mut self, id: ClientId, seqid: i32) {
        let client = self.client(id);
        let Some(connection) = client.connection else { return };
        let Some(open) = client.open.remove(&seqid) else { return };
        client.cancelled.insert(seqid);
        let frame = thrift_client::abort(client.next_seqid(), seqid);
        self.rules.client_left(self.now, &self.requests[open.number.index()].trace);
        if self.planted_bug != Some(PlantedBug::DeafToClients) {
            self.fabric.send(connection.0, &frame);
        }
        self.answers.excused += 1;
    }

    /// Resets a client's connection.
    pub(super) fn reset_client(&mut self, client: ClientId) {
        if let Some(connection) = self.end_client_connection(client) {
            self.fabric.reset(connection.0);
        }
    }

    /// Closes a client's connection without a reset.
    pub(super) fn close_client(&mut self, client: ClientId) {
        if let Some(connection) = self.end_client_connection(client) {
            self.fabric.close(connection.0);
        }
    }

    /// Ends a client's connection for its part, and excuses its open requests. Returns the connection to
    /// close or reset; `None` if it has none, or if the planted bug keeps it open.
    fn end_client_connection(&mut self, id: ClientId) -> Option<ConnectionId> {
        let connection = self.client(id).connection?;
        if self.planted_bug == Some(PlantedBug::DeafToClients) {
            let open = std::mem::take(&mut self.client(id).open);
            self.excuse_open_requests(&open);
            self.client(id).cancelled.extend(open.into_keys());
            return None;
        }
        let open = self.client(id).disconnect();
        self.excuse_open_requests(&open);
        Some(connection)
    }

    fn excuse_open_requests(&mut self, open: &BTreeMap<i32, OpenRequest>) {
        for open in open.values() {
            self.rules.client_left(self.now, &self.requests[open.number.index()].trace);
        }
        self.answers.excused += open.len() as u64;
    }

    /// Handles the end of a client's connection by the other side. Open requests that no process had to
    /// answer are excused; those that may have crossed the end are sent once more; any other is a breach.
    pub(super) fn client_disconnected(&mut self, id: ClientId, connection: ConnectionId) {
        let open = self.client(id).disconnect();
        let process = self.fabric.process_of(connection.0).map(ProcessId).filter(ProcessId::is_assigned);
        for open in open.into_values() {
            self.answers.excused += 1;
            if self.needs_no_answer(&open, process) {
                continue;
            }
            let crossed_end = open.written > self.now - 2 * MAX_TRANSIT - CROSSING_ALLOWANCE;
            if crossed_end && !open.is_resent {
                self.send_request(open.number, true);
            } else {
                let text = format!("{} is open as its connection ends", self.request(open.number).trace);
                self.rules.record_breach(self.now, "lost", text);
            }
        }
    }

    /// Whether no process had to answer an open request of a connection that has ended: none accepted it, the
    /// process was killed, or the request came too late after SIGTERM.
    fn needs_no_answer(&self, open: &OpenRequest, process: Option<ProcessId>) -> bool {
        let Some(process) = process.filter(|process| !self.processes.was_killed(*process)) else {
            return true;
        };
        let terminated_at = self.processes.terminated_at(process);
        terminated_at.is_some_and(|at| open.written > at + ACCEPTED_AFTER_SIGTERM - MAX_TRANSIT)
    }
}

/// Encodes the frame with which a client sends a request.
fn invoke_frame(seqid: i32, request: &PlannedRequest) -> Vec<u8> {
    let client_timeout = request.client_timeout.as_millis().to_string();
    let (part, group) = (request.part.to_string(), GROUP.to_string());
    let fields = [
        ("route", request.class),
        ("trace", &request.trace),
        ("patience", &client_timeout),
        ("entity", &request.object),
        ("slice", &part),
        ("set", &group),
    ];
    let body = if request.is_write() { WRITE_BODY } else { b"" };
    thrift_client::invoke(seqid, &fields, body)
}
