//! The cases, and three trials that the report tells of.

use crate::bad_clients;
use crate::client::{Client, Demand, Requests};
use crate::platform::{describe, free_address, host_entry, Folder, Proxy, Settings, Site};
use crate::record::Record;
use crate::server::{Arrival, Server};
use crate::{CaseError, Verdict};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Plays a case, and writes its record.
pub fn play(case: &str, folder: &str, has_trouble: bool) -> Result<Verdict, CaseError> {
    let record = Record::new();
    record.say(format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let broken = match case {
        "signed-pipeline" => signed_pipeline(&record, has_trouble),
        "endless-noise" => endless_noise(&record, has_trouble),
        "memory" => memory(&record, has_trouble),
        "crowded-stop" => crowded_stop(&record, has_trouble),
        "slow-feed" => drain_under(FeedTrouble::Slow, &record, has_trouble),
        "feed-outage" => drain_under(FeedTrouble::Outage, &record, has_trouble),
        _ => return Err(format!("no case {case}").into()),
    };
    match &broken {
        Ok(broken) if broken.is_empty() => record.say("the rule held"),
        Ok(broken) => {
            broken.iter().for_each(|line| record.say(format!("BROKEN: {line}")));
        }
        Err(error) => record.say(format!("could not run: {error}")),
    }
    record.write(&Path::new(folder).join("record.txt"))?;
    Ok(if broken?.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Starts usual clients that ask until a time since the start of the case.
fn start_clients(
    count: u64,
    demand: &Demand,
    proxy: &Proxy,
    requests: &Requests,
    until: Duration,
    record: &Record,
) -> Vec<JoinHandle<()>> {
    let start = |number| {
        let client = Client::new(proxy.listen, requests, record);
        let demand = demand.clone();
        thread::spawn(move || client.run(number, &demand, until))
    };
    (1..=count).map(start).collect()
}

fn usual_demand(length: usize) -> Demand {
    Demand { class: "piece", patience: 2 * SECOND, interval: 100 * MS, length, objects: 200 }
}

/// Returns what is wrong: a process that has ended by itself, and lost requests (the first few of them).
fn judge(proxy: &mut Proxy, requests: &Requests, record: &Record) -> Vec<String> {
    let mut broken = Vec::new();
    if let Some(status) = proxy.exit_status().filter(|_| !proxy.was_killed) {
        broken.push(format!("crash: the edge proxy has ended by itself: {}", describe(status)));
    }
    let lost = requests.lost();
    record.say(format!("usual clients: {:?}, {} lost", requests.counts(), lost.len()));
    broken.extend(lost.iter().take(5).map(|line| format!("lost: {line}")));
    broken
}

fn signed_pipeline(record: &Record, has_trouble: bool) -> Result<Vec<String>, CaseError> {
    let folder = Folder::new()?;
    let site = Site::start(record, 20 * MS, 4000)?;
    let (listen, signed) = (free_address()?, free_address()?);
    let file = folder.0.join("signed.toml");
    std::fs::write(folder.0.join("links.secret"), "AAECAwQFBgcICQoLDA0ODw\n")?;
    std::fs::write(
        &file,
        format!(
            "listen = \"{signed}\"\nscheme = \"https\"\nhosts = [\"replays.example.org\"]\n\
             [[key]]\nname = \"links\"\nalgorithm = \"url-hmac-sha1\"\nsecret_file = \"links.secret\"\n\
             [[route]]\npath = \"/replays/{{group}}/{{object}}/{{part}}\"\nclass = \"replay\"\n"
        ),
    )?;
    let config = site.config(&Settings { listen, memory_mb: 192, sockets: 1024 });
    let extra = [("PROXY_SIGNED", file.display().to_string())];
    let mut proxy = Proxy::start(&folder, &config, listen, &extra, record)?;
    let requests = Requests::default();
    let until = record.elapsed() + 12 * SECOND;
    let clients = start_clients(4, &usual_demand(4000), &proxy, &requests, until, record);
    thread::sleep(2 * SECOND);
    if has_trouble {
        bad_clients::flood_signed_front(signed, 500, 8 * SECOND, record)?;
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    Ok(judge(&mut proxy, &requests, record))
}

fn memory(record: &Record, has_trouble: bool) -> Result<Vec<String>, CaseError> {
    const LIMIT_MB: u32 = 32;
    const BAD_CLIENTS: usize = 450;
    const USUAL_CLIENTS: u64 = 12;
    /// Length of an object; the protocol page allows 240,000 bytes.
    const LENGTH: usize = 100_000;
    let folder = Folder::new()?;
    let site = Site::start(record, 20 * MS, LENGTH)?;
    let listen = free_address()?;
    let config = site.config(&Settings { listen, memory_mb: LIMIT_MB, sockets: 1024 });
    let mut proxy = Proxy::start(&folder, &config, listen, &[], record)?;
    let requests = Requests::default();
    let until = record.elapsed() + 8 * SECOND;
    let clients = start_clients(USUAL_CLIENTS, &usual_demand(LENGTH), &proxy, &requests, until, record);
    thread::sleep(2 * SECOND);
    let bad = has_trouble.then(|| {
        let record = record.clone();
        thread::spawn(move || bad_clients::send_short_messages(listen, BAD_CLIENTS, &record))
    });
    let mut broken = Vec::new();
    let (mut most, mut most_without_files) = (0, 0);
    while record.elapsed() < until && broken.is_empty() {
        let Some((all, without_files)) = proxy.memory_kib() else { break };
        (most, most_without_files) = (most.max(all), most_without_files.max(without_files));
        // MB is taken as MiB, and mapped files are left out, so that this is the widest reading of the limit.
        if without_files > u64::from(LIMIT_MB) * 1024 {
            record.say(format!("platform: {without_files} KiB without mapped files, {all} KiB in all"));
            broken.push(format!("crash: killed for memory, over {LIMIT_MB} MB"));
            proxy.kill();
        }
        thread::sleep(5 * MS);
    }
    record.say(format!(
        "platform: {most_without_files} KiB without mapped files and {most} KiB in all at most"
    ));
    clients.into_iter().for_each(|client| drop(client.join()));
    if let Some(bad) = bad {
        let _ = bad.join();
    }
    broken.extend(judge(&mut proxy, &requests, record));
    Ok(broken)
}

fn crowded_stop(record: &Record, has_trouble: bool) -> Result<Vec<String>, CaseError> {
    const BAD_CLIENTS: usize = 300;
    let folder = Folder::new()?;
    let site = Site::start(record, 300 * MS, 4000)?;
    let listen = free_address()?;
    let config = site.config(&Settings { listen, memory_mb: 192, sockets: 256 });
    let mut proxy = Proxy::start(&folder, &config, listen, &[], record)?;
    let requests = Requests::default();
    let crowd = has_trouble.then(|| bad_clients::UnreadableCrowd::start(listen, BAD_CLIENTS));
    thread::sleep(SECOND);
    // Requests on open connections keep coming for 0.6 s after SIGTERM.
    let until = record.elapsed() + 3 * SECOND + 550 * MS;
    let clients = start_clients(8, &usual_demand(4000), &proxy, &requests, until, record);
    thread::sleep(3 * SECOND);
    proxy.signal("TERM");
    // SIGKILL comes no sooner than 3 s and 0.7 s after SIGTERM.
    if !proxy.wait(3700 * MS) {
        proxy.kill();
    }
    drop(crowd);
    clients.into_iter().for_each(|client| drop(client.join()));
    let lost = requests.lost();
    record.say(format!("usual clients: {:?}, {} lost", requests.counts(), lost.len()));
    Ok(lost.iter().take(5).map(|line| format!("lost: {line}")).collect())
}

/// A disruption of the control feed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FeedTrouble {
    /// Each answer comes 2 s later than it is due, until the end.
    Slow,
    /// The feed is down for 8 s.
    Outage,
}

/// Nothing new to a table cache later than this after the edge proxy was told that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(1000 + 50);
/// Whatever the control feed has to tell counts as told this much later at the latest.
const TOLD_AFTER: Duration = Duration::from_secs(7);
const LATENESS: Duration = Duration::from_secs(2);
const OUTAGE: Duration = Duration::from_secs(8);

/// A table cache begins to drain just after the disruption of the control feed has begun.
fn drain_under(trouble: FeedTrouble, record: &Record, has_trouble: bool) -> Result<Vec<String>, CaseError> {
    let folder = Folder::new()?;
    let site = Site::start(record, 20 * MS, 4000)?;
    let listen = free_address()?;
    let config = site.config(&Settings { listen, memory_mb: 192, sockets: 1024 });
    let mut proxy = Proxy::start(&folder, &config, listen, &[], record)?;
    let requests = Requests::default();
    let until = record.elapsed() + 16 * SECOND;
    let clients = start_clients(4, &usual_demand(4000), &proxy, &requests, until, record);
    thread::sleep(2 * SECOND);
    let began = record.elapsed();
    match trouble {
        _ if !has_trouble => {}
        FeedTrouble::Slow => site.feed.set_lateness(LATENESS),
        FeedTrouble::Outage => site.feed.set_down(true),
    }
    thread::sleep(50 * MS);
    let drained = &site.caches[0];
    let entry = host_entry(drained, "draining");
    site.feed.publish(&format!("\"members\":{{\"seq\":2,\"whole\":false,\"hosts\":[{entry}]}}"));
    let told_at = record.elapsed() + TOLD_AFTER;
    record.say(format!("feed: {} drains; counts as told at {} ms", drained.name, told_at.as_millis()));
    if trouble == FeedTrouble::Outage {
        thread::sleep((began + OUTAGE).saturating_sub(record.elapsed()));
        site.feed.set_down(false);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let mut broken = judge(&mut proxy, &requests, record);
    for server in site.servers() {
        broken.extend(sent_after(told_at + DRAIN_GRACE, drained, server)?);
    }
    Ok(broken)
}

/// Describes the requests at `server` after a time that name `drained` as server or source, if there are any.
fn sent_after(bound: Duration, drained: &Server, server: &Server) -> Result<Option<String>, CaseError> {
    let arrivals = server.arrivals.lock().map_err(|_| "a thread has panicked")?;
    let names_drained =
        |arrival: &&Arrival| server.name == drained.name || arrival.field("from") == Some(&drained.name);
    let late: Vec<_> = arrivals.iter().filter(names_drained).filter(|arrival| arrival.at > bound).collect();
    let (Some(first), Some(last)) = (late.first(), late.last()) else { return Ok(None) };
    Ok(Some(format!(
        "drain: {} requests at {} from {} to {} ms, the bound is {} ms",
        late.len(),
        server.name,
        first.at.as_millis(),
        last.at.as_millis(),
        bound.as_millis()
    )))
}

/// Some answers of all table caches arrive as noise that never ends.
fn endless_noise(record: &Record, has_trouble: bool) -> Result<Vec<String>, CaseError> {
    const SPOILT_EVERY: usize = 50;
    let folder = Folder::new()?;
    let site = Site::start(record, 50 * MS, 4000)?;
    let listen = free_address()?;
    let config = site.config(&Settings { listen, memory_mb: 192, sockets: 1024 });
    let mut proxy = Proxy::start(&folder, &config, listen, &[], record)?;
    let requests = Requests::default();
    let until = record.elapsed() + 15 * SECOND;
    let clients = start_clients(8, &usual_demand(4000), &proxy, &requests, until, record);
    thread::sleep(2 * SECOND);
    if has_trouble {
        site.caches.iter().for_each(|cache| cache.spoilt_every.store(SPOILT_EVERY, Ordering::Relaxed));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    Ok(judge(&mut proxy, &requests, record))
}
