//! How two processes of one edge proxy know of each other while the newer takes over from the older: by a Unix socket
//! in `$TMPDIR`, named after the clients' address. Each sees the other's end at once, as the end of a stream; each tells
//! the other how many clients' connections it holds, since they share one limit; and the older hands its connections on.

use crate::net::fabric::{Fabric, ProcessMessage, VirtualStream};
use crate::net::{Net, Stream};
use mio::net::{UnixListener, UnixStream};
use rustix::net::{recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use tracing::{info, warn};

/// The numbers under which the loop watches what belongs to this.
pub(super) const PLACE: usize = 4;
pub(super) const OLDER: usize = 5;
pub(super) const NEWER: usize = 6;
/// Bytes of a message's head: its kind, and a number.
const HEAD: usize = 5;
/// The number is the sender's count of clients' connections.
const COUNT: u8 = 0;
/// A connection comes with the message; the number is the length of the bytes that were read there and not used.
const CONNECTION: u8 = 1;
/// More than a client's longest frame: a larger number is no message.
const MOST_UNUSED: usize = 1 << 20;
/// Descriptors that one read may bring.
const AT_ONCE: usize = 16;

/// A client's connection, and what was read there and not used.
pub(super) type Handed = (HandedStream, Vec<u8>);

/// A connection as it is handed on.
pub(super) enum HandedStream {
    /// A socket.
    Stream(TcpStream),
    /// An end in the simulator.
    End(VirtualStream),
}

/// The other process's end.
struct Socket {
    stream: UnixStream,
    clients: usize,
    part: Vec<u8>,
    fds: VecDeque<OwnedFd>,
    /// The rest of a message that did not go whole.
    rest: Vec<u8>,
}

impl Socket {
    fn new(mut stream: UnixStream, number: usize, net: &mut Net) -> io::Result<Self> {
        net.watch(&mut stream, number)?;
        Ok(Socket { stream, clients: 0, part: Vec::new(), fds: VecDeque::new(), rest: Vec::new() })
    }

    /// Takes in what it sent; `false`: it has ended.
    fn read(&mut self, handed: &mut Vec<Handed>) -> bool {
        let mut bytes = [0; 4096];
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(AT_ONCE))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let flags = RecvFlags::CMSG_CLOEXEC;
            match recvmsg(&self.stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, flags) {
                Ok(got) if got.bytes == 0 => return false,
                Ok(got) => self.part.extend_from_slice(&bytes[..got.bytes]),
                Err(rustix::io::Errno::INTR) => continue,
                Err(rustix::io::Errno::AGAIN) => return true,
                Err(_) => return false,
            }
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    self.fds.extend(fds);
                }
            }
            if !self.messages(handed) {
                return false;
            }
        }
    }

    /// Takes the whole messages out of what has come; `false`: it is something else.
    fn messages(&mut self, handed: &mut Vec<Handed>) -> bool {
        while let Some([kind, number @ ..]) = self.part.first_chunk::<HEAD>() {
            let number = u32::from_be_bytes(*number) as usize;
            let length = match *kind {
                COUNT => 0,
                CONNECTION if number <= MOST_UNUSED => number,
                _ => return false,
            };
            if self.part.len() < HEAD + length {
                break;
            }
            if *kind == COUNT {
                self.clients = number;
            } else {
                // A descriptor comes no later than its message's first byte.
                let Some(fd) = self.fds.pop_front() else { return false };
                handed.push((
                    HandedStream::Stream(TcpStream::from(fd)),
                    self.part[HEAD..HEAD + length].to_vec(),
                ));
            }
            self.part.drain(..HEAD + length);
        }
        true
    }

    /// Sends a message, with a descriptor perhaps; `false`: nothing of it went.
    fn send(&mut self, kind: u8, number: usize, bytes: &[u8], stream: Option<&mio::net::TcpStream>) -> bool {
        while !self.rest.is_empty() {
            match self.stream.write(&self.rest) {
                Ok(n) => drop(self.rest.drain(..n)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        let [a, b, c, d] = u32::try_from(number).unwrap_or(u32::MAX).to_be_bytes();
        let head = [kind, a, b, c, d];
        let fds: Vec<_> = stream.iter().map(|stream| stream.as_fd()).collect();
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !fds.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&fds)) {
            return false;
        }
        let parts = [IoSlice::new(&head), IoSlice::new(bytes)];
        let sent = loop {
            match sendmsg(&self.stream, &parts, &mut control, SendFlags::NOSIGNAL) {
                Ok(sent) => break sent,
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => return false,
            }
        };
        self.rest = [&head[..], bytes].concat().split_off(sent);
        true
    }
}

