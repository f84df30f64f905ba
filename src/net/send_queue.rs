//! The bytes of a TCP connection that were written but that the system has not sent yet, since the peer's buffer is full.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;

/// With this value of `TCP_NOTSENT_LOWAT`, a socket is writable only if the system has sent all its bytes.
const ALL_SENT: u32 = 1;
/// Tells poll to return at once.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Whether the system holds bytes of a socket that it has not sent. A peer that reads slowly is still reading then.
///
/// # Errors
///
/// A system call fails, as it does where the system does not have the socket option.
pub(super) fn has_unsent_bytes(stream: &impl AsFd) -> io::Result<bool> {
    let socket = SockRef::from(stream);
    let usual = socket.tcp_notsent_lowat()?;
    socket.set_tcp_notsent_lowat(ALL_SENT)?;
    let is_writable = is_writable(stream);
    socket.set_tcp_notsent_lowat(usual)?;
    is_writable.map(|is_writable| !is_writable)
}

fn is_writable(stream: &impl AsFd) -> io::Result<bool> {
    let mut sockets = [PollFd::new(stream, PollFlags::OUT)];
    poll(&mut sockets, Some(&NO_WAIT))?;
    // An error or the end of the connection is not a reason to wait for the peer either.
    Ok(!sockets[0].revents().is_empty())
}
