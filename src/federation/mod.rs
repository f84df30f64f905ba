//! What the edge proxies of a federation agree on: a log that a majority of voters keeps (Raft, Ongaro and Ousterhout
//! 2014), and the state that all of them make of it. It runs on a thread of its own; the data path never waits for
//! it.
//!
//! Decisions do no I/O; ticks and messages are passed in: [`node`] is one member (the consensus itself is the `raft`
//! crate's), [`state`] the replicated state machine, [`membership`] plans changes of the members, [`duties`] are
//! leases, [`backoff`] the pauses between retries. [`store`] is the durable log, [`wire`] and [`hello`] are the
//! protocol between members, [`runtime`] ties them to sockets and a thread. Design and operators' page:
//! docs/federation.md.

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
