//! Replicates state between the edge proxies of a federation: a log that a majority of voters stores (Raft,
//! Ongaro and Ousterhout 2014), and the state that results from it. The federation runs on its own thread;
//! the data path never waits for it.
//!
//! These modules do no I/O; ticks and messages are passed in:
//!
//! - [`node`][]: one member; consensus is implemented by the `raft` crate.
//! - [`state`][]: the replicated state machine.
//! - [`membership`][]: plans membership changes.
//! - [`duties`][]: leases.
//! - [`backoff`][]: the pauses between retries.
//!
//! [`store`] is the durable log, [`wire`] and [`hello`] are the protocol between members, and [`runtime`]
//! connects them to sockets and a thread. The design and the operators' page are in docs/federation.md.

pub mod backoff;
pub mod duties;
pub mod hello;
mod ids;
pub mod log;
pub mod membership;
pub mod node;
pub mod records;
pub mod runtime;
pub mod settings;
pub mod state;
pub mod store;
pub mod view;
pub mod wire;

mod links;

#[cfg(test)]
mod tests;

pub use ids::{Leadership, LogIndex, MemberId, Term};
