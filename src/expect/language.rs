//! What operators write: expectations, the scenarios they hold under, and the rules they are made of.

use super::site::{Selector, Site};
use crate::config::located::{Doc, DocError, Located, Place, Reader};
use crate::interface::{ClassId, ObjectId, ServerId, ZoneId};
use hcl_edit::structure::Block;

/// How widely the decision module is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breadth {
    /// The first seed.
    pub seed: u64,
    /// How many seeds, one after another: the module's random choices differ with them.
    pub seeds: u64,
    /// Sampled objects of a class, where an expectation names none.
    pub objects: usize,
    /// How often a popular object is asked for.
    pub repeats: usize,
}

impl Default for Breadth {
    fn default() -> Self {
        Breadth { seed: 1, seeds: 8, objects: 32, repeats: 24 }
    }
}

/// A file of expectations, all names resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Suite {
    /// How widely to ask.
    pub breadth: Breadth,
    /// The expectations, in the file's order.
    pub expectations: Vec<Expectation>,
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Its name.
    pub name: String,
    /// Where it begins.
    pub at: Place,
    /// The points whose requests it is about.
    pub points: Vec<ZoneId>,
    /// The classes it is about.
    pub classes: Vec<ClassId>,
    /// The objects, where they are named.
    pub objects: Vec<ObjectId>,
    /// Whether each object is asked for again and again, so that delegates are started for it.
    pub popular: bool,
    /// The scenarios it must hold under, each for itself; without a `when` block one in which nothing happens.
    pub scenarios: Vec<Scenario>,
    /// What must hold.
    pub rules: Vec<Located<Rule>>,
}

/// What must hold for every request that is asked about.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// Whoever is asked is one of these; a class that is never kept may be carried by another to where it runs.
    GoesTo(Vec<Selector>),
    /// None of these is asked.
    NeverGoesTo(Vec<Selector>),
    /// A miss is filled from one of these.
    FillsFrom(Vec<Selector>),
    /// No miss is filled from one of these.
    NeverFillFrom(Vec<Selector>),
    /// The final answer.
    Final(Answer),
    /// Most attempts for one request.
    AttemptsAtMost(u64),
    /// Most caches that one object's requests go to.
    CachesAtMost(u64),
    /// The least rank at which a copy is kept.
    RankAtLeast(u64),
    /// The greatest rank at which a copy is kept; 0: no copy is.
    RankAtMost(u64),
    /// The greatest part of the objects that have one cache as their home.
    ShareAtMost(f64),
    /// The greatest part of the objects whose home changes though it is still ready.
    MovesAtMost(f64),
    /// No fills of one object go in a circle.
    Acyclic,
}

impl Rule {
    /// The rule's word in the file.
    pub fn word(&self) -> &'static str {
        match self {
            Rule::GoesTo(_) => "goes_to",
            Rule::NeverGoesTo(_) => "never_goes_to",
            Rule::FillsFrom(_) => "fills_from",
            Rule::NeverFillFrom(_) => "never_fill_from",
            Rule::Final(_) => "answer",
            Rule::AttemptsAtMost(_) => "attempts_at_most",
            Rule::CachesAtMost(_) => "caches_at_most",
            Rule::RankAtLeast(_) => "rank_at_least",
            Rule::RankAtMost(_) => "rank_at_most",
            Rule::ShareAtMost(_) => "share_at_most",
            Rule::MovesAtMost(_) => "moves_at_most",
            Rule::Acyclic => "acyclic",
        }
    }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

