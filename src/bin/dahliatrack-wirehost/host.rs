//! The router instances, and the passing of records to them.

use crate::codec::{Incoming, InstanceId, Record, Reply};
use dahliatrack::config::settings::{SettingsParseError, SiteSettings};
use dahliatrack::{Action, Event, Instant, Router, SettingsError};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Error of creating an instance.
#[derive(Debug, thiserror::Error)]
pub enum CreateError {
    /// The settings message cannot be parsed.
    #[error(transparent)]
    SettingsMessage(#[from] SettingsParseError),
    /// The router rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// The existing router instances.
#[derive(Default)]
pub struct Host {
    routers: BTreeMap<InstanceId, Router>,
}

impl Host {
    /// Passes a record to its instance, and appends the instance's actions to the reply.
    pub fn handle(&mut self, now: Instant, record: Record, reply: &mut Reply) -> Result<(), CreateError> {
        let Record { instance, incoming } = record;
        match incoming {
            Incoming::Created { seed, settings } => {
                let settings = SiteSettings::parse(&settings)?.policy;
                self.routers.insert(instance, Router::new(settings, seed, now)?);
            }
            Incoming::Killed => {
                self.routers.remove(&instance);
            }
            Incoming::Event(event) => self.pass_event(now, instance, event, reply),
        }
        Ok(())
    }

    /// Passes an event to a router. A router that panics is reported in the reply and removed. An event for an unknown
    /// instance is ignored.
    fn pass_event(&mut self, now: Instant, instance: InstanceId, event: Event, reply: &mut Reply) {
        let Some(router) = self.routers.get_mut(&instance) else { return };
        let mut actions: Vec<Action> = Vec::new();
        let handled = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions)));
        for action in &actions {
            reply.action(instance, action);
        }
        if let Err(panic) = handled {
            reply.bug(instance, panic_text(panic.as_ref()));
            self.routers.remove(&instance);
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic")
}
