//! Deterministic simulator: runs the edge proxy's own server and network code on a virtual network and a
//! virtual clock, injects a script of faults that is drawn from a seed, and checks every rule at each event.
//! See docs/simulator.md.
//!
//! - [`world`] plays one run: the program's own server, with stand-ins for the clients, the hosts and the
//!   control feed.
//! - [`site_variant`] draws how the site's settings differ from the default; the faults are drawn by
//!   [`crate::standin::faults`].
//! - [`rules`] holds the rules that every run must keep.
//! - [`runner`] plays many seeds and shrinks the fault scripts of those that fail.
//! - `federation` simulates federations of several members.

#[cfg(feature = "federation")]
pub mod federation;
pub mod rules;
pub mod runner;
pub mod site_variant;
pub mod world;

#[cfg(test)]
mod tests;
