//! Requests between the fronts and the core: taken in, refused where there is no room, answered and given up.

use super::translate::{self, Form};
use super::{Client, Server, Waiting};
use crate::core::{Ask, Final, RequestKey};
use crate::front::signed::{self, route::Place};
use crate::front::thrift::{self, codec::Reply};
use crate::interface::{ClassId, Micros, ObjectId, RejectionReason};
use crate::net::ConnKey;
use crate::slots::Key;
use crate::GroupId;
use bytes::Bytes;

/// A client counts its patience from its send; the request has been under way for about this long, us.
const WAY: Micros = 12_000;

impl Server {
    /// A request's answer has begun.
    pub(super) fn over(&mut self, request: RequestKey) {
        self.forget(request);
        self.core.answer_begun(self.now, request, &mut self.due);
    }

    /// Writes what answers of a second front's connection have their turn, each as it is at its first byte.
    pub(super) fn advance(&mut self, conn: ConnKey) {
        let now = self.now;
        while let Some(links) = &mut self.links {
            let Some(number) = links.front.next(now, conn, &mut self.net, &mut self.due) else { break };
            let request = Key::from_number(number);
            let Some(answer) = self.core.answer_now(now, request) else { break };
            let tags = self.waiting.get(&request).map(|waiting| &waiting.tags[..]).unwrap_or_default();
            let answer = translate::answer(answer, tags, self.net.unix_time());
            if !links.front.begin(now, conn, answer, &mut self.net, &mut self.due) {
                break;
            }
            self.over(request);
        }
        if self.links.as_ref().is_some_and(|links| links.front.has_more(conn)) {
            self.read_links(conn);
            return self.advance(conn);
        }
        if let Some(links) = &mut self.links {
            links.front.finish(now, conn, &mut self.net, &mut self.due);
            let gone = links.front.gone();
            gone.into_iter().for_each(|number| self.gone(number));
        }
    }

    pub(super) fn read_links(&mut self, conn: ConnKey) {
        let Some(links) = &mut self.links else { return };
        let asks = links.front.ready(self.now, conn, &mut self.net, &mut self.due);
        asks.into_iter().for_each(|ask| self.get(ask));
    }

    pub(super) fn gone(&mut self, number: u64) {
        let request = Key::from_number(number);
        self.forget(request);
        self.core.cancel(self.now, request, &mut self.due);
    }

    pub(super) fn wait(&mut self, request: RequestKey, waiting: Waiting) {
        self.bodies += waiting.body.len();
        self.ids.insert(waiting.trace.clone());
        self.waiting.insert(request, waiting);
    }

    pub(super) fn forget(&mut self, request: RequestKey) {
        if let Some(waiting) = self.waiting.remove(&request) {
            self.bodies -= waiting.body.len();
            self.ids.remove(&waiting.trace);
        }
    }

    /// Whether there is no room for another request: refused now, it does no harm.
    pub(super) fn is_full(&self, conn: ConnKey) -> bool {
        let held = self.net.held() + self.core.held() + self.bodies;
        self.budget.is_full(held, self.net.unwritten(conn)) || self.waiting.len() >= self.names.most_held
    }

    /// Hands in a request of the second front, which has checked its right.
    pub(super) fn get(&mut self, ask: signed::Ask) {
        let signed::Ask::Get { conn, number, place, tags, expires } = ask;
        let Place { route, object, group, part } = place;
        let (full, now) = (self.is_full(conn), self.now);
        let Some(links) = self.links.as_mut().filter(|links| links.front.is_open(conn, number)) else {
            return;
        };
        let Some((class, patience)) = links.classes.get(route).copied() else { return };
        if full {
            let refused = Final::Refused { pause: self.core.pause(class), late: false, why: RejectionReason::Full };
            self.core.count(class, &refused);
            return links.front.say(conn, number, translate::answer(refused, &[], self.net.unix_time()));
        }
        let (object, group, expires) = (ObjectId(object), GroupId(group), Some(expires));
        let ask = Ask { class, object, part, group, patience, expires };
        let request = self.core.submit(now, ask, &mut self.due);
        links.front.bind(conn, number, request.number());
        // The servers know a request by an id that no other edge proxy's requests have.
        let trace = format!("{:016x}", self.seed ^ request.number().rotate_left(32));
        let (client, item, body) = (Client::Signed { conn }, format!("{:016x}", object.0), Bytes::new());
        self.wait(request, Waiting { client, tags, class, trace, item, idempotency_key: None, body });
    }

