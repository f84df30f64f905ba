//! The project's own laboratory: load and experiment tools that drive the edge proxy over its real fronts on
//! loopback. Nothing here is on the data path.
//!
//! - [`replay`]: replays a trace against stand-in [`hosts`]; [`synthetic_trace`] makes one up.
//! - [`flood`]: known clients beside an address that floods.
//! - `xds`: measures the control service by stand-in clients, whose logs [`views`] checks.

pub mod flood;
pub mod hosts;
pub mod replay;
pub mod synthetic_trace;
pub mod views;
#[cfg(feature = "control")]
pub mod xds;