/// The other process, in the simulator.
struct Peer {
    fabric: Fabric,
    /// This process and the other one.
    ends: (u32, u32),
    /// The number under which the other one watches this one.
    there: usize,
    clients: usize,
}

/// The process before this one, or after it.
enum Sibling {
    Socket(Socket),
    Virtual(Peer),
}

impl Sibling {
    fn on_socket(stream: UnixStream, number: usize, net: &mut Net) -> io::Result<Self> {
        Socket::new(stream, number, net).map(Sibling::Socket)
    }

    fn clients(&self) -> usize {
        match self {
            Sibling::Socket(socket) => socket.clients,
            Sibling::Virtual(peer) => peer.clients,
        }
    }

    /// Reads what has come; `false`: the other one has ended.
    fn read(&mut self, handed: &mut Vec<Handed>) -> bool {
        let peer = match self {
            Sibling::Socket(socket) => return socket.read(handed),
            Sibling::Virtual(peer) => peer,
        };
        for mail in peer.fabric.take_messages(peer.ends.1, peer.ends.0) {
            match mail {
                ProcessMessage::Clients(clients) => peer.clients = clients,
                ProcessMessage::Connection(end, unused) => handed.push((HandedStream::End(end), unused)),
            }
        }
        peer.fabric.is_alive(peer.ends.1)
    }

    fn tell(&mut self, clients: usize) -> bool {
        match self {
            Sibling::Socket(socket) => socket.send(COUNT, clients, &[], None),
            Sibling::Virtual(peer) => peer.mail(ProcessMessage::Clients(clients)),
        }
    }

    fn hand(&mut self, stream: &Stream, unused: &[u8]) -> bool {
        match (self, stream) {
            (Sibling::Socket(socket), Stream::Tcp(stream)) => {
                socket.send(CONNECTION, unused.len(), unused, Some(stream))
            }
            (Sibling::Virtual(peer), Stream::Virtual(end)) => {
                // One that is passed on to nobody would be lost.
                peer.fabric.is_alive(peer.ends.1)
                    && peer.mail(ProcessMessage::Connection(end.pass(peer.ends.1), unused.to_vec()))
            }
            _ => false,
        }
    }
}

impl Peer {
    fn mail(&self, mail: ProcessMessage) -> bool {
        self.fabric.send_message(self.ends.0, self.ends.1, self.there, mail).is_ok()
    }
}

/// What is known of the process before this one and of the one after it.
pub(super) struct Handover {
    path: PathBuf,
    /// Where the next process finds this one; none while there is a next one.
    place: Option<UnixListener>,
    older: Option<Sibling>,
    newer: Option<Sibling>,
    /// In the simulator: the network, this process, and the address that names the place.
    simulated: Option<(Fabric, u32, SocketAddr)>,
    told: Option<usize>,
    /// A newer process may wait to be accepted, and was not for want of a descriptor or the like.
    missed_newer: bool,
}

