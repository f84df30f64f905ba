//! Starts the control service of a stand-in site in this process.

use crate::config::hcl_document::HclDocument;
use crate::config::{Config, ConfigError};
use crate::control::clock::ServiceClock;
use crate::control::service::{start_with_clock, ControlError, Running};
use crate::control::settings::ControlSettings;
use crate::standin::feed::StandInFeed;
use crate::standin::site::{config, Shape};
use serde_json::Value;
use std::path::Path;

/// Port of the site's first server. Nothing listens there.
const FIRST_PORT: usize = 10_000;

/// How the control service of a stand-in site is started.
pub struct SiteSetup<'a> {
    /// Size and seed of the site.
    pub shape: Shape,
    /// Text of the operator's settings file (HCL).
    pub control: &'a str,
    /// Control feed that the service watches. If it has no events yet, the site's endpoint list is published
    /// first.
    pub feed: &'a StandInFeed,
    /// Events that the service knows when it starts; `None` for all events of the feed so far.
    pub known: Option<Value>,
    /// Clock of the service.
    pub clock: ServiceClock,
}

/// A running control service of a stand-in site.
pub struct StartedSite {
    /// The running service, to be stopped by the caller.
    pub running: Running,
    /// Entries of the site's endpoint list.
    pub hosts: Vec<Value>,
}

impl<'a> SiteSetup<'a> {
    /// Returns a setup in which the service knows all events of the feed and uses the system's clocks.
    pub fn new(shape: Shape, control: &'a str, feed: &'a StandInFeed) -> Self {
        SiteSetup { shape, control, feed, known: None, clock: ServiceClock::system() }
    }

    /// Starts the control service.
    ///
    /// # Errors
    ///
    /// Returns an error if the feed cannot listen, or if the service does not start.
    pub async fn start(self) -> Result<StartedSite, ControlError> {
        let feed_addr = self.feed.serve()?.to_string();
        let mut site = config(&self.shape, &feed_addr, |number| format!("127.0.0.1:{}", FIRST_PORT + number));
        let list = site["known"]["events"][0].clone();
        let hosts = list["members"]["hosts"].as_array().cloned().unwrap_or_default();
        if self.feed.initial_events()["n"] == 0 {
            self.feed.publish(list);
        }
        site["known"] = self.known.unwrap_or_else(|| self.feed.initial_events());
        let config = Config::parse(site.to_string().as_bytes())
            .map_err(|text| ConfigError::invalid(Path::new("stand-in site"), text))?;
        let settings = ControlSettings::parse(HclDocument { file: "control.hcl", text: self.control })?;
        let running = start_with_clock(&config, settings, self.clock).await?;
        Ok(StartedSite { running, hosts })
    }
}
