//! The deadlines of the event loop: each part's own kind, in one type.

use crate::{core, feed, front, upstream};
use front::{admin, signed, thrift};

/// A deadline, by the part of the server that set it.
#[derive(Clone, Copy, Debug)]
pub(super) enum ServerDeadline {
    /// A deadline of the core.
    Core(core::CoreDeadline),
    /// A deadline of a connection to a server.
    Upstream(upstream::ConnectionDeadline),
    /// A deadline of the control feed's client.
    Feed(feed::FeedDeadline),
    /// A deadline of a connection on the Thrift front.
    Thrift(thrift::SessionDeadline),
    /// A deadline of a connection on the signed front.
    Signed(signed::SessionDeadline),
    /// A deadline of a connection on the admin endpoint.
    Admin(admin::CallerDeadline),
    /// Connections are to be accepted without an event.
    Accept,
    /// The progress of the shutdown is to be checked.
    ShutdownCheck,
}

impl From<core::CoreDeadline> for ServerDeadline {
    fn from(deadline: core::CoreDeadline) -> Self {
        ServerDeadline::Core(deadline)
    }
}

impl From<upstream::ConnectionDeadline> for ServerDeadline {
    fn from(deadline: upstream::ConnectionDeadline) -> Self {
        ServerDeadline::Upstream(deadline)
    }
}

impl From<feed::FeedDeadline> for ServerDeadline {
    fn from(deadline: feed::FeedDeadline) -> Self {
        ServerDeadline::Feed(deadline)
    }
}

impl From<thrift::SessionDeadline> for ServerDeadline {
    fn from(deadline: thrift::SessionDeadline) -> Self {
        ServerDeadline::Thrift(deadline)
    }
}

impl From<signed::SessionDeadline> for ServerDeadline {
    fn from(deadline: signed::SessionDeadline) -> Self {
        ServerDeadline::Signed(deadline)
    }
}

impl From<admin::CallerDeadline> for ServerDeadline {
    fn from(deadline: admin::CallerDeadline) -> Self {
        ServerDeadline::Admin(deadline)
    }
}
