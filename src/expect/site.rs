//! A site as its configuration and the control feed's known events describe it, and selectors of its servers.

use crate::config::events::{Batch, Health};
use crate::config::located::unknown;
use crate::config::Config;
use crate::interface::{ClassId, Member, Micros, ServerId, ServerState, Settings, ZoneId};
use crate::members::Members;
use std::collections::{BTreeMap, BTreeSet};

/// How long after the last late start the site is looked at: every server is warm by then.
const SETTLED: Micros = 3_600_000_000;

/// A configuration's settings with the servers of its list.
#[derive(Clone, Debug)]
pub struct Site {
    /// For the decision module; `zone` is the configuration's own point.
    pub settings: Settings,
    /// The classes' names, by number; retired ones are not there.
    pub classes: Vec<String>,
    /// The zones' names, by number.
    pub zones: Vec<String>,
    /// The kinds of machine, by number.
    pub kinds: Vec<String>,
    /// The servers by number; those that were removed are not there.
    pub servers: BTreeMap<ServerId, Member>,
    /// Their names.
    pub names: BTreeMap<ServerId, String>,
    /// What was odd in the list: a zone or kind that the settings do not name, an address that comes twice.
    pub oddities: Vec<String>,
    /// The moment at which the site is looked at, us of the Unix clock.
    pub now: Micros,
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
    /// The site of a configuration, after the events that it knows.
    pub fn of(config: &Config) -> Self {
        let parsed = &config.settings;
        let mut site = Site {
            settings: parsed.settings.clone(),
            classes: parsed.names.classes.clone(),
            zones: parsed.names.zones.clone(),
            kinds: parsed.names.kinds.clone(),
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            oddities: Vec::new(),
            now: 0,
        };
        let zones = site.settings.routers_by_zone.len().max(site.zones.len());
        site.zones.extend((site.zones.len()..zones).map(|zone| zone.to_string()));
        site.take(&config.known, &parsed.names);
        site
    }

    fn take(&mut self, batch: &Batch, names: &crate::config::settings::Names) {
        let mut members = Members::default();
        let mut addresses = BTreeMap::new();
        for change in batch.events.iter().filter_map(|event| event.members.as_ref()) {
            if change.whole {
                self.servers.clear();
                addresses.clear();
            }
            for host in &change.hosts {
                let member = members.member(host, names);
                self.names.insert(member.server, host.host.clone());
                if host.health == Health::Removed {
                    self.servers.remove(&member.server);
                    addresses.retain(|_, server| *server != member.server);
                    continue;
                }
                self.servers.insert(member.server, member);
                if let Some(dial) = host.dial {
                    if let Some(other) = addresses.insert(dial, member.server).filter(|o| *o != member.server)
                    {
                        let other = self.names.get(&other).cloned().unwrap_or_default();
                        self.oddities.push(format!("{} and {other} have one address, {dial}", host.host));
                    }
                }
                self.now = self.now.max(member.up_since.unwrap_or(0));
                for (what, name, place, list) in [
                    ("zone", &host.site, member.zone.0, &names.zones),
                    ("kind", &host.class, member.kind, &names.kinds),
                ] {
                    if usize::from(place) >= list.len() {
                        let text = unknown(what, name, list.iter().map(String::as_str));
                        self.oddities.push(format!("{}: {text}", host.host));
                    }
                }
            }
        }
        self.now += SETTLED;
    }

    /// A server's name.
    pub fn name(&self, server: ServerId) -> &str {
        self.names.get(&server).map_or("?", String::as_str)
    }

    /// A server's name with what it is, as `s-0c41 (hub:south)`.
    pub fn describe(&self, server: ServerId) -> String {
        let Some(member) = self.servers.get(&server) else { return self.name(server).to_owned() };
        let zone = self.zone_name(member.zone);
        match () {
            () if self.is_origin(member) => format!("{} (origin)", self.name(server)),
            () if self.is_parent(member) => format!("{} (hub:{zone})", self.name(server)),
            () => format!("{} (cache:{zone})", self.name(server)),
        }
    }

