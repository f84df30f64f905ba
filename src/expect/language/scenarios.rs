//! The scenarios of a `when` block: what happens to all servers that are named, or to one after another of
//! `each_...`.

use super::read_selectors;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, NamedNumber};
use crate::expect::expectation::{Reweighting, Scenario};
use crate::expect::selector::Selector;
use crate::expect::site::Site;
use crate::interface::ServerId;
use hcl_edit::structure::Block;

/// Servers of a list that a label names.
const MAX_NAMED_SERVERS: usize = 4;
/// How a label says that some edge proxies still have the list of before.
const LATE: &str = "some edge proxies not knowing";

/// A key of servers that have a scenario of their own each.
struct EachKey {
    key: &'static str,
    /// What happens to the server, as the label says it.
    change: &'static str,
    /// The list of the scenario that the server joins.
    list: fn(&mut Scenario) -> &mut Vec<ServerId>,
}

const EACH_KEYS: [EachKey; 3] = [
    EachKey { key: "each_drained", change: "drained", list: |scenario| &mut scenario.drained },
    EachKey { key: "each_down", change: "down", list: |scenario| &mut scenario.down },
    EachKey { key: "each_removed", change: "removed", list: |scenario| &mut scenario.removed },
];

/// Reads the block's scenarios.
pub(super) fn read(doc: HclDocument<'_>, block: &Block, site: &Site) -> Result<Vec<Scenario>, HclError> {
    let mut scenarios = ScenarioReader {
        doc,
        site,
        reader: doc.reader(&block.body),
        base: Scenario::default(),
        words: Vec::new(),
    };
    scenarios.read_changes()?;
    let each = scenarios.read_each()?;
    let ScenarioReader { reader, base, words, .. } = scenarios;
    reader.finish()?;
    if !each.is_empty() {
        return Ok(each);
    }
    if base.is_calm() {
        return Err(doc.error(doc.position(block), "in this when block nothing happens"));
    }
    Ok(vec![Scenario { label: label(&words, None, base.late), ..base }])
}

/// Reads one block.
struct ScenarioReader<'a> {
    doc: HclDocument<'a>,
    site: &'a Site,
    reader: BlockReader<'a>,
    /// What happens in each scenario.
    base: Scenario,
    /// The same in words.
    words: Vec<String>,
}

impl ScenarioReader<'_> {
    fn read_changes(&mut self) -> Result<(), HclError> {
        self.base.drained = self.read_servers("drained")?;
        self.base.removed = self.read_servers("removed")?;
        self.base.down = self.read_servers("down")?;
        self.base.cold = self.read_servers("cold")?;
        self.read_down_zones()?;
        self.read_reweighted()?;
        self.base.late = self.reader.boolean("late")?.is_some_and(|flag| flag.value);
        Ok(())
    }

    fn read_servers(&mut self, key: &str) -> Result<Vec<ServerId>, HclError> {
        let Some(at) = self.reader.position_of(key) else { return Ok(Vec::new()) };
        let selectors = read_selectors(self.doc, &mut self.reader, self.site, key)?;
        if selectors.iter().any(Selector::depends_on_point) {
            let text = "own-cache and own-hub depend on the point: name the zone";
            return Err(self.doc.error(at, text));
        }
        let selected = self.site.selected(&selectors, self.site.settings.topology.zone);
        let servers: Vec<ServerId> = selected.into_iter().collect();
        self.words.push(format!("{key} {}", some_names(self.site, &servers)));
        Ok(servers)
    }

    fn read_down_zones(&mut self) -> Result<(), HclError> {
        for name in self.reader.strings("down_zone")? {
            let zone =
                self.site.zone(&name.value).map_err(|error| self.doc.error(name.at, error.to_string()))?;
            let members = self.site.servers.values().filter(|member| member.zone == zone);
            let members = members.filter(|member| !self.site.is_origin(member));
            self.base.down.extend(members.map(|member| member.server));
            self.words.push(format!("zone {} down", name.value));
        }
        Ok(())
    }

    fn read_reweighted(&mut self) -> Result<(), HclError> {
        for NamedNumber { name, number: weight } in self.reader.named_numbers("reweighted")? {
            let selector = self
                .site
                .selector(&name.value)
                .map_err(|error| self.doc.error(name.at, error.to_string()))?;
            let Selector::Server(server) = selector else {
                return Err(self.doc.error(name.at, "reweighted names servers"));
            };
            self.base.reweighted.push(Reweighting { server, weight });
            self.words.push(format!("{} of weight {weight}", name.value));
        }
        Ok(())
    }

    /// One scenario for each server of an `each_...` key.
    fn read_each(&mut self) -> Result<Vec<Scenario>, HclError> {
        let mut scenarios = Vec::new();
        for EachKey { key, change, list } in EACH_KEYS {
            for selector in read_selectors(self.doc, &mut self.reader, self.site, key)? {
                for server in self.site.selected(&[selector], self.site.settings.topology.zone) {
                    let mut scenario = self.base.clone();
                    list(&mut scenario).push(server);
                    let words = format!("{change} {}", self.site.name(server));
                    scenario.label = label(&self.words, Some(&words), scenario.late);
                    scenarios.push(scenario);
                }
            }
        }
        Ok(scenarios)
    }
}

/// A scenario in words: what happens to all, then to the one server.
fn label(words: &[String], one: Option<&str>, late: bool) -> String {
    let words = words.iter().map(String::as_str);
    let words: Vec<&str> = words.chain(one).chain(late.then_some(LATE)).collect();
    words.join(", ")
}

/// The first few names of a list of servers.
fn some_names(site: &Site, servers: &[ServerId]) -> String {
    let names: Vec<&str> = servers.iter().take(MAX_NAMED_SERVERS).map(|server| site.name(*server)).collect();
    let names = names.join(", ");
    match servers.len().saturating_sub(MAX_NAMED_SERVERS) {
        0 => names,
        more => format!("{names} and {more} more"),
    }
}
