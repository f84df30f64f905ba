//! Requests between the fronts and the core: taken in, refused where there is no room, answered and given up.

use super::translate::{self, RequestFields};
use super::{Client, PendingRequest, Server};
use crate::core::{ClientRequest, FinalAnswer, RequestKey};
use crate::front::signed::{self, route::RequestTarget};
use crate::front::thrift::{self, codec::ExceptionKind, codec::ThriftReply, SequenceId};
use crate::front::RequestHandle;
use crate::interface::{ClassId, RejectionReason, Span};
use crate::net::ConnectionKey;
use crate::slots::Key;
use bytes::Bytes;

/// A client counts its patience from its send; the request has been under way for about this long.
const WAY: Span = Span::from_millis(12);
/// The least patience that the core is told of.
const LEAST_PATIENCE: Span = Span::from_micros(1);

impl Server {
    /// A request's answer has begun.
    pub(super) fn on_answer_begun(&mut self, request: RequestKey) {
        self.remove_pending(request);
        self.core.answer_begun(self.now, request, &mut self.due);
    }

    /// Writes what answers of a second front's connection have their turn, each as it is at its first byte.
    pub(super) fn write_signed_answers(&mut self, conn: ConnectionKey) {
        let now = self.now;
        while let Some(links) = &mut self.links {
            let Some(handle) = links.front.next_to_answer(now, conn, &mut self.net, &mut self.due) else {
                break;
            };
            let request = Key::from_number(handle.number());
            let Some(answer) = self.core.answer_now(now, request) else { break };
            let tags = self.pending.get(&request).map(|waiting| &waiting.tags[..]).unwrap_or_default();
            let answer = translate::answer(answer, tags, self.net.unix_time());
            if !links.front.begin_answer(now, conn, answer, &mut self.net, &mut self.due) {
                break;
            }
            self.on_answer_begun(request);
        }
        if self.links.as_ref().is_some_and(|links| links.front.has_unread_requests(conn)) {
            self.read_links(conn);
            return self.write_signed_answers(conn);
        }
        if let Some(links) = &mut self.links {
            links.front.linger_if_answered(now, conn, &mut self.net, &mut self.due);
            let gone = links.front.take_cancelled();
            gone.into_iter().for_each(|handle| self.on_request_cancelled(handle));
        }
    }

    pub(super) fn read_links(&mut self, conn: ConnectionKey) {
        let Some(links) = &mut self.links else { return };
        let asks = links.front.on_ready(self.now, conn, &mut self.net, &mut self.due);
        asks.into_iter().for_each(|ask| self.on_signed_request(ask));
    }

    pub(super) fn on_request_cancelled(&mut self, handle: RequestHandle) {
        let request = Key::from_number(handle.number());
        self.remove_pending(request);
        self.core.cancel(self.now, request, &mut self.due);
    }

    pub(super) fn add_pending(&mut self, request: RequestKey, waiting: PendingRequest) {
        self.bodies += waiting.body.len();
        self.ids.insert(waiting.trace.clone());
        self.pending.insert(request, waiting);
    }

    pub(super) fn remove_pending(&mut self, request: RequestKey) {
        if let Some(waiting) = self.pending.remove(&request) {
            self.bodies -= waiting.body.len();
            self.ids.remove(&waiting.trace);
        }
    }

    /// Whether there is no room for another request: refused now, it does no harm.
    pub(super) fn is_full(&self, conn: ConnectionKey) -> bool {
        let held = self.net.held_bytes() + self.core.held_bytes() + self.bodies;
        self.budget.is_full(held, self.net.unwritten(conn))
            || self.pending.len() >= self.names.max_open_requests
    }

    /// Hands in a request of the second front, which has checked its right.
    pub(super) fn on_signed_request(&mut self, ask: signed::SignedEvent) {
        let signed::SignedEvent::Request { conn, index, target, etags, expires } = ask;
        let RequestTarget { route, object, group, part } = target;
        let (full, now) = (self.is_full(conn), self.now);
        let Some(links) = self.links.as_mut().filter(|links| links.front.is_open(conn, index)) else {
            return;
        };
        let Some((class, patience)) = links.classes.get(route.0).copied() else { return };
        if full {
            let refused = FinalAnswer::Rejected {
                retry_after: self.core.retry_after(class),
                timed_out: false,
                reason: RejectionReason::ProxyFull,
            };
            self.core.count_answer(class, &refused);
            return links.front.set_answer(
                conn,
                index,
                translate::answer(refused, &[], self.net.unix_time()),
            );
        }
        let expires = Some(expires);
        let ask = ClientRequest { class, object, part, group, timeout: patience, authorized_until: expires };
        let request = self.core.submit(now, ask, &mut self.due);
        links.front.bind(conn, index, RequestHandle::from_number(request.number()));
        // The servers know a request by an id that no other edge proxy's requests have.
        let trace = format!("{:016x}", self.seed ^ request.number().rotate_left(32));
        let (client, item, body) = (Client::Signed { conn }, format!("{:016x}", object.0), Bytes::new());
        self.add_pending(
            request,
            PendingRequest { client, tags: etags, class, trace, item, idempotency_key: None, body },
        );
    }

