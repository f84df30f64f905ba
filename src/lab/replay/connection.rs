//! A client's connection to the edge proxy, and its open requests.

use super::request_outcome::RequestOutcome;
use crate::standin::thrift_client;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// A request that has no answer yet.
pub(super) struct OpenRequest {
    /// Index of the request's class in the trace's map.
    pub(super) class: usize,
    /// When the request was sent, from the start of the replay.
    pub(super) sent: Duration,
}

/// The open requests of one connection, by sequence number. They are shared with the thread that reads the
/// answers.
#[derive(Clone, Default)]
pub(super) struct OpenRequests(Arc<Mutex<BTreeMap<i32, OpenRequest>>>);

impl OpenRequests {
    pub(super) fn lock(&self) -> MutexGuard<'_, BTreeMap<i32, OpenRequest>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the edge proxy.
pub(super) struct ClientConnection {
    stream: TcpStream,
    pub(super) open: OpenRequests,
}

impl ClientConnection {
    /// Connects, and reads answers in a thread of its own; `None` if the connect failed.
    pub(super) fn open(
        target: SocketAddr,
        started: Instant,
        outcomes: &Sender<RequestOutcome>,
    ) -> Option<Self> {
        let stream = TcpStream::connect(target).ok()?;
        stream.set_nodelay(true).ok()?;
        let read_half = stream.try_clone().ok()?;
        let open = OpenRequests::default();
        let (shared, outcomes) = (open.clone(), outcomes.clone());
        thread::spawn(move || read_answers(read_half, &shared, started, &outcomes));
        Some(ClientConnection { stream, open })
    }

    /// Writes a request's frame; `false` if the connection has ended.
    pub(super) fn write(&mut self, seqid: i32, request: OpenRequest, frame: &[u8]) -> bool {
        self.open.lock().insert(seqid, request);
        let is_written = self.stream.write_all(frame).is_ok();
        if !is_written {
            self.open.lock().remove(&seqid);
        }
        is_written
    }

    /// Closes the connection, which ends its reading thread.
    pub(super) fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Reads answers until the connection ends.
fn read_answers(
    mut stream: TcpStream,
    open: &OpenRequests,
    started: Instant,
    outcomes: &Sender<RequestOutcome>,
) {
    let (mut input, mut buffer) = (Vec::new(), vec![0; READ_BYTES]);
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            return;
        }
        input.extend_from_slice(&buffer[..count]);
        while let Ok(Some(answer)) = thrift_client::take_answer(&mut input) {
            let request = open.lock().remove(&answer.seqid);
            if let Some(OpenRequest { class, sent }) = request {
                let latency = started.elapsed().saturating_sub(sent);
                let _ = outcomes.send(RequestOutcome { class, sent, latency, answer: Some(answer.kind) });
            }
        }
    }
}
