//! How two processes of one edge proxy know of each other while the newer takes over from the older: by a Unix socket
//! in `$TMPDIR`, named after the clients' address. Each sees the other's end at once, as the end of a stream, and each
//! tells the other how many clients' connections it holds, since they share one limit.

use crate::net::Net;
use log::{info, warn};
use mio::net::{UnixListener, UnixStream};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The numbers under which the loop watches what belongs to this.
pub(super) const PLACE: usize = 4;
pub(super) const OLDER: usize = 5;
pub(super) const NEWER: usize = 6;
/// Bytes of a message: the sender's count of clients' connections.
const MESSAGE: usize = 4;

/// The other process's end.
struct Sibling {
    stream: UnixStream,
    clients: usize,
    part: Vec<u8>,
}

impl Sibling {
    fn new(mut stream: UnixStream, number: usize, net: &mut Net) -> io::Result<Self> {
        net.watch(&mut stream, number)?;
        Ok(Sibling { stream, clients: 0, part: Vec::new() })
    }

    /// Takes in what it told; `false`: it has ended.
    fn read(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.part.extend_from_slice(&bytes[..n]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
            while let Some(message) = self.part.first_chunk::<MESSAGE>() {
                self.clients = u32::from_be_bytes(*message) as usize;
                self.part.drain(..MESSAGE);
            }
        }
    }
}

/// What is known of the process before this one and of the one after it.
pub(super) struct Handover {
    path: PathBuf,
    /// Where the next process finds this one; none while there is a next one.
    place: Option<UnixListener>,
    older: Option<Sibling>,
    newer: Option<Sibling>,
    told: Option<usize>,
}

impl Handover {
    /// Finds the process that serves these clients' address now, and takes its place for the next one.
    pub fn begin(addr: SocketAddr, net: &mut Net) -> Self {
        // Short: the system takes about a hundred bytes of such a path.
        let path = std::env::temp_dir().join(format!("dt-{}-{}", addr.ip(), addr.port()));
        let older = match UnixStream::connect(&path).and_then(|stream| Sibling::new(stream, OLDER, net)) {
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
        let mut handover = Handover { path, place: None, older, newer: None, told: None };
        handover.take_place(net);
        handover
    }

    /// Puts a place of its own where the next process looks, in one step: there is always one to be found.
    fn take_place(&mut self, net: &mut Net) {
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

    /// Something watched under this number is ready; whether the processes are others now.
    pub fn ready(&mut self, number: usize, net: &mut Net) -> bool {
        match number {
            PLACE => {
                let accepted = self.place.as_ref().map(UnixListener::accept);
                let Some(Ok((stream, _))) = accepted else { return false };
                let Ok(newer) = Sibling::new(stream, NEWER, net) else { return false };
                info!("a newer process takes over");
                (self.newer, self.told) = (Some(newer), None);
                // The next one finds the newer process.
                if let Some(mut place) = self.place.take() {
                    let _ = net.unwatch(&mut place); // it ends with the place
                }
                true
            }
            OLDER if self.older.as_mut().is_some_and(|older| !older.read()) => {
                info!("the older process has ended");
                self.older = None;
                true
            }
            NEWER if self.newer.as_mut().is_some_and(|newer| !newer.read()) => {
                warn!("the newer process has ended");
                self.newer = None;
                self.take_place(net);
                true
            }
            _ => false,
        }
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
        self.older.iter().chain(&self.newer).map(|sibling| sibling.clients).sum()
    }

    /// Tells the others how many clients' connections this process holds, if that is news.
    pub fn tell(&mut self, clients: usize) {
        if self.told == Some(clients) {
            return;
        }
        let message = u32::try_from(clients).unwrap_or(u32::MAX).to_be_bytes();
        let mut all = self.older.iter_mut().chain(&mut self.newer);
        // One that does not take it now is told the next time; one that has ended shows by itself.
        if all.all(|sibling| sibling.stream.write(&message).is_ok()) {
            self.told = Some(clients);
        }
    }

    /// Leaves nothing behind where the next process would look.
    pub fn end(&mut self, net: &mut Net) {
        self.ready(PLACE, net); // one that came at the last moment has put its own there
        if self.place.take().is_some() {
            let _ = std::fs::remove_file(&self.path); // a stale one would be replaced
        }
    }
}
