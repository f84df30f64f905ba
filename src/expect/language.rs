//! The operators' file of expectations, in HCL.

mod rules;
mod scenarios;

use super::expectation::{Breadth, Expectation, Scenario, Suite, MAX_SEEDS};
use super::selector::Selector;
use super::site::Site;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Located, Position};
use crate::interface::{ClassId, ZoneId};
use hcl_edit::structure::{Block, Body};

const MAX_OBJECTS: u64 = 4000;
const MIN_REPEATS: u64 = 2;
const MAX_REPEATS: u64 = 1000;

/// Reads a file of expectations against a site.
///
/// # Errors
///
/// Text that is not HCL, or every block that cannot be used: unknown keys, values out of range, and points, classes
/// and servers that the site does not have. Each error names its line and column.
pub fn parse(doc: HclDocument<'_>, site: &Site) -> Result<Suite, Vec<HclError>> {
    let body = doc.parse().map_err(|error| vec![error])?;
    let mut parser = SuiteParser { doc, site, expectations: Vec::new(), errors: Vec::new() };
    let breadth = parser.parse(&body);
    parser.finish(breadth)
}

/// Reads a file, and collects what is wrong with it.
struct SuiteParser<'a> {
    doc: HclDocument<'a>,
    site: &'a Site,
    expectations: Vec<Expectation>,
    errors: Vec<HclError>,
}

impl<'a> SuiteParser<'a> {
    fn parse(&mut self, body: &'a Body) -> Breadth {
        let mut reader = self.doc.reader(body);
        let breadth = read_breadth(self.doc, &mut reader).unwrap_or_else(|error| {
            self.errors.push(error);
            Breadth::default()
        });
        for block in reader.blocks("expect") {
            match read_expectation(self.doc, block, self.site) {
                Ok(expectation) => self.add(expectation),
                Err(error) => self.errors.push(error),
            }
        }
        self.errors.extend(reader.finish().err());
        breadth
    }

    fn add(&mut self, expectation: Expectation) {
        if self.expectations.iter().any(|known| known.name == expectation.name) {
            let text = format!("expectation {:?} comes twice", expectation.name);
            self.errors.push(self.doc.error(expectation.at, text));
        }
        self.expectations.push(expectation);
    }

    fn finish(self, breadth: Breadth) -> Result<Suite, Vec<HclError>> {
        let SuiteParser { doc, expectations, mut errors, .. } = self;
        if expectations.is_empty() && errors.is_empty() {
            errors.push(doc.error(Position { line: 1, column: 1 }, "no expect block"));
        }
        if errors.is_empty() {
            return Ok(Suite { breadth, expectations });
        }
        errors.sort_by_key(|error| error.at);
        Err(errors)
    }
}

fn read_breadth(doc: HclDocument<'_>, reader: &mut BlockReader<'_>) -> Result<Breadth, HclError> {
    let default = Breadth::default();
    let Some(block) = reader.block("explore")? else { return Ok(default) };
    let mut reader = doc.reader(&block.body);
    let seed = reader.integer("seed", 0, u64::MAX)?;
    let seeds = reader.integer("seeds", 1, MAX_SEEDS)?;
    let objects = reader.integer("objects", 1, MAX_OBJECTS)?;
    let repeats = reader.integer("repeats", MIN_REPEATS, MAX_REPEATS)?;
    reader.finish()?;
    Ok(Breadth {
        seed: seed.map_or(default.seed, |seed| seed.value),
        seeds: seeds.map_or(default.seeds, |seeds| seeds.value),
        objects: objects.map_or(default.objects, |objects| objects.value as usize),
        repeats: repeats.map_or(default.repeats, |repeats| repeats.value as usize),
    })
}

fn read_expectation(doc: HclDocument<'_>, block: &Block, site: &Site) -> Result<Expectation, HclError> {
    let at = doc.position(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "an expectation has one name: expect \"NAME\" { ... }"));
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
        return Err(doc.error(at, format!("expectation {name:?} expects nothing")));
    }
    Ok(Expectation { name, at, points, classes, objects, popular, scenarios, rules })
}

/// The points that the block names; all, if it names none.
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
    Err(doc.error(name.at, format!("{:?} is no point: it has no edge proxies", name.value)))
}

/// The classes that the block names; all, if it names none.
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

/// The selectors of servers that a key names.
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
