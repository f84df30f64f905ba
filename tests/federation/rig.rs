//! A federation of edge proxies, and what tests ask of it.

use crate::relay::{Mode, Relay};
use crate::stand_ins::*;
use dahliatrack::standin::thrift_client::{invoke, read_answer, send, AnswerKind};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::Instant;

/// The members as a file has them: number, and whether it votes.
pub type Listed = Vec<(u64, bool)>;

pub struct Running {
    pub proxy: Proxy,
    pub admin: SocketAddr,
    /// Where it listens for members.
    pub listen: SocketAddr,
}

pub struct Rig {
    name: String,
    /// From whom to whom.
    pub relays: BTreeMap<(u64, u64), Relay>,
    pub running: BTreeMap<u64, Running>,
    pub caches: [Cache; 2],
    seqid: i32,
}

/// The key of the tests' federations.
pub const KEY: &str = "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA";

impl Rig {
    /// A federation of these members, running, with a leader that all know and the first store of each enrolled.
    pub fn new(name: &str, listed: Listed) -> Self {
        Rig::with(name, listed, |text| text)
    }

    /// The same with files changed by `change`.
    pub fn with(name: &str, listed: Listed, change: impl Fn(String) -> String) -> Self {
        let mut rig = Rig::empty(name);
        let ids: Vec<u64> = listed.iter().map(|(id, _)| *id).collect();
        for id in &ids {
            rig.write_as(*id, 1, &listed, &change);
            rig.init(*id, false);
        }
        ids.iter().for_each(|id| rig.start(*id));
        rig.agree(&ids);
        rig
    }

    pub fn empty(name: &str) -> Self {
        let caches = [Cache::new("s-00000001"), Cache::new("s-0000000p")];
        Rig { name: name.to_owned(), relays: BTreeMap::new(), running: BTreeMap::new(), caches, seqid: 0 }
    }

    pub fn folder(&self, id: u64) -> PathBuf {
        folder(&format!("{}-{id}", self.name))
    }

    pub fn file(&self, id: u64) -> PathBuf {
        self.folder(id).join("federation.hcl")
    }

    pub fn relay(&mut self, from: u64, to: u64) -> Relay {
        let there = self.running.get(&to).map(|running| running.listen);
        let relay = self.relays.entry((from, to)).or_insert_with(Relay::new).clone();
        there.into_iter().for_each(|there| relay.leads_to(there));
        relay
    }

    /// Writes a member's file; `change` is applied to its text.
    pub fn write_as(
        &mut self,
        id: u64,
        revision: u64,
        listed: &[(u64, bool)],
        change: impl Fn(String) -> String,
    ) {
        let mut text = format!(
            "federation {{\n cluster = \"tests\"\n id = {id}\n store = \"federation.redb\"\n \
             key_file = \"federation.secret\"\n revision = {revision}\n listen = \"127.0.0.1:0\"\n \
             tick_ms = 40\n silent_ms = 1200\n compact_after = 8\n"
        );
        for (other, voter) in listed {
            // Its own address is nobody's to dial.
            let address =
                if *other == id { "127.0.0.1:1".parse().expect("one") } else { self.relay(id, *other).addr };
            text += &format!(" member \"{other}\" {{\n  site = \"site-{other}\"\n  address = \"{address}\"\n  voter = {voter}\n }}\n");
        }
        text += "}\n";
        std::fs::write(self.file(id), change(text)).expect("written");
        std::fs::write(self.folder(id).join("federation.secret"), KEY).expect("written");
    }

    pub fn write(&mut self, id: u64, revision: u64, listed: &[(u64, bool)]) {
        self.write_as(id, revision, listed, |text| text);
    }

