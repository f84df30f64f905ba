//! A deterministic simulator: the edge proxy's own network code on a virtual clock, against scripted faults drawn from
//! a seed, with every rule checked as things happen. See docs/simulator.md.
//!
//! - [`world`] plays a run: the program's own server on a virtual network, and around it stand-in clients, hosts and
//!   feed.
//! - [`site_variant`] draws how the site differs from the default one; the faults are [`crate::standin::faults`].
//! - [`rules`] says what must hold.
//! - [`runner`] plays many seeds and shrinks what fails.
//! - `federation` plays federations of several members.

#[cfg(feature = "federation")]
pub mod federation;
pub mod rules;
pub mod runner;
pub mod site_variant;
pub mod world;

#[cfg(test)]
mod tests;
