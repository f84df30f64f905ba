//! The edge proxy's member of the federation. The event loop starts it, tells it of reloads, of a newer process and of
//! the end, and reports what it last published. The loop never waits for it.
//!
//! Without the cargo feature, [`FederationHandle`] does nothing.

#[cfg(not(feature = "federation"))]
mod disabled;
#[cfg(feature = "federation")]
mod enabled;

#[cfg(not(feature = "federation"))]
pub(super) use disabled::{CheckedSettings, FederationHandle};
#[cfg(feature = "federation")]
pub(super) use enabled::{CheckedSettings, FederationHandle};
