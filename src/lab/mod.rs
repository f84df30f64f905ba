//! Load and measurement tools that drive the edge proxy over its real fronts on loopback. Nothing here is on
//! the data path.
//!
//! - [`replay`]: replays a trace against stand-in [`hosts`]; [`synthetic_trace`] generates a trace.
//! - [`flood`]: known clients, while one address floods the front with connections.
//! - `xds`: measures the control service with stand-in clients, whose logs [`views`] checks.

pub mod flood;
pub mod hosts;
pub mod replay;
pub mod synthetic_trace;
pub mod views;
#[cfg(feature = "control")]
pub mod xds;
