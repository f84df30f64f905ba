//! The signed front, if it is configured, and the classes of its routes.

use super::listeners::Listeners;
use super::ServerError;
use crate::config::settings::SiteSettings;
use crate::config::signed::{Route, SignedConfig};
use crate::config::Config;
use crate::front::signed::SignedFront;
use crate::interface::{ClassId, Span};
use crate::net::Net;

/// The signed front and the classes that its routes serve.
pub(super) struct SignedEndpoint {
    /// The front's connections and their requests.
    pub front: SignedFront,
    /// The classes of the routes, by route number.
    pub routes: Vec<RouteClass>,
    /// Makes trace ids differ from those of other edge proxies.
    trace_id_seed: u64,
}

/// Class and deadline of the requests on a route of the signed front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// Class of the route's requests.
    pub class: ClassId,
    /// How long a client waits for the answer: the route's own value, otherwise the class's client deadline.
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

    /// Returns the id by which servers identify a request. It differs from the ids of other edge proxies'
    /// requests.
    pub(super) fn trace_id(&self, request_number: u64) -> String {
        format!("{:016x}", self.trace_id_seed ^ request_number.rotate_left(32))
    }
}

/// Returns the classes of the routes, by route number.
///
/// # Errors
///
/// Returns an error if a route's class is not defined in the settings or is never cached.
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
