//! A control service of a made-up site, in this process.

use crate::config::hcl_document::HclDocument;
use crate::config::{Config, ConfigError};
use crate::control::clock::ServiceClock;
use crate::control::service::{start_with_clock, ControlError, Running};
use crate::control::settings::ControlSettings;
use crate::standin::feed::StandInFeed;
use crate::standin::site::{config, Shape};
use serde_json::Value;
use std::path::Path;

/// The port of the site's first server; nothing listens there.
const FIRST_PORT: usize = 10_000;

/// How a site's control service is started.
pub struct SiteSetup<'a> {
    /// The site.
    pub shape: Shape,
    /// The operator's file.
    pub control: &'a str,
    /// The control feed that the service watches; one that has stated nothing states the site's list first.
    pub feed: &'a StandInFeed,
    /// What the service knows at its start; `None`: what the feed has stated.
    pub known: Option<Value>,
    /// The clock that it goes by.
    pub clock: ServiceClock,
}

/// A control service that is up.
pub struct StartedSite {
    /// The service.
    pub running: Running,
    /// The entries of the site's endpoint list.
    pub hosts: Vec<Value>,
}

impl<'a> SiteSetup<'a> {
    /// A site whose service knows what the feed has stated, and goes by the system's clocks.
    pub fn new(shape: Shape, control: &'a str, feed: &'a StandInFeed) -> Self {
        SiteSetup { shape, control, feed, known: None, clock: ServiceClock::system() }
    }

    /// Starts the control service.
    ///
    /// # Errors
    ///
    /// The service does not start.
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
            .map_err(|text| ConfigError::invalid(Path::new("made-up site"), text))?;
        let settings = ControlSettings::parse(HclDocument { file: "control.hcl", text: self.control })?;
        let running = start_with_clock(&config, settings, self.clock).await?;
        Ok(StartedSite { running, hosts })
    }
}
