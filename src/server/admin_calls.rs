//! Operators' calls on the admin endpoint.

use super::Server;
use crate::front::admin::{self, AdminAnswer, AdminCall};
use crate::net::{ConnectionKey, Role};

/// Content type of JSON bodies.
const JSON: &str = "application/json";

struct AdminReply {
    status: u16,
    content_type: &'static str,
    body: String,
}

impl AdminReply {
    fn text(status: u16, body: impl Into<String>) -> Self {
        AdminReply { status, content_type: admin::TEXT_CONTENT_TYPE, body: body.into() }
    }
}

impl Server {
    /// Accepts connections of the admin endpoint.
    pub(super) fn accept_admin_callers(&mut self) {
        self.accept_batches(&[Role::Admin]);
    }

    /// Opens an accepted connection of the admin endpoint. It is read at once, since its call has usually
    /// arrived already.
    pub(super) fn open_admin_caller(&mut self, conn: ConnectionKey) {
        if let Some(admin) = &mut self.admin {
            admin.open(self.now, conn, &mut self.net, &mut self.deadlines);
        }
        self.on_admin_ready(conn);
    }

    /// Answers the call on a connection of the admin endpoint, if it has arrived in full.
    pub(super) fn on_admin_ready(&mut self, conn: ConnectionKey) {
        let Some(admin) = &mut self.admin else { return };
        let Some(call) = admin.on_ready(self.now, conn, &mut self.net, &mut self.deadlines) else { return };
        let AdminReply { status, content_type, body } = self.answer_admin_call(call);
        if let Some(admin) = &mut self.admin {
            let answer = AdminAnswer { status, content_type, body: &body };
            admin.answer(self.now, conn, answer, &mut self.net, &mut self.deadlines);
        }
    }

    /// Whether a connection belongs to the admin endpoint.
    pub(super) fn is_admin_caller(&self, conn: ConnectionKey) -> bool {
        self.admin.as_ref().is_some_and(|admin| admin.owns(conn))
    }

    fn answer_admin_call(&self, call: AdminCall) -> AdminReply {
        match call {
            AdminCall::Healthcheck if self.is_ready_for_clients() => AdminReply::text(200, "ok\n"),
            AdminCall::Healthcheck if self.phase.is_shutting_down() => AdminReply::text(503, "stopping\n"),
            AdminCall::Healthcheck => AdminReply::text(503, "starting\n"),
            AdminCall::Stats => AdminReply::text(200, self.metrics()),
            AdminCall::Federation => match self.federation.json() {
                Some(body) => AdminReply { status: 200, content_type: JSON, body },
                None => AdminReply { status: 404, content_type: JSON, body: String::new() },
            },
        }
    }

    /// Whether clients should be sent to this process. They should not during a shutdown, nor before the
    /// first endpoint list, without which their requests would be rejected.
    pub(super) fn is_ready_for_clients(&self) -> bool {
        self.endpoints.has_full_list && !self.phase.is_shutting_down()
    }
}
