//! A site as its configuration and the control feed's known events describe it.

use super::names::{index_of, NameError};
use crate::config::events::{FeedBatch, FeedServer, Health};
use crate::config::hcl_document::unknown_name;
use crate::config::settings::ProgramSettings;
use crate::config::Config;
use crate::interface::{ClassId, Endpoint, Instant, ServerId, ServerState, Settings, Span, ZoneId};
use crate::server_names::ServerNames;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The time from the last start of a server to the moment at which the site is checked: every server is warm by then.
const SETTLED: Span = Span::from_secs(3_600);

/// A configuration's settings with the servers of its list.
#[derive(Clone, Debug)]
pub struct Site {
    /// For the decision module; `zone` is the configuration's own point.
    pub settings: Settings,
    /// The classes' names, by number, without retired ones.
    pub classes: Vec<String>,
    /// The zones' names, by number.
    pub zones: Vec<String>,
    /// The kinds of machine, by number.
    pub kinds: Vec<String>,
    /// The listed servers, without removed ones.
    pub servers: BTreeMap<ServerId, Endpoint>,
    /// Their names.
    pub names: BTreeMap<ServerId, String>,
    /// Contradictions in the list: a zone or kind that the settings do not name, an address of two servers.
    pub contradictions: Vec<String>,
    /// The moment at which the site is checked, on a clock that reads Unix time, as the starts of its servers.
    pub now: Instant,
}

/// The listed addresses, with the last server that has each.
type Addresses = BTreeMap<SocketAddr, ServerId>;

impl Site {
    /// The site of a configuration, after the events that it knows.
    pub fn of(config: &Config) -> Self {
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

    /// Applies the events that the configuration knows.
    fn apply(&mut self, batch: &FeedBatch, names: &ProgramSettings) {
        let mut members = ServerNames::default();
        let mut addresses = Addresses::new();
        for change in batch.events.iter().filter_map(|event| event.members.as_ref()) {
            if change.whole {
                self.servers.clear();
                addresses.clear();
            }
            for host in &change.hosts {
                let mut member = members.endpoint(host, names);
                // Expectations are explored on a clock that reads Unix time.
                let started_at = host.started_at();
                member.started_at = started_at.map(|unix| Instant::from_micros(unix.as_micros()));
                self.names.insert(member.server, host.host.clone());
                if host.health == Health::Removed {
                    self.servers.remove(&member.server);
                    addresses.retain(|_, server| *server != member.server);
                } else {
                    self.add(host, member, names, &mut addresses);
                }
            }
        }
        self.now += SETTLED;
    }

    fn add(
        &mut self,
        host: &FeedServer,
        member: Endpoint,
        names: &ProgramSettings,
        addresses: &mut Addresses,
    ) {
        self.servers.insert(member.server, member);
        self.now = self.now.max(member.started_at.unwrap_or(Instant::ZERO));
        self.check_address(host, member.server, addresses);
        self.check_name("zone", host, &host.site, member.zone.0, &names.zones);
        self.check_name("kind", host, &host.class, member.kind, &names.kinds);
    }

    /// Notes an address that another server has too.
    fn check_address(&mut self, host: &FeedServer, server: ServerId, addresses: &mut Addresses) {
        let Some(address) = host.dial else { return };
        let other = addresses.insert(address, server).filter(|other| *other != server);
        if let Some(other) = other {
            let other = self.name(other);
            self.contradictions.push(format!("{} and {other} have one address, {address}", host.host));
        }
    }

    /// Notes a name that the settings lack; `number` is its place in their list.
    fn check_name(&mut self, what: &str, host: &FeedServer, name: &str, number: u16, known: &[String]) {
        if usize::from(number) >= known.len() {
            let text = unknown_name(what, name, known.iter().map(String::as_str));
            self.contradictions.push(format!("{}: {text}", host.host));
        }
    }

    /// A server's name.
    pub fn name(&self, server: ServerId) -> &str {
        self.names.get(&server).map_or("?", String::as_str)
    }

    /// A server's name with what it is, as `s-0c41 (hub:south)`.
    pub fn describe(&self, server: ServerId) -> String {
        let Some(member) = self.servers.get(&server) else { return self.name(server).to_owned() };
        let zone = self.zone_name(member.zone);
        let name = self.name(server);
        if self.is_origin(member) {
            format!("{name} (origin)")
        } else if self.is_parent(member) {
            format!("{name} (hub:{zone})")
        } else {
            format!("{name} (cache:{zone})")
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
    pub fn is_parent(&self, member: &Endpoint) -> bool {
        Some(member.kind) == self.settings.topology.parent_kind
    }

    /// Whether a server is the origin.
    pub fn is_origin(&self, member: &Endpoint) -> bool {
        member.kind == self.settings.topology.origin_kind
    }

    /// Whether a server is a table cache.
    pub fn is_cache(&self, member: &Endpoint) -> bool {
        !self.is_parent(member) && !self.is_origin(member)
    }

    /// The points: zones that have edge proxies.
    pub fn points(&self) -> Vec<ZoneId> {
        let zones = self.settings.topology.routers_by_zone.iter().enumerate();
        zones.filter(|(_, routers)| **routers > 0).map(|(zone, _)| ZoneId(zone as u16)).collect()
    }

    /// The hub of a point.
    pub fn hub(&self, point: ZoneId) -> Option<ZoneId> {
        self.settings.topology.hub_by_zone.get(usize::from(point.0)).copied()
    }

    /// The ready table caches of a point among these servers.
    pub fn ready_caches(&self, servers: &BTreeMap<ServerId, Endpoint>, point: ZoneId) -> BTreeSet<ServerId> {
        let fits = |member: &&Endpoint| {
            self.is_cache(member) && member.zone == point && member.state == ServerState::Ready
        };
        servers.values().filter(fits).map(|member| member.server).collect()
    }

    /// A zone by its name.
    ///
    /// # Errors
    ///
    /// No zone of that name.
    pub fn zone(&self, name: &str) -> Result<ZoneId, NameError> {
        Ok(ZoneId(index_of("zone", name, &self.zones)?))
    }

    /// A class by its name.
    ///
    /// # Errors
    ///
    /// No class of that name.
    pub fn class(&self, name: &str) -> Result<ClassId, NameError> {
        Ok(ClassId(index_of("class", name, &self.classes)?))
    }

    /// A listed server by its name.
    ///
    /// # Errors
    ///
    /// No server of that name.
    pub fn server(&self, name: &str) -> Result<ServerId, NameError> {
        let mut listed = self.servers.keys();
        if let Some(server) = listed.find(|server| self.name(**server) == name) {
            return Ok(*server);
        }
        let names = self.servers.keys().map(|server| self.name(*server));
        Err(NameError::Unknown(unknown_name("server", name, names)))
    }
}
