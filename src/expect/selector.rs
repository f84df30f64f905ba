//! Selectors, by which expectations name sets of servers.

use super::names::{index_of, NameError};
use super::site::Site;
use crate::interface::{Endpoint, ServerId, ZoneId};
use std::collections::BTreeSet;

/// A set of servers, as an expectation names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// `origin`.
    Origin,
    /// `hub`: all parents.
    Hub,
    /// `hub:ZONE`: the parents in a zone.
    HubIn(ZoneId),
    /// `own-hub`: the parents of the point's hub.
    OwnHub,
    /// `cache`: all table caches.
    Cache,
    /// `cache:ZONE`: the table caches of a point.
    CacheIn(ZoneId),
    /// `own-cache`: the table caches of the request's point.
    OwnCache,
    /// `zone:ZONE`: all servers in a zone.
    Zone(ZoneId),
    /// `kind:KIND`: all servers of a kind.
    Kind(u16),
    /// `cell:NUMBER`: all servers of a cell.
    Cell(u16),
    /// A server by its name.
    Server(ServerId),
}

impl Selector {
    /// Whether the selector matches different servers at each point.
    pub fn depends_on_point(&self) -> bool {
        matches!(self, Selector::OwnHub | Selector::OwnCache)
    }
}

impl Site {
    /// Parses a selector.
    ///
    /// # Errors
    ///
    /// Returns an error for a name that the site does not have, or a selector that matches no listed server.
    pub fn selector(&self, text: &str) -> Result<Selector, NameError> {
        let selector = match text.split_once(':') {
            Some((set, name)) => self.named_set(set, name, text)?,
            None => self.plain_set(text)?,
        };
        if selector.depends_on_point() {
            return Ok(selector);
        }
        let point = self.settings.topology.zone;
        if self.servers.values().any(|endpoint| self.selects(&selector, endpoint, point)) {
            return Ok(selector);
        }
        Err(NameError::NoServers(text.to_owned()))
    }

    /// Parses a selector without a colon.
    fn plain_set(&self, text: &str) -> Result<Selector, NameError> {
        Ok(match text {
            "origin" => Selector::Origin,
            "hub" => Selector::Hub,
            "own-hub" => Selector::OwnHub,
            "cache" => Selector::Cache,
            "own-cache" => Selector::OwnCache,
            name => Selector::Server(self.server(name)?),
        })
    }

    /// Parses a selector of the form `SET:NAME`. If the part before the colon is not a known set, the text is
    /// a server's name, which may have a colon too.
    fn named_set(&self, set: &str, name: &str, text: &str) -> Result<Selector, NameError> {
        Ok(match set {
            "hub" => Selector::HubIn(self.zone(name)?),
            "cache" => Selector::CacheIn(self.zone(name)?),
            "zone" => Selector::Zone(self.zone(name)?),
            "kind" => Selector::Kind(index_of("kind", name, &self.kinds)?),
            "cell" => Selector::Cell(name.parse().map_err(|_| NameError::InvalidCell(name.to_owned()))?),
            _ => Selector::Server(self.server(text)?),
        })
    }

    /// Whether a selector matches a server, for a request at a point.
    pub fn selects(&self, selector: &Selector, endpoint: &Endpoint, point: ZoneId) -> bool {
        match selector {
            Selector::Origin => self.is_origin(endpoint),
            Selector::Hub => self.is_parent(endpoint),
            Selector::HubIn(zone) => self.is_parent(endpoint) && endpoint.zone == *zone,
            Selector::OwnHub => self.is_parent(endpoint) && self.hub(point) == Some(endpoint.zone),
            Selector::Cache => self.is_cache(endpoint),
            Selector::CacheIn(zone) => self.is_cache(endpoint) && endpoint.zone == *zone,
            Selector::OwnCache => self.is_cache(endpoint) && endpoint.zone == point,
            Selector::Zone(zone) => endpoint.zone == *zone,
            Selector::Kind(kind) => endpoint.kind == *kind,
            Selector::Cell(cell) => endpoint.cell == *cell,
            Selector::Server(server) => endpoint.server == *server,
        }
    }

    /// Returns the servers that any of the selectors matches, for a request at a point.
    pub fn selected(&self, selectors: &[Selector], point: ZoneId) -> BTreeSet<ServerId> {
        let named =
            |endpoint: &&Endpoint| selectors.iter().any(|selector| self.selects(selector, endpoint, point));
        self.servers.values().filter(named).map(|endpoint| endpoint.server).collect()
    }
}
