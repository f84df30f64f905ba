//! Reads the scenarios of a `when` block. Keys such as `drained` change all servers that they name in each
//! scenario; an `each_...` key makes one scenario for each server that it names.

use super::read_selectors;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, NamedNumber};
use crate::expect::expectation::{Reweighting, Scenario};
use crate::expect::selector::Selector;
use crate::expect::site::Site;
use crate::interface::ServerId;
use hcl_edit::structure::Block;

/// Maximum number of servers that a label names for one key.
const MAX_NAMED_SERVERS: usize = 4;
/// The part of a label that stands for `late`. The text is part of reports.
const LATE_LABEL: &str = "some edge proxies not knowing";

/// A key that makes one scenario for each of its servers.
struct EachKey {
    key: &'static str,
    /// The word for the change in the label.
    change: &'static str,
    /// Returns the scenario's list to which the server is added.
    list: fn(&mut Scenario) -> &mut Vec<ServerId>,
}

const EACH_KEYS: [EachKey; 3] = [
    EachKey { key: "each_drained", change: "drained", list: |scenario| &mut scenario.drained },
    EachKey { key: "each_down", change: "down", list: |scenario| &mut scenario.down },
    EachKey { key: "each_removed", change: "removed", list: |scenario| &mut scenario.removed },
];

/// Returns the block's scenarios. A block that changes nothing is an error.
pub(super) fn read(doc: HclDocument<'_>, block: &Block, site: &Site) -> Result<Vec<Scenario>, HclError> {
    let mut scenarios = ScenarioReader {
        doc,
        site,
        reader: doc.reader(&block.body),
        base: Scenario::default(),
        changes: Vec::new(),
    };
    scenarios.read_changes()?;
    let each = scenarios.read_each()?;
    let ScenarioReader { reader, base, changes, .. } = scenarios;
    reader.finish()?;
    if !each.is_empty() {
        return Ok(each);
    }
    if base.changes_nothing() {
        return Err(doc.error(doc.position(block), "this when block changes no server"));
    }
    Ok(vec![Scenario { label: label(&changes, None, base.late), ..base }])
}

/// Reads one `when` block.
struct ScenarioReader<'a> {
    doc: HclDocument<'a>,
    site: &'a Site,
    reader: BlockReader<'a>,
    /// The changes that are part of each scenario.
    base: Scenario,
    /// Descriptions of the changes in `base`; the label of each scenario begins with them.
    changes: Vec<String>,
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
            let text = "own-cache and own-hub depend on the point; use cache:ZONE or hub:ZONE";
            return Err(self.doc.error(at, text));
        }
        let selected = self.site.selected(&selectors, self.site.settings.topology.zone);
        let servers: Vec<ServerId> = selected.into_iter().collect();
        self.changes.push(format!("{key} {}", first_names(self.site, &servers)));
        Ok(servers)
    }

    fn read_down_zones(&mut self) -> Result<(), HclError> {
        for name in self.reader.strings("down_zone")? {
            let zone =
                self.site.zone(&name.value).map_err(|error| self.doc.error(name.at, error.to_string()))?;
            let endpoints = self.site.servers.values().filter(|endpoint| endpoint.zone == zone);
            let endpoints = endpoints.filter(|endpoint| !self.site.is_origin(endpoint));
            self.base.down.extend(endpoints.map(|endpoint| endpoint.server));
            self.changes.push(format!("zone {} down", name.value));
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
                return Err(self.doc.error(
                    name.at,
                    format!("reweighted needs the names of single servers, not {:?}", name.value),
                ));
            };
            self.base.reweighted.push(Reweighting { server, weight });
            self.changes.push(format!("{} of weight {weight}", name.value));
        }
        Ok(())
    }

    /// Returns one scenario for each server of the `each_...` keys.
    fn read_each(&mut self) -> Result<Vec<Scenario>, HclError> {
        let mut scenarios = Vec::new();
        for EachKey { key, change, list } in EACH_KEYS {
            for selector in read_selectors(self.doc, &mut self.reader, self.site, key)? {
                for server in self.site.selected(&[selector], self.site.settings.topology.zone) {
                    let mut scenario = self.base.clone();
                    list(&mut scenario).push(server);
                    let one = format!("{change} {}", self.site.name(server));
                    scenario.label = label(&self.changes, Some(&one), scenario.late);
                    scenarios.push(scenario);
                }
            }
        }
        Ok(scenarios)
    }
}

/// Returns a scenario's label: `changes`, then the change `one` to a single server of an `each_...` key, then
/// [`LATE_LABEL`] if `late`.
fn label(changes: &[String], one: Option<&str>, late: bool) -> String {
    let changes = changes.iter().map(String::as_str);
    let changes: Vec<&str> = changes.chain(one).chain(late.then_some(LATE_LABEL)).collect();
    changes.join(", ")
}

/// Returns the names of the first few servers, and how many more there are.
fn first_names(site: &Site, servers: &[ServerId]) -> String {
    let names: Vec<&str> = servers.iter().take(MAX_NAMED_SERVERS).map(|server| site.name(*server)).collect();
    let names = names.join(", ");
    match servers.len().saturating_sub(MAX_NAMED_SERVERS) {
        0 => names,
        more => format!("{names} and {more} more"),
    }
}
