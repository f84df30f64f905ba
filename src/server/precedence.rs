//! The order in which the events of one turn are handled.

use super::event_source::EventSource;
use super::Server;
use crate::net::Ready;

/// Precedence of an event; the lowest is handled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Precedence {
    /// An operator's call. It does not wait until clients' input is handled.
    Admin,
    /// A watch event, which is handled before decisions that depend on the endpoint list.
    Feed,
    /// A client has closed its connection, which is handled before answers to its requests.
    ClientClosed,
    /// Any other event.
    Other,
}

impl Server {
    /// Returns the precedence of an event.
    pub(super) fn precedence(&self, ready: Ready) -> Precedence {
        match ready {
            Ready::Source(number) if number == EventSource::AdminListener.number() => Precedence::Admin,
            Ready::Conn { key, .. } if self.is_admin_caller(key) => Precedence::Admin,
            Ready::Conn { key, .. } if self.feed.owns(key) => Precedence::Feed,
            Ready::Conn { key, closed: true, .. } if self.thrift.owns(key) || self.is_signed_client(key) => {
                Precedence::ClientClosed
            }
            _ => Precedence::Other,
        }
    }
}
