//! The mapping between the servers' names in the control feed and the server ids of the decision module.

use crate::config::events::{FeedServer, Health};
use crate::config::settings::ProgramSettings;
use crate::interface::{Endpoint, ServerId, ServerState, ZoneId};
use std::collections::BTreeMap;

/// Index of a zone or kind that the settings do not define.
const UNKNOWN_INDEX: u16 = u16::MAX;

/// The names and ids of the servers in the endpoint list.
#[derive(Default)]
pub struct ServerNames {
    ids: BTreeMap<String, ServerId>,
    names: BTreeMap<ServerId, String>,
}

impl ServerNames {
    /// Returns the name of a server; `None` if the id is not known.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.names.get(&server).map(String::as_str)
    }

    /// Returns the id of a server, and assigns one to a new name: the hexadecimal number after the last `-`
    /// of the name, otherwise a hash of the name. If that id is taken, the next free one is used.
    pub fn id(&mut self, name: &str) -> ServerId {
        if let Some(known) = self.ids.get(name) {
            return *known;
        }
        let digits = name.rsplit('-').next().unwrap_or(name);
        let hash =
            name.bytes().fold(0x811c_9dc5, |hash: u32, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193));
        let mut id = ServerId(u32::from_str_radix(digits, 16).unwrap_or(hash));
        while self.names.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.to_owned(), id);
        self.names.insert(id, name.to_owned());
        id
    }

    /// Removes a server that has left the endpoint list. Otherwise the table would grow without bound, since
    /// new servers are added all the time.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// Converts an entry of the endpoint list for the decision module, without its start time. The feed sends
    /// that as Unix time ([`FeedServer::started_at`]), and the caller converts it.
    pub fn endpoint(&mut self, server: &FeedServer, settings: &ProgramSettings) -> Endpoint {
        let index_of = |list: &[String], name: &str| {
            list.iter().position(|known| known == name).map_or(UNKNOWN_INDEX, |index| index as u16)
        };
        Endpoint {
            server: self.id(&server.host),
            started_at: None,
            weight: server.share,
            kind: index_of(&settings.kinds, &server.class),
            cell: server.block,
            zone: ZoneId(index_of(&settings.zones, &server.site)),
            state: match server.health {
                Health::Up => ServerState::Ready,
                Health::Draining => ServerState::Draining,
                Health::Removed => ServerState::Removed,
            },
        }
    }
}

#[cfg(test)]
mod tests;
