//! The control service: gives the decision module's choices to other proxies over xDS v3. See docs/control.md.
//!
//! The pure parts do no I/O and get the time as an argument: [`model`] turns the endpoint list, purges and the
//! decision module's answers into a [`snapshot`] of [`resource`]s; [`session`] is the state machine of one client's
//! stream; [`debounce`] decides when changes are published. Around them, `feed_watch` polls the control feed, `wire`
//! encodes protobuf messages and `service` serves gRPC.

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
