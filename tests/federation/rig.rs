//! Runs a federation of edge proxies and controls it for the tests.

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

/// The members as listed in a file: id, and whether the member is a voter.
pub type MemberList = Vec<(u64, bool)>;

pub struct RunningMember {
    pub proxy: Proxy,
    pub admin: SocketAddr,
    /// The address at which it listens for members.
    pub listen: SocketAddr,
}

pub struct Rig {
    name: String,
    /// The relays, by the connecting and the target member.
    pub relays: BTreeMap<(u64, u64), Relay>,
    pub running: BTreeMap<u64, RunningMember>,
    pub caches: [Cache; 2],
    seqid: i32,
}

/// The shared key of the tests' federations, in base64url.
pub const KEY: &str = "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA";

impl Rig {
    /// Starts a federation of these members, and waits until all know one leader and every store is enrolled.
    pub fn new(name: &str, listed: MemberList) -> Self {
        Rig::with_files(name, listed, |text| text)
    }

    /// Like [`Rig::new`], with `change` applied to the text of each file.
    pub fn with_files(name: &str, listed: MemberList, change: impl Fn(String) -> String) -> Self {
        let mut rig = Rig::empty(name);
        let ids: Vec<u64> = listed.iter().map(|(id, _)| *id).collect();
        for id in &ids {
            rig.write_file_with(*id, 1, &listed, &change);
            rig.init(*id, false);
        }
        ids.iter().for_each(|id| rig.start(*id));
        rig.wait_for_agreement(&ids);
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
        let target = self.running.get(&to).map(|running| running.listen);
        let relay = self.relays.entry((from, to)).or_insert_with(Relay::new).clone();
        target.into_iter().for_each(|target| relay.set_target(target));
        relay
    }

    /// Writes a member's file; `change` is applied to its text.
    pub fn write_file_with(
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
            // Nobody connects to a member at the address in its own file.
            let address = if *other == id {
                "127.0.0.1:1".parse().expect("an address")
            } else {
                self.relay(id, *other).addr
            };
            text += &format!(" member \"{other}\" {{\n  site = \"site-{other}\"\n  address = \"{address}\"\n  voter = {voter}\n }}\n");
        }
        text += "}\n";
        std::fs::write(self.file(id), change(text)).expect("written");
        std::fs::write(self.folder(id).join("federation.secret"), KEY).expect("written");
    }

    pub fn write_file(&mut self, id: u64, revision: u64, listed: &[(u64, bool)]) {
        self.write_file_with(id, revision, listed, |text| text);
    }

    /// Creates a member's store with the `federation init` command.
    pub fn init(&self, id: u64, join: bool) -> std::process::Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dahliatrack"));
        command.args(["federation", "init"]).arg(self.file(id)).args(join.then_some("--join"));
        command.output().expect("the program runs")
    }

    /// Starts a member, and points the relays to it.
    pub fn start(&mut self, id: u64) {
        let running = self.launch(id);
        self.set_relay_targets(id, &running);
        self.running.insert(id, running);
    }

    /// Starts an edge proxy that belongs to no federation.
    pub fn start_alone(&mut self, id: u64) {
        let name = format!("{}-{id}", self.name);
        let caches = [&self.caches[0], &self.caches[1]];
        let proxy = Proxy::start(&name, &caches, str::to_owned, &["--admin", "127.0.0.1:0"]);
        let admin = address(&proxy.wait_for_log("admin endpoint: listening on "));
        self.running.insert(id, RunningMember { proxy, admin, listen: admin });
    }

    /// Points the other members' relays to this process.
    pub fn set_relay_targets(&self, id: u64, running: &RunningMember) {
        for ((_, to), relay) in &self.relays {
            if *to == id {
                relay.set_target(running.listen);
            }
        }
    }

    fn launch(&self, id: u64) -> RunningMember {
        let (proxy, admin) = self.launch_without_listener(id);
        let listen = address(&proxy.wait_for_log("federation: listening on "));
        RunningMember { proxy, admin, listen }
    }

    /// Starts a member without waiting until it listens for members, which it may never do.
    pub fn launch_without_listener(&self, id: u64) -> (Proxy, SocketAddr) {
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

    /// Kills a member, and waits until its process has ended.
    pub fn kill(&mut self, id: u64) {
        drop(self.running.remove(&id));
    }

    /// Sets the mode of the relays from a member, to it, or both.
    pub fn set_relay_modes(&mut self, id: u64, mode: Mode, (out, back): (bool, bool)) {
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

    /// Polls a member's admin endpoint until its view is as `wanted`; returns that view.
    pub fn wait_for_view(&self, id: u64, what: &str, wanted: impl Fn(&Value) -> bool) -> Value {
        let since = Instant::now();
        loop {
            let view = self.view(id);
            if wanted(&view) {
                return view;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "member {id} did not reach: {what}; {view:#}");
        }
    }

    /// Waits until these members know the same leader among them, have applied the same entries, and are all
    /// enrolled; returns the leader.
    pub fn wait_for_agreement(&self, ids: &[u64]) -> u64 {
        let since = Instant::now();
        loop {
            let views: Vec<Value> = ids.iter().map(|id| self.view(*id)).collect();
            let same = |key: &str| views.iter().all(|view| view[key] == views[0][key]);
            let leader = views[0]["leader"].as_u64().unwrap_or(0);
            let all_applied = views[0]["applied"] == views[0]["last"];
            let enrolled = |view: &Value| {
                let members = view["members"].as_array().into_iter().flatten();
                let here = |one: &&Value| one["id"].as_u64().is_some_and(|id| ids.contains(&id));
                members.filter(here).all(|one| one["enrolled"] == true)
            };
            if ids.contains(&leader)
                && all_applied
                && views.iter().all(enrolled)
                && ["leader", "term", "applied", "revision"].into_iter().all(same)
            {
                return leader;
            }
            assert!(since.elapsed() < TEST_TIMEOUT, "members {ids:?} did not agree: {views:#?}");
        }
    }

    pub fn leader(&self, among: &[u64]) -> (u64, u64) {
        let leader = self.wait_for_agreement(among);
        (leader, self.view(leader)["term"].as_u64().expect("a term"))
    }

    /// Returns the running members except one.
    pub fn others(&self, id: u64) -> Vec<u64> {
        self.running.keys().copied().filter(|other| *other != id).collect()
    }

    /// Checks that a member's edge proxy serves a request, whatever the state of its federation.
    pub fn assert_serves(&mut self, id: u64) {
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

/// Sends a GET request to an admin endpoint; returns the status and the body.
pub fn get(proxy: &Proxy, admin: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = proxy.connect(admin);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n").expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer, and the end of the connection");
    let status = answer.split(' ').nth(1).expect("a status").parse().expect("a number");
    (status, answer.split_once("\r\n\r\n").expect("a body").1.to_owned())
}

pub fn voters(ids: std::ops::RangeInclusive<u64>) -> MemberList {
    ids.map(|id| (id, true)).collect()
}

/// Parses the address at the start of the rest of a log line.
pub fn address(line: &str) -> SocketAddr {
    let end = line.find(|c: char| c == '"' || c.is_whitespace()).unwrap_or(line.len());
    line[..end].parse().expect("an address")
}
