//! The deadlines of the event loop: one type that holds each part's own kind.

use crate::{core, feed, front, upstream};
use front::{admin, signed, thrift};

/// A deadline, by the part of the server that set it.
#[derive(Clone, Copy, Debug)]
pub(super) enum ServerDeadline {
    Core(core::CoreDeadline),
    /// A deadline of a connection to a server.
    Upstream(upstream::ConnectionDeadline),
    Feed(feed::FeedDeadline),
    /// A deadline of a connection of the Thrift front.
    Thrift(thrift::SessionDeadline),
    /// A deadline of a connection of the signed front.
    Signed(signed::SessionDeadline),
    /// A deadline of a connection of the admin endpoint.
    Admin(admin::CallerDeadline),
    /// Time to accept connections without a readiness event.
    Accept,
    /// Time to check the progress of the shutdown.
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
