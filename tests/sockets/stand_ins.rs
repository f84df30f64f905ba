//! What the edge proxy talks to, in a few lines each: table caches, the control feed, and its process.
//! All ports are the system's choice; nothing waits for a time to pass.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Longer than anything takes that a test waits for: past it the test has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A line that a table cache was sent, and the connection to answer it on.
pub struct ReceivedLine {
    pub cache_name: &'static str,
    pub words: Vec<String>,
    pub body: Vec<u8>,
    stream: TcpStream,
}

impl ReceivedLine {
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.words[2].split(',').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
    }

    /// Answers it, if the edge proxy still listens.
    pub fn answer(&mut self, word: &str, fields: &str, body: &[u8]) {
        let head = format!("{} {word} {fields} {}\r\n", self.words[1], body.len());
        let _ = self.stream.write_all(&[head.as_bytes(), body, b"\r\n"].concat());
    }

    /// Answers whatever bytes.
    pub fn answer_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Answers the head and half of the bytes, and breaks off.
    pub fn answer_half_and_close(&mut self, body: &[u8]) {
        let head = format!("{} 200 ver=a {}\r\n", self.words[1], body.len());
        let _ = self.stream.write_all(&[head.as_bytes(), &body[..body.len() / 2]].concat());
        self.close_connection();
    }

    pub fn close_connection(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// A table cache, parent or origin: it passes on what it is sent, and answers what the test says.
pub struct Cache {
    pub name: &'static str,
    pub addr: SocketAddr,
    pub lines: Receiver<ReceivedLine>,
    pub closed_connections: Receiver<()>,
}

impl Cache {
    pub fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let (sender, lines) = channel();
        let (closed, closed_connections) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, closed) = (sender.clone(), closed.clone());
                thread::spawn(move || {
                    let _ = forward_lines(name, stream, &sender);
                    let _ = closed.send(());
                });
            }
        });
        Cache { name, addr, lines, closed_connections }
    }

    pub fn next_line(&self) -> ReceivedLine {
        self.lines.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("{} was sent nothing", self.name))
    }

    /// What it was sent next, if anything was yet.
    pub fn try_next_line(&self) -> Option<ReceivedLine> {
        self.lines.try_recv().ok()
    }

    /// Waits until one of its connections has ended.
    pub fn wait_for_closed_connection(&self) {
        self.closed_connections.recv_timeout(TEST_TIMEOUT).expect("a connection ends");
    }

    /// What it was sent and nobody looked at.
    pub fn unread_lines(&self) -> Vec<String> {
        self.lines.try_iter().map(|got| got.words.join(" ")).collect()
    }
}

fn forward_lines(
    cache_name: &'static str,
    stream: TcpStream,
    sender: &Sender<ReceivedLine>,
) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_owned).collect();
        let mut body = Vec::new();
        if words[0] == "fetch" {
            let length: usize = words[3].parse().expect("a length");
            body = vec![0; length + 2];
            reader.read_exact(&mut body)?;
            assert_eq!(body.split_off(length), b"\r\n");
        }
        let _ = sender.send(ReceivedLine { cache_name, words, body, stream: stream.try_clone()? });
    }
}

/// The control feed: its events, told to whoever asks.
#[derive(Clone, Default)]
pub struct Feed(Arc<(Mutex<Vec<String>>, Condvar)>);

impl Feed {
    pub fn publish(&self, event: &str) {
        let mut events = self.0 .0.lock().expect("a lock");
        let n = events.len() + 1;
        events.push(format!("{{\"n\":{n},{event}}}"));
        self.0 .1.notify_all();
    }

    fn events_after(&self, after: usize) -> String {
        let events = self.0 .0.lock().expect("a lock");
        format!("{{\"n\":{},\"events\":[{}]}}", events.len(), events[after..].join(","))
    }

    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let feed = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = feed.clone();
                thread::spawn(move || feed.answer_polls(stream));
            }
        });
        addr
    }

    fn answer_polls(&self, mut stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let mut head = String::new();
            while !head.ends_with("\r\n\r\n") {
                if reader.read_line(&mut head).ok()? == 0 {
                    return None;
                }
            }
            let after: usize = head.strip_prefix("GET /v1/events?SUB=")?.split('&').next()?.parse().ok()?;
            let events = self.0 .0.lock().ok()?;
            drop(self.0 .1.wait_while(events, |events| events.len() <= after).ok()?);
            let batch = self.events_after(after);
            let length = batch.len();
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{batch}").ok()?;
        }
    }
}

