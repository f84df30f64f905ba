//! Parses the operators' file of expectations, which is HCL.

mod rules;
mod scenarios;

use super::expectation::{Expectation, ExploreSettings, Scenario, Suite, MAX_SEEDS};
use super::selector::Selector;
use super::site::Site;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Located, Position};
use crate::interface::{ClassId, ZoneId};
use hcl_edit::structure::{Block, Body};

const MAX_OBJECTS: u64 = 4000;
const MIN_REPEATS: u64 = 2;
const MAX_REPEATS: u64 = 1000;

/// Parses a file of expectations, and resolves its names in a site.
///
/// # Errors
///
/// Returns one error for text that is not HCL. Otherwise returns an error for each block that cannot be used
/// because of an unknown key, a value out of range, or a point, class or server that the site does not have.
/// Each error names its line and column.
pub fn parse(doc: HclDocument<'_>, site: &Site) -> Result<Suite, Vec<HclError>> {
    let body = doc.parse().map_err(|error| vec![error])?;
    let mut parser = SuiteParser { doc, site, expectations: Vec::new(), errors: Vec::new() };
    let explore_settings = parser.parse(&body);
    parser.finish(explore_settings)
}

/// Reads the blocks of a file, and collects the errors in them.
struct SuiteParser<'a> {
    doc: HclDocument<'a>,
    site: &'a Site,
    expectations: Vec<Expectation>,
    errors: Vec<HclError>,
}

impl<'a> SuiteParser<'a> {
    fn parse(&mut self, body: &'a Body) -> ExploreSettings {
        let mut reader = self.doc.reader(body);
        let explore_settings = read_explore_settings(self.doc, &mut reader).unwrap_or_else(|error| {
            self.errors.push(error);
            ExploreSettings::default()
        });
        for block in reader.blocks("expect") {
            match read_expectation(self.doc, block, self.site) {
                Ok(expectation) => self.add(expectation),
                Err(error) => self.errors.push(error),
            }
        }
        self.errors.extend(reader.finish().err());
        explore_settings
    }

    fn add(&mut self, expectation: Expectation) {
        if self.expectations.iter().any(|known| known.name == expectation.name) {
            let text = format!("expectation {:?} is defined twice", expectation.name);
            self.errors.push(self.doc.error(expectation.at, text));
        }
        self.expectations.push(expectation);
    }

    fn finish(self, explore_settings: ExploreSettings) -> Result<Suite, Vec<HclError>> {
        let SuiteParser { doc, expectations, mut errors, .. } = self;
        if expectations.is_empty() && errors.is_empty() {
            errors.push(doc.error(Position { line: 1, column: 1 }, "the file has no expect block"));
        }
        if errors.is_empty() {
            return Ok(Suite { explore_settings, expectations });
        }
        errors.sort_by_key(|error| error.at);
        Err(errors)
    }
}

fn read_explore_settings(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
) -> Result<ExploreSettings, HclError> {
    let default = ExploreSettings::default();
    let Some(block) = reader.block("explore")? else { return Ok(default) };
    let mut reader = doc.reader(&block.body);
    let seed = reader.integer("seed", 0, u64::MAX)?;
    let seeds = reader.integer("seeds", 1, MAX_SEEDS)?;
    let objects = reader.integer("objects", 1, MAX_OBJECTS)?;
    let repeats = reader.integer("repeats", MIN_REPEATS, MAX_REPEATS)?;
    reader.finish()?;
    Ok(ExploreSettings {
        seed: seed.map_or(default.seed, |seed| seed.value),
        seeds: seeds.map_or(default.seeds, |seeds| seeds.value),
        objects: objects.map_or(default.objects, |objects| objects.value as usize),
        repeats: repeats.map_or(default.repeats, |repeats| repeats.value as usize),
    })
}

fn read_expectation(doc: HclDocument<'_>, block: &Block, site: &Site) -> Result<Expectation, HclError> {
    let at = doc.position(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "an expect block must have exactly one label: expect \"NAME\" { ... }"));
    };
    let name = label.as_str().to_owned();
    let mut reader = doc.reader(&block.body);
    let points = read_points(doc, &mut reader, site)?;
    let classes = read_classes(doc, &mut reader, site)?;
    let objects = reader.object_ids("objects")?;
    let popular = reader.boolean("popular")?.is_some_and(|flag| flag.value);
    let scenarios = match reader.block("when")? {
        Some(when) => scenarios::read(doc, when, site)?,
        None => vec![Scenario::default()],
    };
    let rules = rules::read(doc, &mut reader, site)?;
    reader.finish()?;
    if rules.is_empty() {
        return Err(doc.error(at, format!("expectation {name:?} has no rule")));
    }
    Ok(Expectation { name, at, points, classes, objects, popular, scenarios, rules })
}

/// Returns the points that the block names, or all points if it names none.
fn read_points(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
    site: &Site,
) -> Result<Vec<ZoneId>, HclError> {
    let names = reader.strings("from_point")?;
    if names.is_empty() {
        return Ok(site.points());
    }
    names.iter().map(|name| read_point(doc, name, site)).collect()
}

fn read_point(doc: HclDocument<'_>, name: &Located<String>, site: &Site) -> Result<ZoneId, HclError> {
    let zone = site.zone(&name.value).map_err(|error| doc.error(name.at, error.to_string()))?;
    if site.points().contains(&zone) {
        return Ok(zone);
    }
    Err(doc.error(name.at, format!("zone {:?} is not a point: it has no edge proxies", name.value)))
}

/// Returns the classes that the block names, or all classes if it names none.
fn read_classes(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
    site: &Site,
) -> Result<Vec<ClassId>, HclError> {
    let names = reader.strings("class")?;
    if names.is_empty() {
        return Ok((0..site.classes.len()).map(|class| ClassId(class as u16)).collect());
    }
    let class = |name: &Located<String>| {
        let class = site.class(&name.value);
        class.map_err(|error| doc.error(name.at, error.to_string()))
    };
    names.iter().map(class).collect()
}

/// Returns the server selectors in the value of a key.
fn read_selectors(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
    site: &Site,
    key: &str,
) -> Result<Vec<Selector>, HclError> {
    let selector = |text: &Located<String>| {
        let selector = site.selector(&text.value);
        selector.map_err(|error| doc.error(text.at, error.to_string()))
    };
    reader.strings(key)?.iter().map(selector).collect()
}
