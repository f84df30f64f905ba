//! Selectors: names of sets of servers in expectations.

use super::{index_of, Site};
use crate::config::located::unknown;
use crate::interface::{Endpoint, ServerId, ZoneId};
use std::collections::BTreeSet;

/// Why a name or a selector of an expectation cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The site has no such zone, class, kind or server; the text names the closest one.
    #[error("{0}")]
    Unknown(String),
    /// A cell that is no number.
    #[error("cell {0:?} is no number")]
    Cell(String),
    /// A set with no server in it, which no expectation can be about.
    #[error("{0} names no server of the list")]
    Empty(String),
}

/// A set of servers, as an expectation names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// `origin`.
    Origin,
    /// `hub`: all parents.
    Hub,
    /// `hub:ZONE`: the parents that stand in a zone.
    HubIn(ZoneId),
    /// `own-hub`: the parents of the point's hub.
    OwnHub,
    /// `cache`: all table caches.
    Cache,
    /// `cache:ZONE`: the table caches of a point.
    CacheIn(ZoneId),
    /// `own-cache`: the table caches of the request's point.
    OwnCache,
    /// `zone:ZONE`: whatever stands in a zone.
    Zone(ZoneId),
    /// `kind:KIND`: all machines of a kind.
    Kind(u16),
    /// `cell:NUMBER`: all machines of a cell.
    Cell(u16),
    /// A server by its name.
    Server(ServerId),
}

impl Site {
    /// Reads a selector.
    ///
    /// # Errors
    ///
    /// A name that the site does not have, or a set with no server in it.
    pub fn selector(&self, text: &str) -> Result<Selector, NameError> {
        let selector = match text.split_once(':') {
            None => match text {
                "origin" => Selector::Origin,
                "hub" => Selector::Hub,
                "own-hub" => return Ok(Selector::OwnHub),
                "cache" => Selector::Cache,
                "own-cache" => return Ok(Selector::OwnCache),
                name => Selector::Server(self.server(name)?),
            },
            Some(("hub", zone)) => Selector::HubIn(self.zone(zone)?),
            Some(("cache", zone)) => Selector::CacheIn(self.zone(zone)?),
            Some(("zone", zone)) => Selector::Zone(self.zone(zone)?),
            Some(("kind", kind)) => Selector::Kind(index_of("kind", kind, &self.kinds)?),
            Some(("cell", cell)) => {
                Selector::Cell(cell.parse().map_err(|_| NameError::Cell(cell.to_owned()))?)
            }
            Some(_) => Selector::Server(self.server(text)?),
        };
        let point = self.settings.topology.zone;
        if self.servers.values().any(|member| self.selects(&selector, member, point)) {
            return Ok(selector);
        }
        Err(NameError::Empty(text.to_owned()))
    }

    /// A listed server by its name.
    fn server(&self, name: &str) -> Result<ServerId, NameError> {
        let mut listed = self.servers.keys();
        if let Some(server) = listed.find(|server| self.name(**server) == name) {
            return Ok(*server);
        }
        let names = self.servers.keys().map(|server| self.name(*server));
        Err(NameError::Unknown(unknown("server", name, names)))
    }

    /// Whether a selector names a server, for a request at a point.
    pub fn selects(&self, selector: &Selector, member: &Endpoint, point: ZoneId) -> bool {
        match selector {
            Selector::Origin => self.is_origin(member),
            Selector::Hub => self.is_parent(member),
            Selector::HubIn(zone) => self.is_parent(member) && member.zone == *zone,
            Selector::OwnHub => self.is_parent(member) && self.hub(point) == Some(member.zone),
            Selector::Cache => self.is_cache(member),
            Selector::CacheIn(zone) => self.is_cache(member) && member.zone == *zone,
            Selector::OwnCache => self.is_cache(member) && member.zone == point,
            Selector::Zone(zone) => member.zone == *zone,
            Selector::Kind(kind) => member.kind == *kind,
            Selector::Cell(cell) => member.cell == *cell,
            Selector::Server(server) => member.server == *server,
        }
    }

    /// The servers that any of the selectors names.
    pub fn selected(&self, selectors: &[Selector], point: ZoneId) -> BTreeSet<ServerId> {
        let named =
            |member: &&Endpoint| selectors.iter().any(|selector| self.selects(selector, member, point));
        self.servers.values().filter(named).map(|member| member.server).collect()
    }
}