impl Answer {
    /// The answer's word.
    pub fn word(self) -> &'static str {
        match self {
            Answer::Served => "served",
            Answer::Refused => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// What happens to the site between the requests before and those that are judged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// In words; empty where nothing happens.
    pub label: String,
    /// Told to drain.
    pub drained: Vec<ServerId>,
    /// Removed from the list.
    pub removed: Vec<ServerId>,
    /// Still listed, but nobody is there: no connection comes up.
    pub down: Vec<ServerId>,
    /// Started anew just now.
    pub cold: Vec<ServerId>,
    /// Given another weight.
    pub reweighted: Vec<(ServerId, f64)>,
    /// Whether part of the edge proxies have not heard of it: both views are in force.
    pub late: bool,
}

impl Scenario {
    /// Whether nothing happens to any server.
    pub fn is_calm(&self) -> bool {
        let lists = [&self.drained, &self.removed, &self.down, &self.cold];
        lists.iter().all(|list| list.is_empty()) && self.reweighted.is_empty()
    }
}

/// Reads a file of expectations against a site.
///
/// # Errors
///
/// Text that is not HCL, or all that the expectations name wrongly: keys, values, and points, classes and servers
/// that the site does not have. Each names its line and column.
pub fn parse(doc: Doc<'_>, site: &Site) -> Result<Suite, Vec<DocError>> {
    let body = doc.body().map_err(|error| vec![error])?;
    let mut reader = doc.reader(&body);
    let mut errors = Vec::new();
    let mut breadth = Breadth::default();
    match reader.block("explore") {
        Ok(None) => {}
        Ok(Some(block)) => match explore(doc.reader(&block.body)) {
            Ok(read) => breadth = read,
            Err(error) => errors.push(error),
        },
        Err(error) => errors.push(error),
    }
    let mut expectations: Vec<Expectation> = Vec::new();
    for block in reader.blocks("expect") {
        match expectation(doc, block, site) {
            Ok(read) => {
                if expectations.iter().any(|known| known.name == read.name) {
                    errors.push(doc.error(read.at, format!("expectation {:?} comes twice", read.name)));
                }
                expectations.push(read);
            }
            Err(error) => errors.push(error),
        }
    }
    errors.extend(reader.finish().err());
    if expectations.is_empty() && errors.is_empty() {
        errors.push(doc.error(Place { line: 1, column: 1 }, "no expect block"));
    }
    errors.sort_by_key(|error| error.at);
    if errors.is_empty() {
        Ok(Suite { breadth, expectations })
    } else {
        Err(errors)
    }
}

fn explore(mut reader: Reader<'_>) -> Result<Breadth, DocError> {
    let usual = Breadth::default();
    let breadth = Breadth {
        seed: reader.whole("seed", 0, u64::MAX)?.map_or(usual.seed, |n| n.value),
        seeds: reader.whole("seeds", 1, 1000)?.map_or(usual.seeds, |n| n.value),
        objects: reader.whole("objects", 1, 4000)?.map_or(usual.objects, |n| n.value as usize),
        repeats: reader.whole("repeats", 2, 1000)?.map_or(usual.repeats, |n| n.value as usize),
    };
    reader.finish()?;
    Ok(breadth)
}

fn expectation(doc: Doc<'_>, block: &Block, site: &Site) -> Result<Expectation, DocError> {
    let at = doc.place(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "an expectation has one name: expect \"NAME\" { ... }"));
    };
    let mut reader = doc.reader(&block.body);
    let located = |text: &Located<String>, error: String| doc.error(text.at, error);
    let points = reader.strings("from_point")?;
    let points = points.iter().map(|p| {
        let zone = site.zone(&p.value).map_err(|e| located(p, e))?;
        let routers = site.settings.routers_by_zone.get(usize::from(zone.0)).copied().unwrap_or(0);
        match routers > 0 {
            true => Ok(zone),
            false => Err(located(p, format!("{:?} is no point: it has no edge proxies", p.value))),
        }
    });
    let points: Vec<ZoneId> = points.collect::<Result<_, _>>()?;
    let classes = reader.strings("class")?;
    let classes = classes.iter().map(|c| site.class(&c.value).map_err(|e| located(c, e)));
    let classes: Vec<ClassId> = classes.collect::<Result<_, _>>()?;
    let objects = reader.objects("objects")?;
    let popular = reader.flag("popular")?.is_some_and(|flag| flag.value);
    let scenarios = match reader.block("when")? {
        Some(when) => scenarios(doc, when, site)?,
        None => vec![Scenario::default()],
    };
    let rules = rules(doc, &mut reader, site)?;
    reader.finish()?;
    if rules.is_empty() {
        return Err(doc.error(at, format!("expectation {:?} expects nothing", label.as_str())));
    }
    Ok(Expectation {
        name: label.as_str().to_owned(),
        at,
        points: if points.is_empty() { site.points() } else { points },
        classes: match classes.is_empty() {
            true => (0..site.classes.len()).map(|class| ClassId(class as u16)).collect(),
            false => classes,
        },
        objects,
        popular,
        scenarios,
        rules,
    })
}

/// How a rule is made of its value.
type Made<T> = fn(T) -> Rule;

fn rules(doc: Doc<'_>, reader: &mut Reader<'_>, site: &Site) -> Result<Vec<Located<Rule>>, DocError> {
    let mut rules = Vec::new();
    let sets: [(&str, Made<Vec<Selector>>); 4] = [
        ("goes_to", Rule::GoesTo),
        ("never_goes_to", Rule::NeverGoesTo),
        ("fills_from", Rule::FillsFrom),
        ("never_fill_from", Rule::NeverFillFrom),
    ];
    for (key, rule) in sets {
        if let Some(at) = reader.place_of(key) {
            rules.push(Located { value: rule(selectors(doc, reader, site, key)?), at });
        }
    }
    let counts: [(&str, u64, u64, Made<u64>); 4] = [
        ("attempts_at_most", 1, 255, Rule::AttemptsAtMost),
        ("caches_at_most", 1, 100_000, Rule::CachesAtMost),
        ("rank_at_least", 0, 3, Rule::RankAtLeast),
        ("rank_at_most", 0, 3, Rule::RankAtMost),
    ];
    for (key, least, most, rule) in counts {
        rules.extend(reader.whole(key, least, most)?.map(|n| Located { value: rule(n.value), at: n.at }));
    }
    let parts: [(&str, Made<f64>); 2] =
        [("share_at_most", Rule::ShareAtMost), ("moves_at_most", Rule::MovesAtMost)];
    for (key, rule) in parts {
        rules.extend(reader.number(key, 0.0, 1.0)?.map(|n| Located { value: rule(n.value), at: n.at }));
    }
    if let Some(word) = reader.string("answer")? {
        let known = [Answer::Served, Answer::Refused, Answer::Failed];
        let answer = known.into_iter().find(|answer| answer.word() == word.value);
        let answer = answer.ok_or_else(|| doc.error(word.at, "answer is served, refused or failed"))?;
        rules.push(Located { value: Rule::Final(answer), at: word.at });
    }
    if let Some(flag) = reader.flag("acyclic")? {
        if !flag.value {
            return Err(doc.error(flag.at, "acyclic can only be true"));
        }
        rules.push(Located { value: Rule::Acyclic, at: flag.at });
    }
    rules.sort_by_key(|rule| rule.at);
    Ok(rules)
}

