//! The handover between processes of one machine, over a Unix socket in `$TMPDIR` that is named after the
//! clients' address. When a process ends, its stream ends. Connections are handed over as descriptors
//! (SCM_RIGHTS).

use super::message::{self, Message};
use super::sibling::{HandoverListener, InheritedConnection, InheritedStream, Sibling};
use super::EventSource;
use crate::net::{Net, Stream};
use mio::net::{UnixListener, UnixStream};
use rustix::io::Errno;
use rustix::net::{recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use tracing::{info, warn};

/// Maximum number of bytes per read.
const READ_BYTES: usize = 4096;
/// Maximum number of descriptors per read.
const MAX_DESCRIPTORS_PER_READ: usize = 16;

/// The stream to another process.
pub(super) struct SocketSibling {
    stream: UnixStream,
    clients: usize,
    /// Bytes that have arrived and are not a complete message yet.
    received: Vec<u8>,
    /// Descriptors that have arrived before the rest of their message.
    descriptors: VecDeque<OwnedFd>,
    /// The rest of a message that was sent in part.
    unsent: Vec<u8>,
}

/// Result of a read from the stream.
enum ReadOutcome {
    Data,
    WouldBlock,
    Ended,
}

impl SocketSibling {
    fn new(mut stream: UnixStream, source: EventSource, net: &mut Net) -> io::Result<Self> {
        net.watch(&mut stream, source.number())?;
        Ok(SocketSibling {
            stream,
            clients: 0,
            received: Vec::new(),
            descriptors: VecDeque::new(),
            unsent: Vec::new(),
        })
    }

    /// Reads bytes and descriptors once.
    fn read_once(&mut self) -> ReadOutcome {
        let mut bytes = [0; READ_BYTES];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let flags = RecvFlags::CMSG_CLOEXEC;
        let length = loop {
            match recvmsg(&self.stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, flags) {
                Ok(message) if message.bytes == 0 => return ReadOutcome::Ended,
                Ok(message) => break message.bytes,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return ReadOutcome::WouldBlock,
                Err(_) => return ReadOutcome::Ended,
            }
        };
        self.received.extend_from_slice(&bytes[..length]);
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        ReadOutcome::Data
    }

    /// Handles the messages that have arrived in full; returns `false` if the other process sent something
    /// else.
    fn handle_messages(&mut self, inherited: &mut Vec<InheritedConnection>) -> bool {
        loop {
            match message::decode(&mut self.received) {
                Ok(None) => return true,
                Ok(Some(Message::ClientCount(clients))) => self.clients = clients,
                Ok(Some(Message::Connection { unprocessed })) => {
                    // A descriptor arrives no later than the first byte of its message.
                    let Some(descriptor) = self.descriptors.pop_front() else { return false };
                    let stream = InheritedStream::Tcp(TcpStream::from(descriptor));
                    inherited.push(InheritedConnection { stream, unprocessed });
                }
                Err(_) => return false,
            }
        }
    }

    /// Sends the rest of the last message; returns `false` if some of it is still unsent.
    fn flush(&mut self) -> bool {
        while !self.unsent.is_empty() {
            match self.stream.write(&self.unsent) {
                Ok(n) => drop(self.unsent.drain(..n)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Sends a message, with a descriptor if one is given; returns `false` if nothing of it was sent.
    fn send(&mut self, header: &[u8], unprocessed: &[u8], descriptor: Option<&mio::net::TcpStream>) -> bool {
        if !self.flush() {
            return false;
        }
        let descriptors: Vec<_> = descriptor.iter().map(|stream| stream.as_fd()).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return false;
        }
        let parts = [IoSlice::new(header), IoSlice::new(unprocessed)];
        let sent = loop {
            match sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL) {
                Ok(sent) => break sent,
                Err(Errno::INTR) => {}
                Err(_) => return false,
            }
        };
        self.unsent = [header, unprocessed].concat().split_off(sent);
        true
    }
}

impl Sibling for SocketSibling {
    fn clients(&self) -> usize {
        self.clients
    }

    fn receive(&mut self, inherited: &mut Vec<InheritedConnection>) -> bool {
        loop {
            match self.read_once() {
                ReadOutcome::Data if self.handle_messages(inherited) => {}
                ReadOutcome::WouldBlock => return true,
                ReadOutcome::Data | ReadOutcome::Ended => return false,
            }
        }
    }

    fn send_client_count(&mut self, clients: usize) -> bool {
        self.send(&message::client_count(clients), &[], None)
    }

    fn send_connection(&mut self, stream: &Stream, unprocessed: &[u8]) -> bool {
        let Stream::Tcp(stream) = stream else { return false };
        self.send(&message::connection_header(unprocessed), unprocessed, Some(stream))
    }
}

/// The socket path at which the next process finds this one.
pub(super) struct SocketListener {
    path: PathBuf,
    /// Accepts the next process. `None` while there is one, or if listening failed.
    listener: Option<UnixListener>,
    /// Whether the last accept failed, so a newer process may still be waiting.
    newer_accept_pending: bool,
}

impl SocketListener {
    /// Connects to the process that serves an address now, and listens in its place.
    pub fn open(addr: SocketAddr, net: &mut Net) -> (Self, Option<SocketSibling>) {
        // The name is short, since the system limits such a path to about a hundred bytes. The number in
        // `dt1` is the version of the message format.
        let path = std::env::temp_dir().join(format!("dt1-{}-{}", addr.ip(), addr.port()));
        let mut listener = SocketListener { path, listener: None, newer_accept_pending: false };
        let older = listener.connect_to_older(net);
        listener.publish(net);
        (listener, older)
    }

    fn connect_to_older(&self, net: &mut Net) -> Option<SocketSibling> {
        let connected = UnixStream::connect(&self.path)
            .and_then(|stream| SocketSibling::new(stream, EventSource::OlderProcess, net));
        match connected {
            Ok(older) => Some(older),
            // A path without a listener was left by a process that was killed. If there is no path, this is
            // the first process.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::NotFound) => None,
            Err(error) => {
                warn!(
                    "handover socket {}: connecting failed: {error}; starting without an older process",
                    self.path.display()
                );
                None
            }
        }
    }

    /// Listens at a path of this process and renames it to the common path, so that the common path never
    /// disappears.
    fn listen(&self, net: &mut Net) -> io::Result<UnixListener> {
        let own_path = PathBuf::from(format!("{}.{}", self.path.display(), std::process::id()));
        // A killed process with the same id may have left its path.
        let _ = std::fs::remove_file(&own_path);
        let mut listener = UnixListener::bind(&own_path)?;
        std::fs::rename(&own_path, &self.path)?;
        net.watch(&mut listener, EventSource::HandoverListener.number())?;
        Ok(listener)
    }

    fn accept(&mut self) -> Option<UnixStream> {
        let listener = self.listener.as_ref()?;
        self.newer_accept_pending = false;
        loop {
            match listener.accept() {
                Ok((stream, _)) => return Some(stream),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return None,
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                    _ => {
                        warn!(
                            "handover socket {}: accepting a newer process failed: {error}; trying again",
                            self.path.display()
                        );
                        self.newer_accept_pending = true;
                        return None;
                    }
                },
            }
        }
    }
}

impl HandoverListener for SocketListener {
    fn publish(&mut self, net: &mut Net) {
        let listener = self.listen(net);
        self.listener = listener
            .map_err(|error| {
                warn!(
                    "handover socket {}: listening failed: {error}; no newer process can take over",
                    self.path.display()
                )
            })
            .ok();
    }

    fn accept_newer(&mut self, _: bool, net: &mut Net) -> Option<Box<dyn Sibling>> {
        let stream = self.accept()?;
        let newer = SocketSibling::new(stream, EventSource::NewerProcess, net).ok()?;
        info!("a newer process takes over");
        // The next process after that one connects to the newer process, not to this one.
        if let Some(mut listener) = self.listener.take() {
            let _ = net.unwatch(&mut listener); // closing the listener ends the watch too
        }
        Some(Box::new(newer))
    }

    fn newer_accept_pending(&self) -> bool {
        self.newer_accept_pending
    }

    fn close(&mut self) {
        if self.listener.take().is_some() {
            let _ = std::fs::remove_file(&self.path); // the next process replaces a stale path
        }
    }
}
