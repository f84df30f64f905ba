//! The control service: the decision module's choices for proxies that are not this one, over xDS v3. See
//! docs/control.md.
//!
//! [`model`] makes views of the list, the purges and what the module answers; [`session`] is one client's stream;
//! [`debounce`] says when changes are told. All three are pure. [`wire`] words them as protobuf; [`listen`] hears the
//! control feed and [`service`] serves gRPC.

pub mod debounce;
pub mod listen;
pub mod model;
pub mod service;
pub mod session;
pub mod settings;
pub mod wire;

#[cfg(test)]
mod tests;