fn selectors(
    doc: Doc<'_>,
    reader: &mut Reader<'_>,
    site: &Site,
    key: &str,
) -> Result<Vec<Selector>, DocError> {
    let texts = reader.strings(key)?;
    texts.iter().map(|text| site.selector(&text.value).map_err(|e| doc.error(text.at, e))).collect()
}

/// The scenarios of a `when` block: what happens to all that is named, or to one after another of `each_...`.
fn scenarios(doc: Doc<'_>, block: &Block, site: &Site) -> Result<Vec<Scenario>, DocError> {
    let mut reader = doc.reader(&block.body);
    let mut words = Vec::new();
    let mut servers = |reader: &mut Reader<'_>, key: &str| -> Result<Vec<ServerId>, DocError> {
        let Some(at) = reader.place_of(key) else { return Ok(Vec::new()) };
        let named = selectors(doc, reader, site, key)?;
        if named.iter().any(|s| matches!(s, Selector::OwnCache | Selector::OwnHub)) {
            return Err(doc.error(at, "own-cache and own-hub depend on the point: name the zone"));
        }
        let list: Vec<ServerId> = site.selected(&named, site.settings.zone).into_iter().collect();
        words.push(format!("{key} {}", some_names(site, &list)));
        Ok(list)
    };
    let mut base = Scenario {
        drained: servers(&mut reader, "drained")?,
        removed: servers(&mut reader, "removed")?,
        down: servers(&mut reader, "down")?,
        cold: servers(&mut reader, "cold")?,
        ..Scenario::default()
    };
    for zone in reader.strings("down_zone")? {
        let zone_id = site.zone(&zone.value).map_err(|e| doc.error(zone.at, e))?;
        let there = site.servers.values().filter(|m| m.zone == zone_id && !site.is_origin(m));
        base.down.extend(there.map(|m| m.server));
        words.push(format!("zone {} down", zone.value));
    }
    for (name, weight) in reader.numbers("reweighted")? {
        let server = match site.selector(&name.value).map_err(|e| doc.error(name.at, e))? {
            Selector::Server(server) => server,
            _ => return Err(doc.error(name.at, "reweighted names servers")),
        };
        base.reweighted.push((server, weight));
        words.push(format!("{} of weight {weight}", name.value));
    }
    base.late = reader.flag("late")?.is_some_and(|flag| flag.value);
    let mut each: Vec<(String, Scenario)> = Vec::new();
    for key in ["each_drained", "each_down", "each_removed"] {
        for selector in selectors(doc, &mut reader, site, key)? {
            for server in site.selected(&[selector], site.settings.zone) {
                let mut one = base.clone();
                match key {
                    "each_drained" => one.drained.push(server),
                    "each_down" => one.down.push(server),
                    _ => one.removed.push(server),
                }
                each.push((format!("{} {}", &key[5..], site.name(server)), one));
            }
        }
    }
    reader.finish()?;
    if base.is_calm() && each.is_empty() {
        return Err(doc.error(doc.place(block), "in this when block nothing happens"));
    }
    let label = |more: &str| {
        let late = if base.late { "some edge proxies not knowing" } else { "" };
        let words = words.iter().map(String::as_str).chain([more, late]).filter(|word| !word.is_empty());
        words.collect::<Vec<_>>().join(", ")
    };
    if each.is_empty() {
        return Ok(vec![Scenario { label: label(""), ..base.clone() }]);
    }
    Ok(each.into_iter().map(|(word, one)| Scenario { label: label(&word), ..one }).collect())
}

/// The first few names of a list of servers.
fn some_names(site: &Site, list: &[ServerId]) -> String {
    let names: Vec<&str> = list.iter().take(4).map(|server| site.name(*server)).collect();
    let more = if list.len() > 4 { format!(" and {} more", list.len() - 4) } else { String::new() };
    format!("{}{more}", names.join(", "))
}
