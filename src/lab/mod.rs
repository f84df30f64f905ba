//! The project's own laboratory: load and experiment tools that drive the edge proxy over its real fronts on
//! loopback. Nothing here is on the data path.

pub mod flood;
pub mod hosts;
pub mod made;
pub mod replay;
pub mod views;
#[cfg(feature = "control")]
pub mod xds;