    /// A zone's name.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(usize::from(zone.0)).map_or("?", String::as_str)
    }

    /// A class's name.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes.get(usize::from(class.0)).map_or("?", String::as_str)
    }

    /// Whether a server is a parent, which stands at a hub.
    pub fn is_parent(&self, member: &Member) -> bool {
        Some(member.kind) == self.settings.parent_kind
    }

    /// Whether a server is the origin.
    pub fn is_origin(&self, member: &Member) -> bool {
        member.kind == self.settings.origin_kind
    }

    /// Whether a server is a table cache.
    pub fn is_cache(&self, member: &Member) -> bool {
        !self.is_parent(member) && !self.is_origin(member)
    }

    /// The points: zones that have edge proxies.
    pub fn points(&self) -> Vec<ZoneId> {
        let zones = self.settings.routers_by_zone.iter().enumerate();
        zones.filter(|(_, routers)| **routers > 0).map(|(zone, _)| ZoneId(zone as u16)).collect()
    }

    /// The hub of a point.
    pub fn hub(&self, point: ZoneId) -> Option<ZoneId> {
        self.settings.hub_by_zone.get(usize::from(point.0)).copied()
    }

    /// The ready table caches of a point among these servers.
    pub fn ready_caches(&self, servers: &BTreeMap<ServerId, Member>, point: ZoneId) -> BTreeSet<ServerId> {
        let fits = |m: &&Member| self.is_cache(m) && m.zone == point && m.state == ServerState::Ready;
        servers.values().filter(fits).map(|m| m.server).collect()
    }

    /// A zone by its name.
    ///
    /// # Errors
    ///
    /// No zone of that name, with the closest one.
    pub fn zone(&self, name: &str) -> Result<ZoneId, String> {
        let place = self.zones.iter().position(|known| known == name);
        let zone = place.map(|zone| ZoneId(zone as u16));
        zone.ok_or_else(|| unknown("zone", name, self.zones.iter().map(String::as_str)))
    }

    /// A class by its name.
    ///
    /// # Errors
    ///
    /// No class of that name, with the closest one.
    pub fn class(&self, name: &str) -> Result<ClassId, String> {
        let place = self.classes.iter().position(|known| known == name);
        let class = place.map(|class| ClassId(class as u16));
        class.ok_or_else(|| unknown("class", name, self.classes.iter().map(String::as_str)))
    }

    /// Reads a selector.
    ///
    /// # Errors
    ///
    /// A name that the site does not have, or a set with nobody in it, which no expectation can be about.
    pub fn selector(&self, text: &str) -> Result<Selector, String> {
        let selector = match text.split_once(':') {
            None => match text {
                "origin" => Selector::Origin,
                "hub" => Selector::Hub,
                "own-hub" => return Ok(Selector::OwnHub),
                "cache" => Selector::Cache,
                "own-cache" => return Ok(Selector::OwnCache),
                name => self.server(name)?,
            },
            Some(("hub", zone)) => Selector::HubIn(self.zone(zone)?),
            Some(("cache", zone)) => Selector::CacheIn(self.zone(zone)?),
            Some(("zone", zone)) => Selector::Zone(self.zone(zone)?),
            Some(("kind", kind)) => {
                let place = self.kinds.iter().position(|known| known == kind);
                let place = place.ok_or_else(|| unknown("kind", kind, self.kinds.iter().map(String::as_str)));
                Selector::Kind(place? as u16)
            }
            Some(("cell", cell)) => {
                Selector::Cell(cell.parse().map_err(|_| format!("cell {cell:?} is no number"))?)
            }
            Some(_) => self.server(text)?,
        };
        let point = self.settings.zone;
        match self.servers.values().any(|member| self.selects(&selector, member, point)) {
            true => Ok(selector),
            false => Err(format!("{text} names no server of the list")),
        }
    }

    fn server(&self, name: &str) -> Result<Selector, String> {
        let known =
            self.names.iter().find(|(server, known)| *known == name && self.servers.contains_key(server));
        let listed = self.servers.keys().map(|server| self.name(*server));
        known.map(|(server, _)| Selector::Server(*server)).ok_or_else(|| unknown("server", name, listed))
    }

    /// Whether a selector names a server, for a request at a point.
    pub fn selects(&self, selector: &Selector, member: &Member, point: ZoneId) -> bool {
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
        let named = |member: &&Member| selectors.iter().any(|s| self.selects(s, member, point));
        self.servers.values().filter(named).map(|member| member.server).collect()
    }
}
