//! Stand-ins of the second review: the record, the platform (ports, configuration, processes), the table caches
//! and the control feed. Only the standard library is used, and every address is a loopback address.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, third: usize, fourth: usize, fifth: usize) -> i32;
}

/// `prctl` option: the signal that a child gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The record of a run: what was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::new(Vec::new()) })
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.start.elapsed();
        lock(&self.lines).push((at, line.into()));
    }

    /// Notes what happened at an earlier time.
    pub fn note_at(&self, at: Duration, line: impl Into<String>) {
        lock(&self.lines).push((at, line.into()));
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn save(&self, folder: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        let _ = std::fs::write(folder.join("record.txt"), text);
    }
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

// ---- settings and configuration ----

/// A class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub target: u64,
    pub deadline: u64,
    pub goes_through: bool,
}

pub const REPLAY: Class =
    Class { name: "replay", effect: "pure", target: 500, deadline: 6000, goes_through: false };
pub const PIECE: Class =
    Class { name: "piece", effect: "pure", target: 400, deadline: 3000, goes_through: false };
pub const RESULT: Class =
    Class { name: "result", effect: "side_effect", target: 700, deadline: 3000, goes_through: true };

/// What a configuration says besides the constants of the small deployment.
pub struct Site {
    pub classes: Vec<Class>,
    pub memory_mb: u64,
    pub sockets: u64,
    pub listen: SocketAddr,
    pub feed: SocketAddr,
    pub admin: SocketAddr,
    pub flow_bytes_per_s: u64,
    /// The events of the start, as the JSON of `known`.
    pub known: String,
}

impl Site {
    /// Returns the configuration in the form of the deployment page, with one edge proxy at the point `edge-1`.
    pub fn json(&self) -> String {
        let list = |text: &dyn Fn(&Class) -> String| {
            let all: Vec<String> = self.classes.iter().map(text).collect();
            all.join(",")
        };
        let grades = list(&|class| {
            format!(
                r#"{{"aim_stretch":2.0,"deadline":{}.0,"dedup_scope":"all","effect":"{}","late_share":0.15,"name":"{}","points":1.0,"streaming":false,"target":{}.0,"window":5000.0}}"#,
                class.deadline, class.effect, class.name, class.target
            )
        });
        let zeros = list(&|_| "0.0".into());
        let goes_through = list(&|class| class.goes_through.to_string());
        let parts = list(&|_| "false".into());
        let worths = list(&|_| "0.7".into());
        let settings = format!(
            r#"{{"balancers":1,"clients":{{"marks_retry":false}},"discovery":"automatic",
"domain":{{"byte_fee":0.06,"class_grace":[{zeros}],"collapses":false,"count_by_zone":[0,1],"fresh_for":[{zeros}],
"goes_through":[{goes_through}],"hub_by_zone":[0,0],"in_parts":[{parts}],"lateral":"location",
"old_copy_worth":[{worths}],"origin_fall":3000.0,"pace_kb_per_s":8200.0,"parent_cold":20000.0,"parent_floor":0.065,
"pipe_kb_per_s":[0.0,0.0],"purge_grace":500.0,"purge_settles":6000.0,"report_x0":"-","report_x1":"-",
"root_fall_multiple":2.5,"root_kind":2,"second_tier_kind":1,"straight":true,"tells":"all","upper_fall_multiple":2.0}},
"failure_domains":["north","edge-1"],"family":"edge",
"goal":{{"whole":0.55,"worst_class":0.35,"worst_tenant":0.0,"worst_window":0.1}},
"grades":[{grades}],"granularity":2.0,
"limits":{{"cancel":true,"conn_idle":15000.0,"connect_timeout":400.0,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,
"max_attempts":6,"max_retry_after":2000.0,"may_probe":true,"most_held":20000,"parallel_tries":true,
"peer_messages":false,"retry_after":true,"streams_per_conn":100}},
"my_zone":1,"ordinal":0,"over_share_worth":0.1,
"prices":{{"connection":0.0,"cross_zone":0.013,"discovery":0.0,"handshake":0.0,"late_fail":0.05,"moves":0.0,"origin":0.044,"peer":0.0,"probe":0.01,"waste":0.049}},
"report":{{"how":"piggyback","names":["rif"]}},
"rules":{{"answer_slack":8.0,"ask_within":10000.0,"cold_share":0.16,"drain_grace":1000.0,"fall_multiple":4.0,"overload_for":1500.0,"warm_after":15000.0}},
"skus":["small","parent","origin"],"tenants":[],"tier":0,"tiers":["table-cache"],"weights":"rough","worth_by":"request"}}"#
        );
        format!(
            r#"{{"name":"n0","listen":"{}","admin":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"feed":"{}",
"flow_bytes_per_s":{},"link_bytes_per_s":{},"known":{},
"settings":{settings}}}
"#,
            self.listen,
            self.admin,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            self.memory_mb,
            self.sockets,
            self.feed,
            self.flow_bytes_per_s,
            4 * self.flow_bytes_per_s,
            self.known
        )
    }
}

