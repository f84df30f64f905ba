//! A client that answers, logs and reconnects without being driven by a test.

use super::log_clock::log_time;
use super::state::ClientState;
use super::stream::{ClientPlan, ClientStream, ReceivedResponse};
use crate::control::resource::ResourceType;
use crate::lab::views::{ClientEvent, LogEntry, View};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Wait after a failed connect before the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

struct Client {
    plan: ClientPlan,
    state: ClientState,
    log: mpsc::UnboundedSender<LogEntry>,
}

/// Runs a client until `stop` is true: it receives views, answers and logs them, and reconnects with the
/// state it has.
pub async fn run_client(
    plan: ClientPlan,
    log: mpsc::UnboundedSender<LogEntry>,
    mut stop: watch::Receiver<bool>,
) {
    let mut client = Client { plan, state: ClientState::default(), log };
    while !*stop.borrow() {
        match ClientStream::open(&client.plan).await {
            Ok(stream) => client.serve(stream, &mut stop).await,
            Err(_) => {
                tokio::select! {
                    () = tokio::time::sleep(RECONNECT_DELAY) => {}
                    _ = stop.wait_for(|stop| *stop) => return,
                }
            }
        }
    }
}

impl Client {
    /// Receives and answers views until the stream ends or the client is stopped.
    async fn serve(&mut self, mut stream: ClientStream, stop: &mut watch::Receiver<bool>) {
        self.log(ClientEvent::Connected);
        for resource_type in ResourceType::ALL {
            stream.subscribe(resource_type, &self.state).await;
        }
        loop {
            let mut state = self.state.clone();
            let received = tokio::select! {
                received = stream.receive(&mut state) => received,
                _ = stop.wait_for(|stop| *stop) => break,
            };
            let Ok(Some(received)) = received else { break };
            match self.missing_server(&received.view) {
                Some(missing) => self.reject(&mut stream, received, &missing).await,
                None => self.accept(&mut stream, received, state).await,
            }
        }
        self.log(ClientEvent::Ended);
    }

    /// Returns the required server if the view is one of endpoints without it, so that the client rejects the
    /// view. This happens only once: the server is not required after that.
    fn missing_server(&mut self, view: &View) -> Option<String> {
        let is_endpoints = view.resource_type == ResourceType::Endpoints;
        let is_missing = |server: &mut String| is_endpoints && !view.servers.contains(server);
        self.plan.required_server.take_if(is_missing)
    }

    async fn accept(&mut self, stream: &mut ClientStream, received: ReceivedResponse, state: ClientState) {
        self.state = state;
        self.state.versions.insert(received.resource_type, received.version.clone());
        self.log(ClientEvent::Received(received.view.clone()));
        stream.ack(&received).await;
    }

    async fn reject(&mut self, stream: &mut ClientStream, received: ReceivedResponse, missing: &str) {
        let view = View { accepted: false, ..received.view.clone() };
        self.log(ClientEvent::Received(view));
        let in_force = self.state.version(received.resource_type);
        stream.nack(&received, &in_force, &format!("{missing} is missing")).await;
    }

    fn log(&self, event: ClientEvent) {
        let entry = LogEntry { client: self.plan.name.clone(), at: log_time(), event };
        let _ = self.log.send(entry);
    }
}
