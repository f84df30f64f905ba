//! Stand-in xDS clients that log each view they receive, and a measurement of the control service with them:
//! the time from the feed's event of a drain to the last client's view without that cache.

mod client;
mod decode;
mod log_clock;
mod measure;
mod process;
mod site;
mod state;
mod stream;

pub use client::run_client;
pub use log_clock::log_time;
pub use measure::{measure, MeasurePlan, Measurement};
pub use site::{SiteSetup, StartedSite};
pub use state::ClientState;
pub use stream::{ClientPlan, ClientStream, ReceivedResponse};