// ---- processes ----

/// The folder of a run for configurations and logs; it is removed at the end.
pub struct Workspace(pub PathBuf);

impl Workspace {
    pub fn new() -> Self {
        let base = std::env::temp_dir();
        let path = base.join(format!("dt-review2-{}", std::process::id()));
        std::fs::create_dir_all(path.join("tmp")).expect("a temporary folder");
        Workspace(path)
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the edge proxy, started as the deploy file says.
pub struct Proxy {
    child: Child,
    log: PathBuf,
}

impl Proxy {
    /// Starts `run` of the deploy file from the root of the repository and waits until it says that it takes clients.
    pub fn start(space: &Workspace, name: &str, site: &Site, record: &Record) -> Result<Self, String> {
        let config = space.0.join("config.json");
        std::fs::write(&config, site.json()).map_err(|error| error.to_string())?;
        Self::start_with(space, name, &config, site.listen, site.admin, record)
    }

    pub fn start_with(
        space: &Workspace,
        name: &str,
        config: &Path,
        listen: SocketAddr,
        admin: SocketAddr,
        record: &Record,
    ) -> Result<Self, String> {
        let log = space.0.join(format!("{name}.log"));
        let file = std::fs::File::create(&log).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg("exec target/release/dahliatrack serve");
        command.env("PROXY_NAME", "n0").env("PROXY_LISTEN", listen.to_string());
        command.env("PROXY_CONFIG", config).env("PROXY_ADMIN", admin.to_string());
        command.env("TMPDIR", space.0.join("tmp"));
        for unset in ["PROXY_SIGNED", "PROXY_ADMISSION", "PROXY_FEDERATION"] {
            command.env_remove(unset);
        }
        command
            .stdin(Stdio::null())
            .stdout(file.try_clone().map_err(|error| error.to_string())?)
            .stderr(file);
        // SAFETY: the call only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        let proxy = Proxy { child, log };
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if healthcheck(admin) {
                record.note(format!("platform: {name} is ready, process {}", proxy.child.id()));
                return Ok(proxy);
            }
            thread::sleep(ms(20));
        }
        Err(format!("{name} was not ready within 10 s: {}", proxy.log_text()))
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a signal to a child that has not been waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(SIGKILL);
        }
        let _ = self.child.wait();
    }
}

/// Calls `GET /healthcheck`; returns whether the answer is a yes.
pub fn healthcheck(admin: SocketAddr) -> bool {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&admin, ms(500))?;
        stream.set_read_timeout(Some(ms(1000)))?;
        stream.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    call().is_ok_and(|text| text.starts_with("HTTP/1.1 2"))
}

// ---- table caches, parents and the origin ----

/// What one server received, for the check after the run.
#[derive(Clone)]
pub struct Fetch {
    /// When the first byte of its line arrived, since the start.
    pub at: Duration,
    pub id: String,
    pub class: String,
    pub from: Option<String>,
}

/// Returns the bytes of an object: they depend on the object alone.
pub fn object_bytes(object: &str, length: usize) -> Vec<u8> {
    let seed = object.bytes().fold(7u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    (0..length).map(|at| seed.wrapping_add((at % 251) as u8)).collect()
}

/// The length of a `piece`.
pub const PIECE_BYTES: usize = 20_000;
/// The length of the answer to a `result`.
const RESULT_BYTES: usize = 64;

/// A stand-in table cache, parent or origin. A cache that is named a source answers any miss as filled, after its
/// service time; one that is not answers `404`.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub site: &'static str,
    pub kind: &'static str,
    pub share: u32,
    fetches: Mutex<Vec<Fetch>>,
    /// How long it takes until it begins an answer.
    service: Duration,
    /// The length of a `replay`.
    replay_bytes: usize,
    born: u64,
    record: Arc<Record>,
}

/// A request that a connection has to answer.
struct Due {
    at: Instant,
    fetch: Fetch,
    item: String,
}

