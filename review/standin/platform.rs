//! The platform: it starts an edge proxy by the `run` line of the deploy file, watches its limits, and ends it.

use crate::client::wait_until_ready;
use crate::feed::Feed;
use crate::record::Record;
use crate::server::Server;
use crate::CaseError;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// When a run starts, an edge proxy must be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// A free folder of a case, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(path.join("tmp"))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns a loopback address whose port is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// What an edge proxy of a small deployment is told.
pub struct Settings {
    pub listen: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// One location with its table caches, a parent and the origin.
pub struct Site {
    pub caches: Vec<Server>,
    pub parent: Server,
    pub origin: Server,
    pub feed: Feed,
}

impl Site {
    pub fn start(record: &Record, service_time: Duration, length: usize) -> std::io::Result<Self> {
        let start = |name: &str| Server::start(name, service_time, length, record);
        let site = Site {
            caches: ["s-00000011", "s-00000012", "s-00000013"]
                .into_iter()
                .map(start)
                .collect::<Result<_, _>>()?,
            parent: start("s-00000021")?,
            origin: start("s-00000031")?,
            feed: Feed::start(record)?,
        };
        let hosts: Vec<String> = site.servers().map(|server| host_entry(server, "up")).collect();
        site.feed
            .publish(&format!("\"members\":{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}", hosts.join(",")));
        Ok(site)
    }

    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.caches.iter().chain([&self.parent, &self.origin])
    }

    /// Returns the configuration of an edge proxy at this site.
    pub fn config(&self, settings: &Settings) -> String {
        let Settings { listen, memory_mb, sockets } = settings;
        format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"feed":"{}","flow_bytes_per_s":4000000,"link_bytes_per_s":16000000,"known":{},"settings":{SITE_SETTINGS}}}"#,
            self.feed.addr,
            self.feed.events_after(0),
        )
    }
}

/// Returns an entry of the list of servers.
pub fn host_entry(server: &Server, health: &str) -> String {
    let (site, class, share) = match &server.name[..] {
        "s-00000021" => ("hub", "parent", 64),
        "s-00000031" => ("hub", "origin", 256),
        _ => ("edge", "small", 32),
    };
    format!(
        r#"{{"host":"{}","dial":"{}","site":"{site}","class":"{class}","block":0,"health":"{health}","share":{share},"born_ms":0}}"#,
        server.name, server.addr
    )
}

/// A class that is kept until it is purged, one that is fresh for 20 s, and one that must not run twice.
const SITE_SETTINGS: &str = r#"{"balancers":1,"discovery":"automatic","ordinal":0,"my_zone":0,"weights":"rough",
"failure_domains":["edge","hub"],"skus":["small","parent","origin"],"report":{"names":[]},
"domain":{"class_grace":[0,20000,0],"collapses":false,"count_by_zone":[1,0],"fresh_for":[0,20000,0],
 "goes_through":[false,false,true],"hub_by_zone":[1,1],"lateral":"location","pace_kb_per_s":4000,
 "parent_cold":20000,"parent_floor":0.065,"pipe_kb_per_s":[0,0],"purge_grace":500,"purge_settles":6000,
 "root_kind":2,"second_tier_kind":1,"straight":true,"tells":"all","upper_fall_multiple":2},
"grades":[
 {"name":"replay","aim_stretch":2,"deadline":6000,"dedup_scope":"all","effect":"pure","target":500,"window":5000,"points":2},
 {"name":"piece","aim_stretch":2,"deadline":3000,"dedup_scope":"all","effect":"pure","target":400,"window":5000,"points":1},
 {"name":"result","deadline":3000,"dedup_scope":"all","effect":"side_effect","target":700,"window":5000,"points":3}],
"limits":{"cancel":true,"conn_idle":15000,"connect_timeout":400,"max_attempts":6,"max_retry_after":2000,
 "may_probe":true,"most_held":20000,"parallel_tries":true,"peer_messages":false,"retry_after":true,
 "streams_per_conn":100},
"rules":{"ask_within":10000,"cold_share":0.16,"drain_grace":1000,"fall_multiple":4,"overload_for":1500,
 "warm_after":15000}}"#;

/// An edge proxy, killed at the end of the case.
pub struct Proxy {
    child: Child,
    ended: Option<ExitStatus>,
    /// Whether the platform has killed it.
    pub was_killed: bool,
    pub listen: SocketAddr,
    record: Record,
}

impl Proxy {
    /// Starts an edge proxy as the deploy file says, and waits until it is ready. Its log goes to `log` in the folder.
    pub fn start(
        folder: &Folder,
        config: &str,
        listen: SocketAddr,
        extra: &[(&str, String)],
        record: &Record,
    ) -> Result<Self, CaseError> {
        let path = folder.0.join("config.json");
        std::fs::write(&path, config)?;
        let run = run_line(Path::new("deploy/balancer.toml"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_NAME", "n0")
            .env("PROXY_LISTEN", listen.to_string())
            .env("PROXY_CONFIG", &path)
            .env("TMPDIR", folder.0.join("tmp"))
            .envs(extra.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(folder.0.join("log"))?)
            .spawn()?;
        record.say(format!("platform: started `{run}` as process {}", child.id()));
        let proxy = Proxy { child, ended: None, was_killed: false, listen, record: record.clone() };
        if !wait_until_ready(listen, READY_WITHIN) {
            return Err("the edge proxy did not become ready".into());
        }
        record.say("platform: the edge proxy is ready");
        Ok(proxy)
    }

    /// Returns how the process has ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if self.ended.is_none() {
            self.ended = self.child.try_wait().ok().flatten();
            if let Some(status) = self.ended {
                self.record.say(format!("platform: the edge proxy has ended: {status}"));
            }
        }
        self.ended
    }

    /// Sends a signal, if the process runs.
    pub fn signal(&mut self, name: &str) {
        if self.exit_status().is_none() {
            self.record.say(format!("platform: SIG{name}"));
            let _ =
                Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        }
    }

    /// Kills the process outright, and waits for its end.
    pub fn kill(&mut self) {
        self.was_killed = true;
        self.signal("KILL");
        self.wait(Duration::from_secs(1));
    }

    /// Waits until the process ends, or until a time has passed; returns whether it has ended.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while self.exit_status().is_none() {
            if until <= Instant::now() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Returns the memory that the process holds, in KiB: all of it, and without mapped files.
    pub fn memory_kib(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let value = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().trim_end_matches(" kB").parse::<u64>().ok()
        };
        Some((value("VmRSS:")?, value("RssAnon:")?))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Describes how a process ended.
pub fn describe(status: ExitStatus) -> String {
    match status.signal() {
        Some(signal) => format!("killed by signal {signal}"),
        None => status.to_string(),
    }
}

/// Returns the value of `run` in the deploy file.
fn run_line(path: &Path) -> Result<String, CaseError> {
    let text = std::fs::read_to_string(path)?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run line")?;
    Ok(line.split('"').next().unwrap_or_default().to_owned())
}
