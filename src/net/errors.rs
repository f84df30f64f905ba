//! What the errors of system calls on sockets mean, as Linux documents them: accept(2), connect(2), socket(2).

use rustix::io::Errno;
use std::io;

/// The process or the system is out of descriptors, buffers or memory for now.
const EXHAUSTION_ERRORS: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];

/// Errors of accept that concern only the connection that it would have returned; the next one may be fine. Linux
/// returns pending network errors of the new socket, and `EPERM` where a firewall rejected it.
const SINGLE_CONNECTION_ERRORS: [Errno; 12] = [
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PERM,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::OPNOTSUPP,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NONET,
    Errno::TIMEDOUT,
];

/// Errors of connect and socket that have their cause in this process or host, not in the peer: no port, descriptor,
/// memory or watch is left, or the call is not permitted here.
const LOCAL_ERRORS: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
    Errno::NOSPC,
    Errno::PERM,
];

fn is_one_of(error: &io::Error, list: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| list.contains(&errno))
}

/// Whether a call failed for want of descriptors, buffers or memory; it may succeed later.
pub fn is_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &EXHAUSTION_ERRORS)
}

/// Whether accept failed only for the connection that it would have returned.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    is_one_of(error, &SINGLE_CONNECTION_ERRORS)
}

/// Whether a connect call failed for a cause in this process or host, not in the peer.
pub fn is_local_error(error: &io::Error) -> bool {
    is_one_of(error, &LOCAL_ERRORS)
}

#[cfg(test)]
mod tests;
