//! The servers by name: the control feed's words on one side, the decision module's numbers on the other.

use crate::config::events::{FeedServer, Health};
use crate::config::settings::ProgramSettings;
use crate::interface::{Endpoint, ServerId, ServerState, ZoneId};
use std::collections::BTreeMap;

/// A number that no zone and no kind of the settings has.
const UNKNOWN_INDEX: u16 = u16::MAX;

/// The servers that the list has named so far.
#[derive(Default)]
pub struct ServerNames {
    ids: BTreeMap<String, ServerId>,
    names: BTreeMap<ServerId, String>,
}

impl ServerNames {
    /// The name of a server.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.names.get(&server).map(String::as_str)
    }

    /// The number of a server: the hex digits of its name, or else some number that is free.
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

    /// Forgets a server that is gone: with new ones all day long, names would grow for good.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(name) = self.names.remove(&server) {
            self.ids.remove(&name);
        }
    }

    /// An entry of the endpoint list for the decision module, without its start: the feed states that in Unix time
    /// ([`FeedServer::started_at`]), which the caller converts.
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