pub fn host_entry(cache: &Cache, health: &str) -> String {
    let class = match cache.name {
        "s-0000000p" => "parent",
        _ => "small",
    };
    let site = if class == "parent" { "north" } else { "edge-1" };
    format!(
        r#"{{"host":"{}","dial":"{}","site":"{site}","class":"{class}","block":0,"health":"{health}","share":100}}"#,
        cache.name, cache.addr
    )
}

pub fn members_event(whole: bool, hosts: &[String]) -> String {
    format!(r#""members":{{"seq":1,"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

const EXAMPLE_SETTINGS: &str = include_str!("../../src/config/settings/example.json");

/// The edge proxy's process.
pub struct Proxy {
    pub child: Child,
    config: std::path::PathBuf,
    pub addr: SocketAddr,
    pub feed: Feed,
    log: Receiver<String>,
}

/// A folder of a test's own, in this run.
pub fn folder(name: &str) -> std::path::PathBuf {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

impl Proxy {
    /// Starts one that knows these caches; `change` is applied to its configuration's text.
    pub fn start(
        name: &str,
        caches: &[&Cache],
        change: impl Fn(&str) -> String,
        extra_args: &[&str],
    ) -> Self {
        let (path, feed) = Self::write_config(name, caches, change);
        Self::spawn(path, feed, extra_args)
    }

    /// Starts one that the system lets hold so many descriptors.
    pub fn start_with_descriptor_limit(
        limit: usize,
        name: &str,
        caches: &[&Cache],
        change: impl Fn(&str) -> String,
    ) -> Self {
        let (path, feed) = Self::write_config(name, caches, change);
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\" \"$@\"")]);
        shell.arg(env!("CARGO_BIN_EXE_dahliatrack"));
        Self::spawn_command(shell, path, feed, &[])
    }

    /// Writes the configuration of one that knows these caches.
    fn write_config(
        name: &str,
        caches: &[&Cache],
        change: impl Fn(&str) -> String,
    ) -> (std::path::PathBuf, Feed) {
        let feed = Feed::default();
        let hosts: Vec<String> = caches.iter().map(|cache| host_entry(cache, "up")).collect();
        feed.publish(&members_event(true, &hosts));
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
               "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"feed":"{}","known":{},"settings":{}}}"#,
            feed.serve(),
            feed.events_after(0),
            EXAMPLE_SETTINGS
        );
        let path = folder(name).join("config.json");
        std::fs::write(&path, change(&config)).expect("a file");
        (path, feed)
    }

    /// Starts a newer process beside this one: the same files, folder and addresses but for the admin endpoint's.
    pub fn start_newer(&self, extra_args: &[&str]) -> Self {
        let addr = self.addr.to_string();
        self.rewrite_config(|text| {
            text.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{addr}\""))
        });
        Self::spawn(self.config.clone(), self.feed.clone(), extra_args)
    }

    fn spawn(config: std::path::PathBuf, feed: Feed, extra_args: &[&str]) -> Self {
        Self::spawn_command(Command::new(env!("CARGO_BIN_EXE_dahliatrack")), config, feed, extra_args)
    }

    fn spawn_command(
        mut program: Command,
        config: std::path::PathBuf,
        feed: Feed,
        extra_args: &[&str],
    ) -> Self {
        let mut child = program
            .args(["serve", "--config"])
            .arg(&config)
            .args(extra_args)
            // By a short path, wherever the tests are built: a socket's has to be.
            .current_dir(config.parent().expect("a folder"))
            .env("TMPDIR", ".")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("piped"));
        thread::spawn(move || lines.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut proxy = Proxy { child, config, addr: "127.0.0.1:0".parse().expect("an address"), feed, log };
        let line = proxy.wait_for_log("listens on ");
        proxy.addr = line.split('"').next().and_then(|addr| addr.parse().ok()).expect("an address");
        proxy
    }

    /// Changes the configuration's text.
    pub fn rewrite_config(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("a file");
        std::fs::write(&self.config, change(&text)).expect("a file");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("kill").success());
    }

    /// Stops the process where it is, and waits until it is stopped; SIGCONT lets it go on.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
            std::thread::yield_now();
        }
    }

    /// Waits for a log line that holds these words; gives what follows them.
    pub fn wait_for_log(&self, words: &str) -> String {
        // Lines that keep coming (a feed that falls silent logs every 1.7 s) must not make the wait endless.
        let since = std::time::Instant::now();
        loop {
            let left = TEST_TIMEOUT.saturating_sub(since.elapsed());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line with {words:?}"));
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_owned();
            }
        }
    }

    /// Stops taking the log: at its next line the pipe is closed.
    pub fn close_log_reader(&mut self) {
        self.log = channel().1;
    }

    /// The log lines that came and nobody looked at.
    pub fn unread_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    pub fn connect(&self, addr: SocketAddr) -> TcpStream {
        let stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a time-out");
        stream
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