impl Server {
    pub fn start(
        name: &str,
        site: &'static str,
        kind: &'static str,
        share: u32,
        service_ms: u64,
        replay_bytes: usize,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = Arc::new(Server {
            name: name.into(),
            address: listener.local_addr().expect("an address"),
            site,
            kind,
            share,
            fetches: Mutex::new(Vec::new()),
            service: ms(service_ms),
            replay_bytes,
            born: unix_ms(),
            record: record.clone(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Returns the entry in the list of the control feed.
    pub fn entry(&self, health: &str) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":0,"health":"{health}","share":{},"born_ms":0}}"#,
            self.name, self.address, self.site, self.kind, self.share
        )
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let given_up: Arc<Mutex<Vec<String>>> = Arc::default();
        let (due, answers) = mpsc::channel::<Due>();
        {
            let (server, writer, given_up) = (self.clone(), writer.clone(), given_up.clone());
            thread::spawn(move || {
                for due in answers {
                    thread::sleep(due.at.saturating_duration_since(Instant::now()));
                    if !lock(&given_up).contains(&due.fetch.id) {
                        let _ = lock(&writer).write_all(&server.answer(&due));
                    }
                }
            });
        }
        let mut reader = BufReader::new(stream);
        loop {
            match reader.fill_buf() {
                Ok(bytes) if !bytes.is_empty() => {}
                _ => break,
            }
            let at = self.record.now();
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                break;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            match words[..] {
                ["fetch", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if reader.read_exact(&mut body).is_err() {
                        break;
                    }
                    let _ = due.send(self.take(at, id, fields));
                }
                ["abort", id] => lock(&given_up).push(id.to_owned()),
                ["alive", tag] => drop(write!(lock(&writer), "{tag} alive - 0\r\n")),
                ["stats", tag] => drop(write!(lock(&writer), "{tag} status meter=rif:1 0\r\n")),
                _ => break,
            }
        }
        let _ = lock(&writer).shutdown(std::net::Shutdown::Both);
    }

    /// Takes a request whose first byte came at `at`.
    fn take(&self, at: Duration, id: &str, fields: &str) -> Due {
        let fields: BTreeMap<&str, &str> =
            fields.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or_default().to_owned();
        let from = fields.get("from").map(|from| (*from).to_owned());
        let fetch = Fetch { at, id: id.to_owned(), class: field("cls"), from };
        lock(&self.fetches).push(fetch.clone());
        Due { at: Instant::now() + self.service, fetch, item: field("item") }
    }

    fn answer(&self, due: &Due) -> Vec<u8> {
        let Fetch { id, class, from, .. } = &due.fetch;
        if from.is_none() && self.kind != "origin" {
            return format!("{id} 404 tell=not_there 0\r\n").into_bytes();
        }
        let length = match class.as_str() {
            "result" => RESULT_BYTES,
            "piece" => PIECE_BYTES,
            _ => self.replay_bytes,
        };
        let body = object_bytes(&due.item, length);
        let head =
            format!("{id} 200 ver=v1,born={},tell=pulled,waited=1,meter=rif:1 {length}\r\n", self.born);
        [head.as_bytes(), &body, b"\r\n"].concat()
    }
}

/// Writes into the record what the servers ran.
pub fn note_runs(servers: &[Arc<Server>], record: &Record) {
    for server in servers {
        for Fetch { at, id, class, from } in lock(&server.fetches).iter() {
            let source = from.as_deref().unwrap_or("none");
            record.note_at(*at, format!("{} got {id} of class {class}, source {source}", server.name));
        }
    }
}

/// A small deployment: three table caches at `edge-1`, two parents and the origin at `north`.
pub fn deployment(record: &Arc<Record>, service_ms: u64, replay_bytes: usize) -> Vec<Arc<Server>> {
    let plan = [
        ("s-00000a11", "edge-1", "small", 24),
        ("s-00000b22", "edge-1", "small", 24),
        ("s-00000c33", "edge-1", "small", 24),
        ("s-00000d44", "north", "parent", 48),
        ("s-00000e55", "north", "parent", 48),
        ("s-00000f66", "north", "origin", 96),
    ];
    let start =
        |(name, site, kind, share)| Server::start(name, site, kind, share, service_ms, replay_bytes, record);
    plan.into_iter().map(start).collect()
}

/// Returns the first event of the list: the whole of it.
pub fn whole_list(servers: &[Arc<Server>]) -> String {
    let hosts: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    format!(r#""members":{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","))
}

// ---- the control feed ----

#[derive(Default)]
struct FeedState {
    /// Contents of the events, without their numbers.
    events: Vec<String>,
}

/// A stand-in control feed.
pub struct Feed {
    pub address: SocketAddr,
    state: Mutex<FeedState>,
    changed: Condvar,
}

impl Feed {
    pub fn start(first: String) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let feed = Arc::new(Feed {
            address: listener.local_addr().expect("an address"),
            state: Mutex::new(FeedState { events: vec![first] }),
            changed: Condvar::new(),
        });
        let accepting = feed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = accepting.clone();
                thread::spawn(move || feed.serve(stream));
            }
        });
        feed
    }

    /// Returns the events so far, in the form of `known`.
    pub fn known(&self) -> String {
        body(&lock(&self.state).events, 0)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut path = String::new();
            loop {
                let mut line = String::new();
                if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                    return;
                }
                if line.trim_end().is_empty() {
                    break;
                }
                if path.is_empty() {
                    path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                }
            }
            let number = |name: &str| {
                let mut pairs = path.split(['?', '&']).filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(key, _)| *key == name)
                    .and_then(|(_, value)| value.parse::<u64>().ok())
                    .unwrap_or(0)
            };
            let (after, wait) = (number("SUB") as usize, number("wait").min(5000));
            let until = Instant::now() + ms(wait);
            let mut state = lock(&self.state);
            while state.events.len() <= after && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now()).max(ms(1));
                state = self.changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
            }
            drop(state);
            let events = lock(&self.state).events.clone();
            let text = body(&events, after.min(events.len()));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn body(events: &[String], after: usize) -> String {
    let told: Vec<String> = events
        .iter()
        .enumerate()
        .skip(after)
        .map(|(at, event)| format!(r#"{{"n":{},{event}}}"#, at + 1))
        .collect();
    format!(r#"{{"n":{},"events":[{}]}}"#, events.len(), told.join(","))
}

// ---- clients ----

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// The connection ended without a whole answer.
    ConnectionEnded,
    /// No answer came within the wait.
    Unanswered,
    /// The answer is not the protocol's, or has other bytes than the object.
    Wrong,
}

fn put_string(bytes: &mut Vec<u8>, text: &[u8]) {
    bytes.extend((text.len() as u32).to_be_bytes());
    bytes.extend(text);
}

fn message(kind: u8, name: &str, seqid: u32, arguments: &[u8]) -> Vec<u8> {
    let mut message = vec![0x80, 1, 0, kind];
    put_string(&mut message, name.as_bytes());
    message.extend(seqid.to_be_bytes());
    message.extend(arguments);
    message.push(0);
    let mut frame = Vec::new();
    put_string(&mut frame, &message);
    frame
}

pub fn ping(seqid: u32) -> Vec<u8> {
    message(1, "ping", seqid, &[2, 0, 1, 0])
}

pub fn invoke(seqid: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_string(&mut arguments, name.as_bytes());
        put_string(&mut arguments, value.as_bytes());
    }
    arguments.extend([11, 0, 2]);
    put_string(&mut arguments, body);
    message(1, "invoke", seqid, &arguments)
}

/// Returns the fields of a request for the first part of an object of the group 17.
pub fn request_fields<'a>(
    class: &'a str,
    trace: &'a str,
    patience: &'a str,
    entity: &'a str,
) -> [(&'a str, &'a str); 6] {
    [
        ("route", class),
        ("trace", trace),
        ("patience", patience),
        ("entity", entity),
        ("slice", "0"),
        ("set", "17"),
    ]
}