    pub(super) fn on_thrift_events(&mut self, asks: Vec<thrift::ThriftEvent>) {
        for ask in asks {
            match ask {
                thrift::ThriftEvent::Request { conn, seqid, fields, body, arrived } => {
                    let class = translate::class(&fields, &self.names);
                    if let Some(refused) = self.refused_call(conn, class) {
                        let asks =
                            self.thrift.answer(self.now, conn, seqid, refused, &mut self.net, &mut self.due);
                        self.on_thrift_events(asks);
                    } else if self.thrift.is_open(conn, seqid) {
                        let form = translate::form(&fields, &self.names).and_then(|form| match &form {
                            _ if body.len() > thrift::MAX_BODY_BYTES => Err("the body is too long".into()),
                            form if self.ids.contains(&form.trace) => Err("trace is another's".into()),
                            _ => Ok(form),
                        });
                        let class = translate::class(&fields, &self.names);
                        // The client's patience has run since it asked.
                        let waited = self.now - arrived;
                        let form =
                            form.map(|form| RequestFields { patience: form.patience - waited, ..form });
                        self.invoke(conn, seqid, class, form, body);
                    }
                }
                thrift::ThriftEvent::RequestOverLimit { conn, seqid, fields } => {
                    let class = translate::class(&fields, &self.names);
                    let refused = self.refused_call(conn, class).unwrap_or_else(|| self.refuse(class));
                    self.answer_unbound(conn, seqid, refused);
                }
                thrift::ThriftEvent::Ping { conn, seqid } => {
                    if !self.admitting.refusing.contains_key(&conn) {
                        self.in_good_standing(conn);
                    }
                    self.answer_unbound(conn, seqid, ThriftReply::Pong(self.takes_clients()));
                }
                thrift::ThriftEvent::Cancelled(handle) => self.on_request_cancelled(handle),
            }
        }
    }

    pub(super) fn answer_unbound(&mut self, conn: ConnectionKey, seqid: SequenceId, reply: ThriftReply) {
        let asks = self.thrift.answer_unbound(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
        self.on_thrift_events(asks);
    }

    /// A refusal that the core does not hear of.
    pub(super) fn refuse(&mut self, class: Option<ClassId>) -> ThriftReply {
        let pause = self.core.retry_after(class.unwrap_or(ClassId(0)));
        self.refusal(class, pause)
    }

    /// A refusal with this pause, counted for its class.
    pub(super) fn refusal(&mut self, class: Option<ClassId>, pause: Span) -> ThriftReply {
        let refused = FinalAnswer::Rejected {
            retry_after: pause,
            timed_out: false,
            reason: RejectionReason::ProxyFull,
        };
        class.into_iter().for_each(|class| self.core.count_answer(class, &refused));
        translate::reply(refused)
    }

    pub(super) fn invoke(
        &mut self,
        conn: ConnectionKey,
        seqid: SequenceId,
        class: Option<ClassId>,
        form: Result<translate::RequestFields, String>,
        body: Bytes,
    ) {
        let refused = match form {
            Err(text) => {
                class
                    .into_iter()
                    .for_each(|class| self.core.count_answer(class, &FinalAnswer::Failed { late: false }));
                Err(ThriftReply::Exception {
                    name: "invoke".into(),
                    kind: ExceptionKind::ProtocolError,
                    text,
                })
            }
            Ok(_) if self.is_full(conn) => Err(self.refuse(class)),
            Ok(form) => Ok(form),
        };
        let form = match refused {
            Ok(form) => form,
            Err(reply) => {
                let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                return self.on_thrift_events(asks);
            }
        };
        self.in_good_standing(conn);
        let translate::RequestFields {
            class,
            object,
            part,
            group,
            patience,
            trace,
            item,
            seen,
            idempotency_key,
        } = form;
        let patience = (patience - WAY).max(LEAST_PATIENCE);
        let ask = ClientRequest { class, object, part, group, timeout: patience, authorized_until: None };
        let request = self.core.submit(self.now, ask, &mut self.due);
        self.thrift.bind(conn, seqid, RequestHandle::from_number(request.number()));
        let (client, tags) = (Client::Thrift { conn, seqid }, Vec::from_iter(seen));
        // A copy: a slice would keep the whole buffer that the frame came in.
        let body = Bytes::copy_from_slice(&body);
        self.add_pending(request, PendingRequest { client, tags, class, trace, item, idempotency_key, body });
    }
}
