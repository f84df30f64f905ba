//! The operators' calls, and the figures that they are told: read where they are kept, worded here alone.

use super::Server;
use crate::front::admin::{self, AdminAnswer, AdminCall};
use crate::interface::ClassId;
use crate::net::{ConnectionKey, Role};
use std::collections::BTreeMap;
use std::fmt::Write;

impl Server {
    /// Takes the callers that wait; each is read from at once, since its call is there already as a rule.
    pub(super) fn accept_callers(&mut self) {
        while let Some(conn) = self.accept_one(Role::Admin) {
            if let Some(admin) = &mut self.admin {
                admin.front.open(self.now, conn, &mut self.net, &mut self.due);
            }
            self.called(conn);
        }
    }

    /// A caller's connection may be read from: answers the call that is whole now.
    pub(super) fn called(&mut self, conn: ConnectionKey) {
        let Some(admin) = &mut self.admin else { return };
        let Some(call) = admin.front.on_ready(self.now, conn, &mut self.net, &mut self.due) else { return };
        let (status, body) = match call {
            AdminCall::Healthcheck if self.takes_clients() => (200, "ok\n".into()),
            AdminCall::Healthcheck if self.stopping.is_some() => (503, "stopping\n".into()),
            AdminCall::Healthcheck => (503, "starting\n".into()),
            AdminCall::Stats => (200, self.figures()),
            AdminCall::Federation => match self.federation.json() {
                Some(json) => (200, json),
                None => (404, String::new()),
            },
        };
        let kind = if call == AdminCall::Federation { "application/json" } else { admin::TEXT };
        if let Some(admin) = &mut self.admin {
            let answer = AdminAnswer { status, content_type: kind, body: &body };
            admin.front.answer(self.now, conn, answer, &mut self.net, &mut self.due);
        }
    }

    /// Whether clients are welcome: one that stops takes none any more, or not for long, and one without a list would
    /// have to refuse them.
    pub(super) fn takes_clients(&self) -> bool {
        self.listed && self.stopping.is_none()
    }

    /// All figures, a line each.
    pub(super) fn figures(&self) -> String {
        // A class whose rules were changed has had several numbers: its name's figures are the sum.
        let mut classes: BTreeMap<&str, [u64; 4]> = BTreeMap::new();
        for (number, name) in self.names.class_names().enumerate() {
            let class = ClassId(number as u16);
            let answered = self.core.answer_counts(class);
            let new =
                [answered.success, answered.overload, answered.error, self.upstream.written_requests(class)];
            let sums = classes.entry(name).or_default();
            sums.iter_mut().zip(new).for_each(|(sum, new)| *sum += new);
        }
        let mut text = String::new();
        let mut line = |key: &str, value: u64| {
            let _ = writeln!(text, "{key}={value}"); // a string takes all
        };
        for (name, [success, overload, error, dispatches]) in &classes {
            line(&format!("replies.{name}.success"), *success);
            line(&format!("replies.{name}.overload"), *overload);
            line(&format!("replies.{name}.error"), *error);
            line(&format!("replies.{name}.dispatches"), *dispatches);
        }
        for rejections in self.core.rejections() {
            line(&format!("refused.{}", rejections.reason), rejections.count);
        }
        let caches = self.core.cache_counts();
        line("dispatches", classes.values().map(|sums| sums[3]).sum());
        line("concurrent", self.pending.len() as u64);
        line("targets", caches.listed as u64);
        line("targets_disabled", caches.avoided as u64);
        line("reload_success", self.reloads[0]);
        line("reload_failure", self.reloads[1]);
        self.admission_figures(&mut line);
        self.federation.figures(&mut line);
        text
    }
}
