//! Requests of the Thrift front: they are checked, submitted to the core, and answered.

use super::pending::{Client, PendingRequest};
use super::translate::{self, InvalidRequest, RequestFields};
use super::Server;
use crate::core::{ClientRequest, FinalAnswer};
use crate::front::thrift::codec::{ExceptionKind, ThriftReply};
use crate::front::thrift::{SequenceId, ThriftEvent, MAX_BODY_BYTES};
use crate::front::RequestHandle;
use crate::interface::{ClassId, Instant, Span};
use crate::net::ConnectionKey;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Estimated time between the sending of a request, from which the client counts its deadline, and its
/// arrival here.
const CLIENT_TO_PROXY_DELAY: Span = Span::from_millis(12);
/// The shortest time-out with which a request is submitted to the core.
const MIN_TIMEOUT: Span = Span::from_micros(1);

/// Identifies a call on the Thrift front.
#[derive(Clone, Copy)]
struct CallId {
    conn: ConnectionKey,
    seqid: SequenceId,
}

impl Server {
    /// Handles what clients have sent.
    pub(super) fn on_thrift_events(&mut self, events: Vec<ThriftEvent>) {
        for event in events {
            match event {
                ThriftEvent::Request { conn, seqid, fields, body, arrived } => {
                    self.on_thrift_request(CallId { conn, seqid }, &fields, body, arrived);
                }
                ThriftEvent::RequestOverLimit { conn, seqid, fields } => {
                    let class = translate::request_class(&fields, &self.config.settings.program);
                    let reply =
                        self.reject_if_refused(conn, class).unwrap_or_else(|| self.reject_unsubmitted(class));
                    self.answer_untracked_call(conn, seqid, reply);
                }
                ThriftEvent::Ping { conn, seqid } => {
                    if !self.admission.refused.contains_key(&conn) {
                        self.mark_good_standing(conn);
                    }
                    self.answer_untracked_call(conn, seqid, ThriftReply::Pong(self.is_ready_for_clients()));
                }
                ThriftEvent::Cancelled(handle) => self.on_request_cancelled(handle),
            }
        }
    }

    fn on_thrift_request(
        &mut self,
        call: CallId,
        fields: &BTreeMap<String, String>,
        body: Bytes,
        arrived: Instant,
    ) {
        let class = translate::request_class(fields, &self.config.settings.program);
        if let Some(rejection) = self.reject_if_refused(call.conn, class) {
            return self.answer_call(call.conn, call.seqid, rejection);
        }
        if !self.thrift.is_open(call.conn, call.seqid) {
            return;
        }
        match self.check_request(fields, &body) {
            Err(invalid) => self.answer_invalid_request(call, class, &invalid),
            Ok(_) if self.is_full(call.conn) => {
                let rejection = self.reject_unsubmitted(class);
                self.answer_call(call.conn, call.seqid, rejection);
            }
            Ok(request) => self.submit_thrift_request(call, request, &body, arrived),
        }
    }

    fn check_request(
        &self,
        fields: &BTreeMap<String, String>,
        body: &Bytes,
    ) -> Result<RequestFields, InvalidRequest> {
        let request = translate::parse_request(fields, &self.config.settings.program)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(InvalidRequest::BodyTooLong);
        }
        if self.pending.has_trace_id(&request.trace_id) || self.used_trace_ids.contains(&request.trace_id) {
            return Err(InvalidRequest::TraceIdInUse);
        }
        Ok(request)
    }

    fn answer_invalid_request(&mut self, call: CallId, class: Option<ClassId>, invalid: &InvalidRequest) {
        if let Some(class) = class {
            self.core.count_answer(class, &FinalAnswer::Failed { timed_out: false });
        }
        let (name, text) = ("invoke".into(), invalid.to_string());
        let reply = ThriftReply::Exception { name, kind: ExceptionKind::ProtocolError, text };
        self.answer_call(call.conn, call.seqid, reply);
    }

    fn submit_thrift_request(
        &mut self,
        CallId { conn, seqid }: CallId,
        request: RequestFields,
        body: &Bytes,
        arrived: Instant,
    ) {
        self.mark_good_standing(conn);
        let RequestFields { class, object, part, group, client_timeout, .. } = request;
        // The client's deadline counts from the arrival of the request, which may have waited to be read.
        let waited = self.now - arrived;
        let timeout = (client_timeout - waited - CLIENT_TO_PROXY_DELAY).max(MIN_TIMEOUT);
        let submitted = ClientRequest { class, object, part, group, timeout, authorized_until: None };
        let key = self.core.submit(self.now, submitted, &mut self.deadlines);
        self.thrift.set_handle(conn, seqid, RequestHandle::from_number(key.number()));
        let pending = PendingRequest {
            client: Client::Thrift { conn, seqid },
            etags: Vec::from_iter(request.etag),
            class,
            trace_id: request.trace_id,
            object_name: request.object_name,
            idempotency_key: request.idempotency_key,
            // This copies the body, since a slice would keep the whole buffer of the frame in memory.
            body: Bytes::copy_from_slice(body),
        };
        self.pending.insert(key, pending);
    }

    /// Answers an open call.
    pub(super) fn answer_call(&mut self, conn: ConnectionKey, seqid: SequenceId, reply: ThriftReply) {
        let events = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.deadlines);
        self.on_thrift_events(events);
    }

    /// Answers a call that the front does not track as open.
    fn answer_untracked_call(&mut self, conn: ConnectionKey, seqid: SequenceId, reply: ThriftReply) {
        let events =
            self.thrift.answer_untracked(self.now, conn, seqid, reply, &mut self.net, &mut self.deadlines);
        self.on_thrift_events(events);
    }
}
