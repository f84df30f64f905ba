//! Requests of the signed front, which has checked the clients' credentials. They are submitted to the core,
//! and answered in the order in which they arrived on their connection.

use super::pending::{Client, PendingRequest};
use super::requests::proxy_full_rejection;
use super::signed_endpoint::RouteClass;
use super::translate;
use super::Server;
use crate::core::ClientRequest;
use crate::front::signed::route::RequestTarget;
use crate::front::signed::{RequestIndex, SignedEvent};
use crate::front::RequestHandle;
use crate::interface::ClassId;
use crate::net::ConnectionKey;
use crate::slots::Key;
use bytes::Bytes;

impl Server {
    /// Whether a connection belongs to the signed front.
    pub(super) fn is_signed_client(&self, conn: ConnectionKey) -> bool {
        self.signed.as_ref().is_some_and(|signed| signed.front.owns(conn))
    }

    /// Handles a readiness event of a connection of the signed front.
    pub(super) fn on_signed_ready(&mut self, conn: ConnectionKey, closed: bool) {
        match self.signed.as_mut().filter(|_| closed) {
            Some(signed) => signed.front.on_peer_closed(self.now, conn, &mut self.net, &mut self.deadlines),
            None => self.read_signed_requests(conn),
        }
        self.write_signed_answers(conn);
    }

    /// Writes the answers that are next in order on a connection. The content of each is determined when its
    /// first byte is written.
    pub(super) fn write_signed_answers(&mut self, conn: ConnectionKey) {
        self.write_ready_answers(conn);
        if let Some(signed) = &mut self.signed {
            signed.front.queue_unread_requests(conn);
            signed.front.linger_if_answered(self.now, conn, &mut self.net, &mut self.deadlines);
            let cancelled = signed.front.take_cancelled();
            cancelled.into_iter().for_each(|handle| self.on_request_cancelled(handle));
        }
    }

    fn write_ready_answers(&mut self, conn: ConnectionKey) {
        while let Some(signed) = &mut self.signed {
            let Some(handle) =
                signed.front.next_to_answer(self.now, conn, &mut self.net, &mut self.deadlines)
            else {
                break;
            };
            let request = Key::from_number(handle.number());
            let Some(answer) = self.core.current_answer(self.now, request) else { break };
            let etags = self.pending.get(request).map(|pending| &pending.etags[..]).unwrap_or_default();
            let answer = translate::http_answer(answer, etags, self.net.unix_time());
            if !signed.front.begin_answer(self.now, conn, answer, &mut self.net, &mut self.deadlines) {
                break;
            }
            self.on_answer_begun(request);
        }
    }

    fn read_signed_requests(&mut self, conn: ConnectionKey) {
        let Some(signed) = &mut self.signed else { return };
        let events = signed.front.on_ready(self.now, conn, &mut self.net, &mut self.deadlines);
        events.into_iter().for_each(|event| self.on_signed_request(event));
    }

    fn on_signed_request(
        &mut self,
        SignedEvent::Request { conn, index, target, etags, expires }: SignedEvent,
    ) {
        let is_full = self.is_full(conn);
        let Some(signed) = self.signed.as_mut().filter(|signed| signed.front.is_open(conn, index)) else {
            return;
        };
        let RequestTarget { route, object, group, part } = target;
        let Some(RouteClass { class, timeout }) = signed.routes.get(route.0).copied() else { return };
        if is_full {
            return self.reject_signed_request(conn, index, class);
        }
        let request = ClientRequest { class, object, part, group, timeout, authorized_until: Some(expires) };
        let key = self.core.submit(self.now, request, &mut self.deadlines);
        signed.front.set_handle(conn, index, RequestHandle::from_number(key.number()));
        let pending = PendingRequest {
            client: Client::Signed { conn },
            etags,
            class,
            trace_id: signed.trace_id(key.number()),
            object_name: format!("{:016x}", object.0),
            idempotency_key: None,
            body: Bytes::new(),
        };
        self.pending.insert(key, pending);
    }

    fn reject_signed_request(&mut self, conn: ConnectionKey, index: RequestIndex, class: ClassId) {
        let rejected = proxy_full_rejection(self.core.retry_after(class));
        self.core.count_answer(class, &rejected);
        let answer = translate::http_answer(rejected, &[], self.net.unix_time());
        if let Some(signed) = &mut self.signed {
            signed.front.set_answer(conn, index, answer);
        }
    }
}
