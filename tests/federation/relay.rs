//! A relay between two members, which forwards bytes, holds them back, or closes all connections and accepts
//! no new ones.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are forwarded.
    Pass,
    /// Connections stay open and new ones are accepted, but no bytes are forwarded.
    Hold,
    /// Connections are closed, and new ones are closed at once.
    Cut,
}

struct Inner {
    mode: Mode,
    to: Option<SocketAddr>,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Relay {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let inner = Inner { mode: Mode::Pass, to: None, open: Vec::new() };
        let relay = Relay { addr, inner: Arc::new((Mutex::new(inner), Condvar::new())) };
        let acceptor = relay.clone();
        thread::spawn(move || listener.incoming().flatten().for_each(|stream| acceptor.forward(stream)));
        relay
    }

    /// Sets the address to which later connections are forwarded.
    pub fn set_target(&self, to: SocketAddr) {
        self.inner.0.lock().expect("a lock").to = Some(to);
    }

    pub fn set(&self, mode: Mode) {
        let mut inner = self.inner.0.lock().expect("a lock");
        inner.mode = mode;
        if mode == Mode::Cut {
            inner.open.drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
        self.inner.1.notify_all();
    }

    fn forward(&self, near: TcpStream) {
        let mut inner = self.inner.0.lock().expect("a lock");
        let far = inner.to.filter(|_| inner.mode != Mode::Cut).and_then(|to| TcpStream::connect(to).ok());
        let Some(far) = far else { return };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            inner.open.extend(stream.try_clone());
        }
        let pairs = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
        for (from, to) in pairs {
            let (Ok(from), Ok(to), relay) = (from, to, self.clone()) else { return };
            thread::spawn(move || relay.copy(from, to));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 16 * 1024];
        while let Ok(n @ 1..) = from.read(&mut bytes) {
            let inner = self.inner.0.lock().expect("a lock");
            let inner = self.inner.1.wait_while(inner, |inner| inner.mode == Mode::Hold).expect("a lock");
            if inner.mode == Mode::Cut || to.write_all(&bytes[..n]).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