    /// Makes a member's store by the command.
    pub fn init(&self, id: u64, join: bool) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliatrack"));
        command.args(["federation", "init"]).arg(self.file(id)).args(join.then_some("--join"));
        command.output().expect("the program runs")
    }

    /// Starts a member and leads the relays to it.
    pub fn start(&mut self, id: u64) {
        let running = self.launch(id);
        self.arrive(id, &running);
        self.running.insert(id, running);
    }

    /// Starts an edge proxy that belongs to no federation.
    pub fn start_alone(&mut self, id: u64) {
        let name = format!("{}-{id}", self.name);
        let caches = [&self.caches[0], &self.caches[1]];
        let proxy = Proxy::start(&name, &caches, str::to_owned, &["--admin", "127.0.0.1:0"]);
        let admin = address(&proxy.wait_for_log("admin endpoint: listening on "));
        self.running.insert(id, Running { proxy, admin, listen: admin });
    }

    /// The others' relays lead to this process from now on.
    pub fn arrive(&self, id: u64, running: &Running) {
        for ((_, to), relay) in &self.relays {
            if *to == id {
                relay.leads_to(running.listen);
            }
        }
    }

    fn launch(&self, id: u64) -> Running {
        let (proxy, admin) = self.launch_only(id);
        let listen = address(&proxy.wait_for_log("federation: listening on "));
        Running { proxy, admin, listen }
    }

    /// Starts a member that may not come to listen.
    pub fn launch_only(&self, id: u64) -> (Proxy, SocketAddr) {
        let name = format!("{}-{id}", self.name);
        let file = self.file(id).display().to_string();
        let more = ["--admin", "127.0.0.1:0", "--federation", &file];
        let proxy = Proxy::start(&name, &[&self.caches[0], &self.caches[1]], str::to_owned, &more);
        let admin = proxy.wait_for_log("admin endpoint: listening on ");
        let admin = address(&admin);
        (proxy, admin)
    }

    pub fn signal(&self, id: u64, signal: &str) {
        self.running[&id].proxy.signal(signal);
    }

    /// Kills a member and waits for its end.
    pub fn kill(&mut self, id: u64) {
        drop(self.running.remove(&id));
    }

    /// Cuts a member off, both ways or one.
    pub fn isolate(&mut self, id: u64, mode: Mode, (out, back): (bool, bool)) {
        for ((from, to), relay) in &self.relays {
            if (*from == id && out) || (*to == id && back) {
                relay.set(mode);
            }
        }
    }

    pub fn view(&self, id: u64) -> Value {
        let running = &self.running[&id];
        let (status, body) = get(&running.proxy, running.admin, "/federation");
        assert_eq!(status, 200);
        serde_json::from_str(&body).expect("JSON")
    }

    /// Asks a member's admin endpoint until its view is as wanted.
    pub fn until(&self, id: u64, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let since = Instant::now();
        loop {
            let view = self.view(id);
            if wanted(&view) {
                return view;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "member {id} never came to: {what}; {view:#}");
        }
    }

    /// Waits until these members know one leader among them, have applied as much as it, and all are enrolled; gives
    /// the leader.
    pub fn agree(&self, ids: &[u64]) -> u64 {
        let since = Instant::now();
        loop {
            let views: Vec<Value> = ids.iter().map(|id| self.view(*id)).collect();
            let same = |key: &str| views.iter().all(|view| view[key] == views[0][key]);
            let leader = views[0]["leader"].as_u64().unwrap_or(0);
            let through = views[0]["applied"] == views[0]["last"];
            let enrolled = |view: &Value| {
                let members = view["members"].as_array().into_iter().flatten();
                let here = |one: &&Value| one["id"].as_u64().is_some_and(|id| ids.contains(&id));
                members.filter(here).all(|one| one["enrolled"] == true)
            };
            if ids.contains(&leader)
                && through
                && views.iter().all(enrolled)
                && ["leader", "term", "applied", "revision"].into_iter().all(same)
            {
                return leader;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "{ids:?} never agreed: {views:#?}");
        }
    }

    pub fn leader(&self, among: &[u64]) -> (u64, u64) {
        let leader = self.agree(among);
        (leader, self.view(leader)["term"].as_u64().expect("a term"))
    }

    /// The members but for one.
    pub fn others(&self, id: u64) -> Vec<u64> {
        self.running.keys().copied().filter(|other| *other != id).collect()
    }

    /// A member's edge proxy serves, whatever its federation does.
    pub fn serves(&mut self, id: u64) {
        self.seqid += 1;
        let proxy = &self.running[&id].proxy;
        let mut client = proxy.connect(proxy.addr);
        let trace = format!("{:016x}", 0x7000_0000 + self.seqid);
        let fields = [
            ("route", "replay"),
            ("trace", &trace[..]),
            ("patience", "4000"),
            ("entity", "7f3a9c21e0b4d655"),
            ("slice", "0"),
            ("set", "17"),
        ];
        send(&mut client, &invoke(self.seqid, &fields, b"")).expect("written");
        self.caches[0].next_line().answer("200", "ver=a", b"x");
        assert_eq!(read_answer(&mut client).expect("an answer"), (self.seqid, AnswerKind::Served));
    }
}

/// What an admin endpoint answers.
pub fn get(proxy: &Proxy, admin: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = proxy.connect(admin);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n").expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, and the end of the connection");
    let status = answer.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, answer.split_once("\r\n\r\n").expect("a body").1.to_owned())
}

pub fn voters(ids: std::ops::RangeInclusive<u64>) -> Listed {
    ids.map(|id| (id, true)).collect()
}

/// The address with which a log line goes on.
pub fn address(line: &str) -> SocketAddr {
    let end = line.find(|c: char| c == '"' || c.is_whitespace()).unwrap_or(line.len());
    line[..end].parse().expect("an address")
}
