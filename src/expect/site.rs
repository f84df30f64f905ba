//! A site as its configuration describes it: the settings, and the servers in the known events of the control
//! feed.

use super::names::{index_of, NameError};
use crate::config::events::{FeedBatch, FeedServer, Health};
use crate::config::hcl_document::unknown_name;
use crate::config::settings::ProgramSettings;
use crate::config::Config;
use crate::interface::{ClassId, Endpoint, Instant, ServerId, ServerState, Settings, Span, ZoneId};
use crate::server_names::ServerNames;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time from the last start of a server to the moment at which the site is checked, so that every server has
/// warmed up by then.
const WARM_UP_TIME: Span = Span::from_secs(3_600);

/// A configuration's settings, with the servers of its endpoint list.
#[derive(Clone, Debug)]
pub struct Site {
    /// Settings for the decision module; their `zone` is the configuration's own point.
    pub settings: Settings,
    /// The classes' names, by class number, without retired classes.
    pub classes: Vec<String>,
    /// The zones' names, by zone number.
    pub zones: Vec<String>,
    /// The names of the server kinds, by number.
    pub kinds: Vec<String>,
    /// The listed servers, without removed ones.
    pub servers: BTreeMap<ServerId, Endpoint>,
    /// The names of all servers that the events mention, removed ones included.
    pub names: BTreeMap<ServerId, String>,
    /// Descriptions of contradictions in the list: a zone or kind that the settings do not name, or an
    /// address that two servers have.
    pub contradictions: Vec<String>,
    /// The moment at which the site is checked, as Unix time. The start times of its servers are on the same
    /// clock.
    pub now: Instant,
}

/// The last listed server of each address.
type Addresses = BTreeMap<SocketAddr, ServerId>;

impl Site {
    /// Returns the site of a configuration, with its known events applied.
    pub fn from_config(config: &Config) -> Self {
        let parsed = &config.settings;
        let mut site = Site {
            settings: parsed.policy.clone(),
            classes: parsed.program.class_names().map(str::to_owned).collect(),
            zones: parsed.program.zones.clone(),
            kinds: parsed.program.kinds.clone(),
            servers: BTreeMap::new(),
            names: BTreeMap::new(),
            contradictions: Vec::new(),
            now: Instant::ZERO,
        };
        let zones = site.settings.topology.routers_by_zone.len().max(site.zones.len());
        site.zones.extend((site.zones.len()..zones).map(|zone| zone.to_string()));
        site.apply(&config.initial_events, &parsed.program);
        site
    }

    /// Applies the known events of the configuration.
    fn apply(&mut self, batch: &FeedBatch, names: &ProgramSettings) {
        let mut server_names = ServerNames::default();
        let mut addresses = Addresses::new();
        for change in batch.events.iter().filter_map(|event| event.members.as_ref()) {
            if change.whole {
                self.servers.clear();
                addresses.clear();
            }
            for host in &change.hosts {
                let mut endpoint = server_names.endpoint(host, names);
                // Explorations run on a clock that reads Unix time.
                let started_at = host.started_at();
                endpoint.started_at = started_at.map(|unix| Instant::from_micros(unix.as_micros()));
                self.names.insert(endpoint.server, host.host.clone());
                if host.health == Health::Removed {
                    self.servers.remove(&endpoint.server);
                    addresses.retain(|_, server| *server != endpoint.server);
                } else {
                    self.add(host, endpoint, names, &mut addresses);
                }
            }
        }
        self.now += WARM_UP_TIME;
    }

    fn add(
        &mut self,
        host: &FeedServer,
        endpoint: Endpoint,
        names: &ProgramSettings,
        addresses: &mut Addresses,
    ) {
        self.servers.insert(endpoint.server, endpoint);
        self.now = self.now.max(endpoint.started_at.unwrap_or(Instant::ZERO));
        self.check_address(host, endpoint.server, addresses);
        self.check_name("zone", host, &host.site, endpoint.zone.0, &names.zones);
        self.check_name("kind", host, &host.class, endpoint.kind, &names.kinds);
    }

    /// Records a contradiction if another server has the same address.
    fn check_address(&mut self, host: &FeedServer, server: ServerId, addresses: &mut Addresses) {
        let Some(address) = host.dial else { return };
        let other = addresses.insert(address, server).filter(|other| *other != server);
        if let Some(other) = other {
            let other = self.name(other);
            self.contradictions.push(format!("{} and {other} have the same address, {address}", host.host));
        }
    }