    pub(super) fn asked(&mut self, asks: Vec<thrift::Ask>) {
        for ask in asks {
            match ask {
                thrift::Ask::Invoke { conn, seqid, fields, body, arrived } => {
                    let class = translate::class(&fields, &self.names);
                    if let Some(refused) = self.refused_call(conn, class) {
                        let asks =
                            self.thrift.answer(self.now, conn, seqid, refused, &mut self.net, &mut self.due);
                        self.asked(asks);
                    } else if self.thrift.is_open(conn, seqid) {
                        let form = translate::form(&fields, &self.names).and_then(|form| match &form {
                            _ if body.len() > thrift::MOST_BODY => Err("the body is too long".into()),
                            form if self.ids.contains(&form.trace) => Err("trace is another's".into()),
                            _ => Ok(form),
                        });
                        let class = translate::class(&fields, &self.names);
                        // The client's patience has run since it asked.
                        let waited = self.now - arrived;
                        let form = form.map(|form| Form { patience: form.patience - waited, ..form });
                        self.invoke(conn, seqid, class, form, body);
                    }
                }
                thrift::Ask::Over { conn, seqid, fields } => {
                    let class = translate::class(&fields, &self.names);
                    let refused = self.refused_call(conn, class).unwrap_or_else(|| self.refuse(class));
                    self.say(conn, seqid, refused);
                }
                thrift::Ask::Ping { conn, seqid } => {
                    if !self.admitting.refusing.contains_key(&conn) {
                        self.in_good_standing(conn);
                    }
                    self.say(conn, seqid, Reply::Pong(self.takes_clients()));
                }
                thrift::Ask::Cancelled(number) => self.gone(number),
            }
        }
    }

    pub(super) fn say(&mut self, conn: ConnKey, seqid: i32, reply: Reply) {
        let asks = self.thrift.say(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
        self.asked(asks);
    }

    /// A refusal that the core does not hear of.
    pub(super) fn refuse(&mut self, class: Option<ClassId>) -> Reply {
        let pause = self.core.pause(class.unwrap_or(ClassId(0)));
        self.refusal(class, pause)
    }

    /// A refusal with this pause (us), counted for its class.
    pub(super) fn refusal(&mut self, class: Option<ClassId>, pause: Micros) -> Reply {
        let refused = Final::Refused { pause, late: false, why: RejectionReason::Full };
        class.into_iter().for_each(|class| self.core.count(class, &refused));
        translate::reply(refused)
    }

    pub(super) fn invoke(
        &mut self,
        conn: ConnKey,
        seqid: i32,
        class: Option<ClassId>,
        form: Result<translate::Form, String>,
        body: Bytes,
    ) {
        let refused = match form {
            Err(text) => {
                class.into_iter().for_each(|class| self.core.count(class, &Final::Failed { late: false }));
                Err(Reply::Exception { name: "invoke".into(), kind: 7, text })
            }
            Ok(_) if self.is_full(conn) => Err(self.refuse(class)),
            Ok(form) => Ok(form),
        };
        let form = match refused {
            Ok(form) => form,
            Err(reply) => {
                let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                return self.asked(asks);
            }
        };
        self.in_good_standing(conn);
        let translate::Form { class, object, part, group, patience, trace, item, seen, idempotency_key } =
            form;
        let patience = (patience - WAY).max(1);
        let ask = Ask { class, object, part, group, patience, expires: None };
        let request = self.core.submit(self.now, ask, &mut self.due);
        self.thrift.bind(conn, seqid, request.number());
        let (client, tags) = (Client::Thrift { conn, seqid }, Vec::from_iter(seen));
        // A copy: a slice would keep the whole buffer that the frame came in.
        let body = Bytes::copy_from_slice(&body);
        self.wait(request, Waiting { client, tags, class, trace, item, idempotency_key, body });
    }
}
