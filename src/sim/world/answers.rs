//! Checks the answers that clients receive.

use super::traffic::PlannedRequest;
use super::World;
use crate::interface::Instant;
use crate::standin::ids::ClientId;
use crate::standin::thrift_client::{self, Answer, AnswerKind};
use serde_json::json;

impl World<'_> {
    /// Handles bytes that have reached a client: checks each answer once it is complete.
    pub(super) fn client_received(&mut self, id: ClientId, bytes: &[u8]) {
        self.client(id).input.extend_from_slice(bytes);
        loop {
            match thrift_client::take_answer(&mut self.client(id).input) {
                Ok(Some(answer)) => self.client_answered(id, &answer),
                Ok(None) => return,
                Err(error) => return self.rules.record_breach(self.now, "unreadable", error.to_string()),
            }
        }
    }

    fn client_answered(&mut self, id: ClientId, answer: &Answer) {
        let client = self.client(id);
        let Some(open) = client.open.remove(&answer.seqid) else {
            if !client.cancelled.contains(&answer.seqid) {
                let text = format!("client {id} has a second answer to {}", answer.seqid);
                self.rules.record_breach(self.now, "second-answer", text);
            }
            return;
        };
        let request = self.request(open.number).clone();
        self.rules.answered(self.now, &request.trace, open.sent, request.client_timeout);
        match answer.kind {
            AnswerKind::Served => {
                self.answers.served += 1;
                self.check_served(&request, open.sent, &answer.body);
            }
            AnswerKind::Rejected => {
                self.answers.rejected += 1;
                self.check_retry_after(&request, answer);
            }
            AnswerKind::Failed => self.answers.failed += 1,
        }
    }

    /// Checks that the body is that of the requested object, or of the write, and is not older than a purge.
    fn check_served(&mut self, request: &PlannedRequest, sent: Instant, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        let wanted = if request.is_write() {
            format!("done:{};", request.trace)
        } else {
            format!("{}:{}:", request.object, request.part)
        };
        let Some(rest) = text.strip_prefix(&wanted) else {
            let text = format!("{} is served {:.60}, not {wanted}", request.trace, text);
            return self.rules.record_breach(self.now, "wrong-bytes", text);
        };
        let handed_out = rest.split(';').next().and_then(|micros| micros.parse().ok());
        if let Some(handed_out) = handed_out.filter(|_| !request.is_write()) {
            self.rules.served(self.now, &request.object, Instant::from_micros(handed_out), sent);
        }
    }

    /// Checks that a rejection carries a Retry-After exactly if the site's settings ask for it.
    fn check_retry_after(&mut self, request: &PlannedRequest, answer: &Answer) {
        let field = answer.fields.iter().find(|(name, _)| name == "pause");
        let pause = field.and_then(|(_, ms)| ms.parse::<i64>().ok()).unwrap_or(0);
        let advised = self.base_config["settings"]["limits"]["retry_after"] == json!(true);
        if (pause > 0) != advised {
            let text = format!("{} is refused with {pause}, advised: {advised}", request.trace);
            self.rules.record_breach(self.now, "no-pause", text);
        }
    }
}
