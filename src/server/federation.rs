//! The edge proxy's member of the federation. The event loop starts it, notifies it of reloads, of a newer
//! process and of the shutdown, and reports the state that it last published. The loop never waits for it;
//! only the end of the process does.
//!
//! Without the cargo feature `federation`, [`FederationHandle`] does nothing.

#[cfg(not(feature = "federation"))]
mod disabled;
#[cfg(feature = "federation")]
mod enabled;

#[cfg(not(feature = "federation"))]
pub(super) use disabled::{CheckedSettings, FederationHandle};
#[cfg(feature = "federation")]
pub(super) use enabled::{CheckedSettings, FederationHandle};
