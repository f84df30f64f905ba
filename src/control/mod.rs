//! The control service: the decision module's choices for proxies that are not this one, over xDS v3. See
//! docs/control.md.
//!
//! The pure parts work on passed-in time: [`model`] turns the endpoint list, purges and the decision module's answers
//! into a [`snapshot`] of [`resource`]s; [`session`] is the state machine of one client's stream; [`debounce`] says
//! when changes are published. Around them, `feed_watch` polls the control feed, `wire` encodes protobuf messages
//! and `service` serves gRPC.

pub mod clock;
pub mod debounce;
#[cfg(feature = "control")]
pub mod feed_watch;
pub mod model;
pub mod resource;
#[cfg(feature = "control")]
pub mod service;
pub mod session;
pub mod settings;
pub mod snapshot;
pub mod version;
#[cfg(feature = "control")]
pub mod wire;

#[cfg(all(test, feature = "control"))]
mod tests;
