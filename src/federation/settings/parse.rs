//! Parses the text of the operator's federation file; errors have their position in it.

use super::{FederationSettings, ListedMember};
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Located, Position};
use crate::federation::duties::LeaseTiming;
use crate::federation::hello::Key;
use crate::federation::node::Tuning;
use crate::federation::MemberId;
use crate::interface::Span;
use hcl_edit::structure::{Block, BlockLabel};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The maximum number of voters. With more voters, each commit only waits for more answers.
const MAX_VOTERS: usize = 7;
/// The maximum number of members, voters and learners together.
const MAX_MEMBERS: usize = 1000;
/// The default of the maximum rate error of clocks, as a fraction.
const DEFAULT_DRIFT: f64 = 0.05;

type Members = BTreeMap<MemberId, ListedMember>;

/// Parses the settings; returns them with the path of the key file.
pub(super) fn parse(doc: HclDocument<'_>) -> Result<(FederationSettings, String), HclError> {
    let body = doc.parse()?;
    let mut reader = doc.reader(&body);
    let start = Position { line: 1, column: 1 };
    let block =
        reader.block("federation")?.ok_or_else(|| doc.error(start, "the file has no federation block"))?;
    reader.finish()?;
    let at = doc.position(block);
    let missing = |key: &str| doc.error(at, format!("federation has no {key}"));
    let mut reader = doc.reader(&block.body);
    let cluster = reader.string("cluster")?.filter(|name| !name.value.is_empty());
    let cluster = cluster.ok_or_else(|| missing("cluster"))?.value;
    let id = reader.integer("id", 1, u64::MAX)?.ok_or_else(|| missing("id"))?;
    let store = reader.string("store")?.ok_or_else(|| missing("store"))?.value;
    let key_file = reader.string("key_file")?.ok_or_else(|| missing("key_file"))?.value;
    let revision = reader.integer("revision", 1, u64::MAX)?.ok_or_else(|| missing("revision"))?.value;
    let listen = reader.string("listen")?.map(|text| parse_address(&doc, &text)).transpose()?;
    let tick = millis_or(&mut reader, "tick_ms", 50, 5, 10_000)?;
    let tuning = parse_tuning(&doc, at, &mut reader)?;
    let silence_timeout = millis_or(&mut reader, "silent_ms", 2000, 50, 600_000)?;
    let lease_timing = parse_lease_timing(&doc, at, &mut reader)?;
    let members = parse_members(&doc, &mut reader)?;
    reader.finish()?;
    check_counts(&doc, at, &members)?;
    let no_member = || doc.error(id.at, format!("there is no member {}", id.value));
    let id = MemberId(id.value);
    let own = members.get(&id).ok_or_else(no_member)?;
    let listen = listen.unwrap_or(own.address);
    let (store, key) = (PathBuf::from(store), Key::new(Vec::new()));
    let settings = FederationSettings {
        cluster,
        id,
        listen,
        store,
        key,
        revision,
        tick,
        tuning,
        lease_timing,
        silence_timeout,
        members,
    };
    Ok((settings, key_file))
}

