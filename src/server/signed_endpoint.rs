//! The signed front, where there is one, and the classes of its routes.

use super::listeners::Listeners;
use super::ServerError;
use crate::config::settings::SiteSettings;
use crate::config::signed::{Route, SignedConfig};
use crate::config::Config;
use crate::front::signed::SignedFront;
use crate::interface::{ClassId, Span};
use crate::net::Net;

/// The signed front and what its routes serve.
pub(super) struct SignedEndpoint {
    /// The connections and their requests.
    pub front: SignedFront,
    /// The classes of the routes, by route number.
    pub routes: Vec<RouteClass>,
    /// Makes the trace ids of requests differ from those of other edge proxies.
    trace_id_seed: u64,
}

/// What requests of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// The class.
    pub class: ClassId,
    /// How long an answer is waited for.
    pub timeout: Span,
}

impl SignedEndpoint {
    /// Checks the routes, and listens for clients.
    pub(super) fn start(
        signed: SignedConfig,
        config: &Config,
        listeners: &mut Listeners,
        net: &mut Net,
    ) -> Result<Self, ServerError> {
        let routes = route_classes(&signed, &config.settings)?;
        listeners.open_signed(signed.listen, net)?;
        Ok(SignedEndpoint { routes, front: SignedFront::new(signed), trace_id_seed: config.seed })
    }

    /// The id under which servers know a request: no other edge proxy's request has it.
    pub(super) fn trace_id(&self, request_number: u64) -> String {
        format!("{:016x}", self.trace_id_seed ^ request_number.rotate_left(32))
    }
}

/// The classes of the routes, by route number.
///
/// # Errors
///
/// A class that is unknown, or that is never cached.
pub fn route_classes(signed: &SignedConfig, settings: &SiteSettings) -> Result<Vec<RouteClass>, ServerError> {
    let classes = signed.routes.iter().map(|route| {
        let unusable = || ServerError::Route { path: route.path.clone(), class: route.class.clone() };
        route_class(route, settings).ok_or_else(unusable)
    });
    classes.collect()
}

fn route_class(route: &Route, settings: &SiteSettings) -> Option<RouteClass> {
    let id = settings.program.class(&route.class)?;
    let class = settings.policy.classes.get(usize::from(id.0)).filter(|class| !class.uncached)?;
    let timeout = route.patience_ms.map_or(class.client_deadline, |ms| Span::from_millis(ms as i64));
    Some(RouteClass { class: id, timeout })
}