impl Handover {
    /// Finds the process that serves these clients' address now, and takes its place for the next one.
    pub fn begin(addr: SocketAddr, net: &mut Net) -> Self {
        // Short: the system takes about a hundred bytes of such a path. Its number is that of the messages' form.
        let path = std::env::temp_dir().join(format!("dt1-{}-{}", addr.ip(), addr.port()));
        let older = match UnixStream::connect(&path).and_then(|stream| Sibling::on_socket(stream, OLDER, net))
        {
            Ok(older) => Some(older),
            // A place without a process is of one that was killed; without a place it is the first.
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::NotFound) => None,
            Err(error) => {
                warn!("{}: {error}; an older process is not looked for", path.display());
                None
            }
        };
        if older.is_some() {
            info!("an older process serves here and is taken over from");
        }
        let simulated = None;
        let mut handover =
            Handover { path, place: None, older, newer: None, simulated, told: None, missed_newer: false };
        handover.take_place(net);
        handover
    }

    /// The same in the simulator.
    pub fn begin_on(addr: SocketAddr, fabric: &Fabric, process: u32) -> Self {
        let peer = |other| Peer { fabric: fabric.clone(), ends: (process, other), there: NEWER, clients: 0 };
        let older = fabric.take_place(addr, process).map(|older| {
            fabric.wake_source(older, PLACE);
            Sibling::Virtual(peer(older))
        });
        let simulated = Some((fabric.clone(), process, addr));
        let path = PathBuf::new();
        Handover { path, place: None, older, newer: None, simulated, told: None, missed_newer: false }
    }

    /// Puts a place of its own where the next process looks, in one step: there is always one to be found.
    fn take_place(&mut self, net: &mut Net) {
        if let Some((fabric, process, addr)) = &self.simulated {
            fabric.take_place(*addr, *process);
            return;
        }
        let own = PathBuf::from(format!("{}.{}", self.path.display(), std::process::id()));
        let mut place = || {
            let _ = std::fs::remove_file(&own); // a process of this number may have been killed here
            let mut place = UnixListener::bind(&own)?;
            std::fs::rename(&own, &self.path)?;
            net.watch(&mut place, PLACE)?;
            Ok::<_, io::Error>(place)
        };
        let taken = place();
        self.place = taken.map_err(|error| warn!("{}: {error}; no upgrade", self.path.display())).ok();
    }

    /// Something watched under this number is ready; whether the processes are others now. Connections that the older
    /// process hands on are added to `handed`.
    pub fn ready(&mut self, number: usize, net: &mut Net, handed: &mut Vec<Handed>) -> bool {
        match number {
            PLACE if self.simulated.is_some() => {
                let Some((fabric, process, addr)) = &self.simulated else { return false };
                let newer = fabric.at_place(*addr).filter(|newer| newer != process);
                let Some(newer) = newer.filter(|_| self.newer.is_none()) else { return false };
                let peer = Peer { fabric: fabric.clone(), ends: (*process, newer), there: OLDER, clients: 0 };
                (self.newer, self.told) = (Some(Sibling::Virtual(peer)), None);
                true
            }
            PLACE => {
                let Some(stream) = self.accept_newer() else { return false };
                let Ok(newer) = Sibling::on_socket(stream, NEWER, net) else { return false };
                info!("a newer process takes over");
                (self.newer, self.told) = (Some(newer), None);
                // The next one finds the newer process.
                if let Some(mut place) = self.place.take() {
                    let _ = net.unwatch(&mut place); // it ends with the place
                }
                true
            }
            OLDER if self.older.as_mut().is_some_and(|older| !older.read(handed)) => {
                info!("the older process has ended");
                self.older = None;
                true
            }
            NEWER if self.newer.as_mut().is_some_and(|newer| !newer.read(handed)) => {
                warn!("the newer process has ended");
                self.newer = None;
                self.take_place(net);
                true
            }
            _ => false,
        }
    }

    fn accept_newer(&mut self) -> Option<UnixStream> {
        let place = self.place.as_ref()?;
        self.missed_newer = false;
        loop {
            match place.accept() {
                Ok((stream, _)) => return Some(stream),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return None,
                    ErrorKind::Interrupted | ErrorKind::ConnectionAborted => {}
                    _ => {
                        warn!("{}: {error}; a newer process is looked for again", self.path.display());
                        self.missed_newer = true;
                        return None;
                    }
                },
            }
        }
    }

    /// Whether a newer process that could not be accepted may wait: no event tells of it again.
    pub fn missed_newer(&self) -> bool {
        self.missed_newer
    }

    /// How many processes share the limits, and this one's place among them.
    pub fn processes(&self) -> (usize, usize) {
        let older = usize::from(self.older.is_some());
        (1 + older + usize::from(self.newer.is_some()), older)
    }

    /// Whether another process takes the clients that come.
    pub fn has_newer(&self) -> bool {
        self.newer.is_some()
    }

    /// Clients' connections that the others hold.
    pub fn clients(&self) -> usize {
        self.older.iter().chain(&self.newer).map(|sibling| sibling.clients()).sum()
    }

    /// Tells the others how many clients' connections this process holds, if that is news.
    pub fn tell(&mut self, clients: usize) {
        if self.told == Some(clients) {
            return;
        }
        let mut all = self.older.iter_mut().chain(&mut self.newer);
        // One that does not take it now is told the next time; one that has ended shows by itself.
        if all.all(|sibling| sibling.tell(clients)) {
            self.told = Some(clients);
        }
    }

    /// Hands a client's connection to the newer process; `false`: it is still here.
    pub fn hand(&mut self, stream: &Stream, unused: &[u8]) -> bool {
        self.newer.as_mut().is_some_and(|newer| newer.hand(stream, unused))
    }

    /// Leaves nothing behind where the next process would look.
    pub fn end(&mut self, net: &mut Net) {
        self.ready(PLACE, net, &mut Vec::new()); // one that came at the last moment has put its own there
        if self.place.take().is_some() {
            let _ = std::fs::remove_file(&self.path); // a stale one would be replaced
        }
    }
}