static LAST_TRACE: AtomicU64 = AtomicU64::new(1);

/// Returns a trace id that no other request of this run has.
pub fn trace() -> String {
    let number = LAST_TRACE.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ unix_ms() << 40)
}

/// Reads one frame; `None` if the connection ends first.
pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > 1 << 20 {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame)?;
    Ok(frame)
}

/// Parses an answer: its number, its kind and its body.
pub fn parse_answer(frame: &[u8]) -> Option<(u32, End, Vec<u8>)> {
    let word = |at: usize| Some(u32::from_be_bytes(frame.get(at..at + 4)?.try_into().ok()?));
    let name = word(4)? as usize;
    let seqid = word(8 + name)?;
    let rest = frame.get(12 + name..)?;
    if frame.get(3) == Some(&3) {
        return Some((seqid, End::Failed, Vec::new()));
    }
    match rest.get(..3)? {
        [12, 0, 0] => {
            let length = u32::from_be_bytes(rest.get(6..10)?.try_into().ok()?) as usize;
            Some((seqid, End::Served, rest.get(10..10 + length)?.to_vec()))
        }
        [12, 0, 1] => Some((seqid, End::Refused, Vec::new())),
        [12, 0, 2] => Some((seqid, End::Failed, Vec::new())),
        _ => None,
    }
}

/// Ends the run with code 2 if it takes too long, and ends the processes that it started with it.
pub fn watch_time(record: &Arc<Record>, folder: &Path, seconds: u64) {
    let (record, folder) = (record.clone(), folder.to_owned());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        record.note("the run took too long");
        record.save(&folder);
        std::process::exit(2); // the processes get SIGKILL as their parent ends
    });
}

/// A switch that several threads read.
#[derive(Clone, Default)]
pub struct Switch(Arc<AtomicBool>);

impl Switch {
    pub fn turn_on(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