fn integer_or(
    reader: &mut BlockReader<'_>,
    key: &str,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, HclError> {
    Ok(reader.integer(key, min, max)?.map_or(default, |number| number.value))
}

/// Reads a duration in milliseconds.
fn millis_or(
    reader: &mut BlockReader<'_>,
    key: &str,
    default: u64,
    min: u64,
    max: u64,
) -> Result<Span, HclError> {
    Ok(Span::from_millis(integer_or(reader, key, default, min, max)? as i64))
}

fn parse_address(doc: &HclDocument<'_>, text: &Located<String>) -> Result<SocketAddr, HclError> {
    let invalid = |_| doc.error(text.at, format!("{:?} is not an address such as 10.0.1.5:7400", text.value));
    text.value.parse().map_err(invalid)
}

fn parse_tuning(
    doc: &HclDocument<'_>,
    at: Position,
    reader: &mut BlockReader<'_>,
) -> Result<Tuning, HclError> {
    let election_ticks = integer_or(reader, "election_ticks", 10, 3, 1000)? as usize;
    let heartbeat_ticks = integer_or(reader, "heartbeat_ticks", 2, 1, 1000)? as usize;
    let compact_after = integer_or(reader, "compact_after", 1000, 1, 1_000_000)?;
    if 2 * heartbeat_ticks > election_ticks {
        let at = reader.position_of("heartbeat_ticks").or(reader.position_of("election_ticks")).unwrap_or(at);
        return Err(doc.error(at, "election_ticks must be at least twice heartbeat_ticks"));
    }
    Ok(Tuning { election_ticks, heartbeat_ticks, compact_after })
}

fn parse_lease_timing(
    doc: &HclDocument<'_>,
    at: Position,
    reader: &mut BlockReader<'_>,
) -> Result<LeaseTiming, HclError> {
    let duration = millis_or(reader, "lease_ms", 3000, 100, 600_000)?;
    let guard = millis_or(reader, "guard_ms", 200, 0, 600_000)?;
    if 2 * guard >= duration {
        let at = reader.position_of("guard_ms").or(reader.position_of("lease_ms")).unwrap_or(at);
        return Err(doc.error(at, "guard_ms must be less than half of lease_ms"));
    }
    let drift = reader.number("drift", 0.0, 0.5)?.map_or(DEFAULT_DRIFT, |drift| drift.value);
    Ok(LeaseTiming { duration, guard, drift })
}

fn parse_members(doc: &HclDocument<'_>, reader: &mut BlockReader<'_>) -> Result<Members, HclError> {
    let mut members = Members::new();
    let mut addresses = BTreeMap::new();
    for block in reader.blocks("member") {
        let (id, member, address_at) = parse_member(doc, block)?;
        if let Some(other) = addresses.insert(member.address, id) {
            return Err(doc.error(address_at, format!("member {other} has the same address")));
        }
        if members.insert(id, member).is_some() {
            return Err(doc.error(doc.position(block), format!("member {id} is defined twice")));
        }
    }
    Ok(members)
}

/// Parses a member; returns it with the position of its address.
fn parse_member(
    doc: &HclDocument<'_>,
    block: &Block,
) -> Result<(MemberId, ListedMember, Position), HclError> {
    let at = doc.position(block);
    let number = |label: &BlockLabel| label.as_str().parse().ok().map(MemberId).filter(|id| id.is_some());
    let numbers: Vec<Option<MemberId>> = block.labels.iter().map(number).collect();
    let [Some(id)] = numbers[..] else {
        return Err(
            doc.error(at, "a member block must have the member's id as its label: member \"1\" { ... }")
        );
    };
    let mut reader = doc.reader(&block.body);
    let missing = |key: &str| doc.error(at, format!("member {id} has no {key}"));
    let site = reader.string("site")?.ok_or_else(|| missing("site"))?.value;
    let text = reader.string("address")?.ok_or_else(|| missing("address"))?;
    let address = parse_address(doc, &text)?;
    let voter = reader.boolean("voter")?.is_some_and(|voter| voter.value);
    reader.finish()?;
    Ok((id, ListedMember { site, address, voter }, text.at))
}

fn check_counts(doc: &HclDocument<'_>, at: Position, members: &Members) -> Result<(), HclError> {
    let voters = members.values().filter(|member| member.voter).count();
    if !(1..=MAX_VOTERS).contains(&voters) {
        return Err(doc.error(at, format!("{voters} voters are listed; there must be 1 to {MAX_VOTERS}")));
    }
    if members.len() > MAX_MEMBERS {
        return Err(
            doc.error(at, format!("{} members are listed; at most {MAX_MEMBERS} are allowed", members.len()))
        );
    }
    Ok(())
}
