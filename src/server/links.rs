//! The second front, where there is one: its listener, and what its routes serve.

use super::{listen, ServerError, LINKS};
use crate::config::settings::SiteSettings;
use crate::config::signed::SignedConfig;
use crate::config::Config;
use crate::front::signed;
use crate::interface::{ClassId, Span};
use crate::net::{Listener, Net};

/// The second front, where there is one.
pub(super) struct SignedLinks {
    pub listener: Option<Listener>,
    pub front: signed::SignedFront,
    /// Each route's class, and how long its answers are waited for.
    pub classes: Vec<(ClassId, Span)>,
}

impl SignedLinks {
    pub(super) fn start(signed: SignedConfig, config: &Config, net: &mut Net) -> Result<Self, ServerError> {
        let classes = route_classes(&signed, &config.settings)?;
        let listener = Some(listen(net, signed.listen, true, LINKS)?);
        Ok(SignedLinks { listener, classes, front: signed::SignedFront::new(signed) })
    }
}

/// Each route's class, and how long its answers are waited for.
///
/// # Errors
///
/// A class that is unknown, or whose requests are never kept.
pub fn route_classes(
    signed: &SignedConfig,
    settings: &SiteSettings,
) -> Result<Vec<(ClassId, Span)>, ServerError> {
    let SiteSettings { program: names, policy: settings } = settings;
    let class = |route: &crate::config::signed::Route| {
        let id = names.class(&route.class)?;
        let class = settings.classes.get(usize::from(id.0)).filter(|class| !class.uncached)?;
        let patience = route.patience_ms.map_or(class.client_deadline, |ms| Span::from_millis(ms as i64));
        Some((id, patience))
    };
    let found = signed.routes.iter().map(|route| {
        let bad = || ServerError::Route { path: route.path.clone(), class: route.class.clone() };
        class(route).ok_or_else(bad)
    });
    found.collect()
}
