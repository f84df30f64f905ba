//! Minimal stand-ins for the table caches and the control feed, and a handle of the edge proxy's process.
//! All ports are chosen by the system, and nothing sleeps for a fixed time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Limit of every wait: longer than anything that a test waits for takes. A test that reaches it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A line that a table cache received, and the connection to answer it on.
pub struct ReceivedLine {
    pub cache_name: &'static str,
    pub words: Vec<String>,
    pub body: Vec<u8>,
    stream: TcpStream,
}

impl ReceivedLine {
    /// Returns the value of a field of a `fetch` line, `None` if the line does not have it.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self.words[2].split(',').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
    }

    /// Answers the request, if the edge proxy has not closed the connection.
    pub fn answer(&mut self, word: &str, fields: &str, body: &[u8]) {
        let head = format!("{} {word} {fields} {}\r\n", self.words[1], body.len());
        let _ = self.stream.write_all(&[head.as_bytes(), body, b"\r\n"].concat());
    }

    /// Writes raw bytes to the connection.
    pub fn answer_raw(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Sends the head and half of the body, then closes the connection.
    pub fn answer_half_and_close(&mut self, body: &[u8]) {
        let head = format!("{} 200 ver=a {}\r\n", self.words[1], body.len());
        let _ = self.stream.write_all(&[head.as_bytes(), &body[..body.len() / 2]].concat());
        self.close_connection();
    }

    pub fn close_connection(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

/// A table cache, parent or origin. It hands each received line to the test, which answers it.
pub struct Cache {
    pub name: &'static str,
    pub addr: SocketAddr,
    pub lines: Receiver<ReceivedLine>,
    /// One message for each connection that has ended.
    pub closed_connections: Receiver<()>,
}

impl Cache {
    pub fn new(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let addr = listener.local_addr().expect("get the local address");
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

    /// Waits for the next line.
    pub fn next_line(&self) -> ReceivedLine {
        self.lines.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("{} received nothing", self.name))
    }

    /// Returns the next line without waiting, `None` if none has arrived.
    pub fn try_next_line(&self) -> Option<ReceivedLine> {
        self.lines.try_recv().ok()
    }

    /// Waits until a connection to this cache has ended.
    pub fn wait_for_closed_connection(&self) {
        self.closed_connections.recv_timeout(TEST_TIMEOUT).expect("no connection was closed");
    }

    /// Returns the lines that have arrived and that the test has not taken.
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

/// A control feed that answers long polls with the published events.
#[derive(Clone, Default)]
pub struct Feed(Arc<(Mutex<Vec<String>>, Condvar)>);

impl Feed {
    /// Adds an event under the next number and wakes the waiting polls.
    pub fn publish(&self, event: &str) {
        let mut events = self.0 .0.lock().expect("the lock is not poisoned");
        let n = events.len() + 1;
        events.push(format!("{{\"n\":{n},{event}}}"));
        self.0 .1.notify_all();
    }

    /// Formats the events after number `after` as a feed response.
    fn events_after(&self, after: usize) -> String {
        let events = self.0 .0.lock().expect("the lock is not poisoned");
        format!("{{\"n\":{},\"events\":[{}]}}", events.len(), events[after..].join(","))
    }

    /// Starts to serve the feed and returns its address.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let addr = listener.local_addr().expect("get the local address");
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

/// Formats a host of the endpoint list.
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

/// Formats an endpoint list event; if `whole`, hosts that are not in the list are removed.
pub fn members_event(whole: bool, hosts: &[String]) -> String {
    format!(r#""members":{{"seq":1,"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

const EXAMPLE_SETTINGS: &str = include_str!("../../src/config/settings/example.json");

/// A running edge proxy process. It is killed when the value is dropped.
pub struct Proxy {
    pub child: Child,
    config: std::path::PathBuf,
    pub addr: SocketAddr,
    pub feed: Feed,
    log: Receiver<String>,
}

/// Creates a folder for one test of this run and returns its path.
pub fn folder(name: &str) -> std::path::PathBuf {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("create the folder");
    folder
}

impl Proxy {
    /// Starts a process that knows these caches; `change` edits the text of its configuration.
    pub fn start(
        name: &str,
        caches: &[&Cache],
        change: impl Fn(&str) -> String,
        extra_args: &[&str],
    ) -> Self {
        let (path, feed) = Self::write_config(name, caches, change);
        Self::spawn(path, feed, extra_args)
    }

    /// Starts a process under a limit on its open descriptors.
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

    /// Writes the configuration of a process that knows these caches, and starts its control feed.
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
        std::fs::write(&path, change(&config)).expect("write the configuration");
        (path, feed)
    }

    /// Starts a newer process beside this one, with the same files, folder and addresses. Only the address of the
    /// admin endpoint differs.
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
            // The relative TMPDIR keeps the paths of Unix sockets within their length limit, wherever the tests are
            // built.
            .current_dir(config.parent().expect("the file has a parent folder"))
            .env("TMPDIR", ".")
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the program");
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped"));
        thread::spawn(move || lines.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut proxy =
            Proxy { child, config, addr: "127.0.0.1:0".parse().expect("a valid address"), feed, log };
        let line = proxy.wait_for_log("listens on ");
        proxy.addr = line.split('"').next().and_then(|addr| addr.parse().ok()).expect("an address");
        proxy
    }

    /// Edits the text of the configuration file.
    pub fn rewrite_config(&self, change: impl Fn(&str) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("read the configuration");
        std::fs::write(&self.config, change(&text)).expect("write the configuration");
    }

    /// Sends the process a signal, given as an option of kill(1).
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().expect("run kill").success());
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. SIGCONT resumes it.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).expect("read the state of the process").contains(") T ") {
            std::thread::yield_now();
        }
    }

    /// Waits for a log line that contains `words` and returns the text after them.
    pub fn wait_for_log(&self, words: &str) -> String {
        // The time limit is for the whole wait. A limit for each line would never be reached while lines keep
        // coming: a silent feed, for example, is logged every 1.7 s.
        let since = std::time::Instant::now();
        loop {
            let left = TEST_TIMEOUT.saturating_sub(since.elapsed());
            let line = self.log.recv_timeout(left).unwrap_or_else(|_| panic!("no log line with {words:?}"));
            if let Some((_, rest)) = line.split_once(words) {
                return rest.to_owned();
            }
        }
    }

    /// Stops reading the log. The pipe is closed when the next line arrives.
    pub fn close_log_reader(&mut self) {
        self.log = channel().1;
    }

    /// Returns the log lines that have arrived and that the test has not taken.
    pub fn unread_log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    pub fn connect(&self, addr: SocketAddr) -> TcpStream {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        stream
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