    /// Records a contradiction if the settings do not have the name. `number` is the name's index in their
    /// list; it is out of range if the name is unknown.
    fn check_name(&mut self, what: &str, host: &FeedServer, name: &str, number: u16, known: &[String]) {
        if usize::from(number) >= known.len() {
            let text = unknown_name(what, name, known.iter().map(String::as_str));
            self.contradictions.push(format!("{}: {text}", host.host));
        }
    }

    /// Returns a server's name, or `?` if the site does not know it.
    pub fn name(&self, server: ServerId) -> &str {
        self.names.get(&server).map_or("?", String::as_str)
    }

    /// Returns a server's name with its role and zone, such as `s-0c41 (hub:south)`.
    pub fn describe(&self, server: ServerId) -> String {
        let Some(endpoint) = self.servers.get(&server) else { return self.name(server).to_owned() };
        let zone = self.zone_name(endpoint.zone);
        let name = self.name(server);
        if self.is_origin(endpoint) {
            format!("{name} (origin)")
        } else if self.is_parent(endpoint) {
            format!("{name} (hub:{zone})")
        } else {
            format!("{name} (cache:{zone})")
        }
    }

    /// Returns a zone's name, or `?` if the site does not know it.
    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(usize::from(zone.0)).map_or("?", String::as_str)
    }

    /// Returns a class's name, or `?` if the site does not know it.
    pub fn class_name(&self, class: ClassId) -> &str {
        self.classes.get(usize::from(class.0)).map_or("?", String::as_str)
    }

    /// Whether a server is a parent, that is, a cache at a hub.
    pub fn is_parent(&self, endpoint: &Endpoint) -> bool {
        Some(endpoint.kind) == self.settings.topology.parent_kind
    }

    /// Whether a server is an origin server.
    pub fn is_origin(&self, endpoint: &Endpoint) -> bool {
        endpoint.kind == self.settings.topology.origin_kind
    }

    /// Whether a server is a table cache: neither a parent nor an origin server.
    pub fn is_cache(&self, endpoint: &Endpoint) -> bool {
        !self.is_parent(endpoint) && !self.is_origin(endpoint)
    }

    /// Returns the points, which are the zones that have edge proxies.
    pub fn points(&self) -> Vec<ZoneId> {
        let zones = self.settings.topology.routers_by_zone.iter().enumerate();
        zones.filter(|(_, routers)| **routers > 0).map(|(zone, _)| ZoneId(zone as u16)).collect()
    }

    /// Returns the zone of a point's hub; `None` if the settings name no hub for it.
    pub fn hub(&self, point: ZoneId) -> Option<ZoneId> {
        self.settings.topology.hub_by_zone.get(usize::from(point.0)).copied()
    }

    /// Returns the ready table caches of a point among these servers.
    pub fn ready_caches(&self, servers: &BTreeMap<ServerId, Endpoint>, point: ZoneId) -> BTreeSet<ServerId> {
        let is_ready_cache = |endpoint: &&Endpoint| {
            self.is_cache(endpoint) && endpoint.zone == point && endpoint.state == ServerState::Ready
        };
        servers.values().filter(is_ready_cache).map(|endpoint| endpoint.server).collect()
    }

    /// Returns the zone with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if no zone has this name.
    pub fn zone(&self, name: &str) -> Result<ZoneId, NameError> {
        Ok(ZoneId(index_of("zone", name, &self.zones)?))
    }

    /// Returns the class with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if no class has this name.
    pub fn class(&self, name: &str) -> Result<ClassId, NameError> {
        Ok(ClassId(index_of("class", name, &self.classes)?))
    }

    /// Returns the listed server with this name.
    ///
    /// # Errors
    ///
    /// Returns an error if no listed server has this name.
    pub fn server(&self, name: &str) -> Result<ServerId, NameError> {
        let mut listed = self.servers.keys();
        if let Some(server) = listed.find(|server| self.name(**server) == name) {
            return Ok(*server);
        }
        let names = self.servers.keys().map(|server| self.name(*server));
        Err(NameError::Unknown(unknown_name("server", name, names)))
    }
}
