//! An edge proxy in a process of its own, with a folder for its files.

use super::ReplayError;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for the edge proxy to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Text before the address of the front in the edge proxy's log.
const LISTEN_TEXT: &str = "listens on ";

/// A running edge proxy. Its process is killed and its folder removed when this is dropped.
pub(super) struct ProxyProcess {
    child: Child,
    /// Address of the Thrift front.
    pub(super) address: SocketAddr,
    folder: PathBuf,
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProxyProcess {
    /// Starts `program` with a configuration, and waits until it listens.
    pub(super) fn start(program: &Path, config: &str) -> Result<Self, ReplayError> {
        let folder = std::env::temp_dir().join(format!("dahliatrack-replay-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("config.json");
        std::fs::write(&file, config)?;
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&file)
            .env("TMPDIR", &folder)
            .stderr(Stdio::piped())
            .spawn()?;
        let (sender, lines) = channel();
        if let Some(log) = child.stderr.take() {
            thread::spawn(move || forward_lines(log, &sender));
        }
        let mut proxy = ProxyProcess { child, address: SocketAddr::from(([127, 0, 0, 1], 0)), folder };
        proxy.address = wait_for_address(&lines)?;
        // Discards the rest of the log; the thread ends with the process.
        thread::spawn(move || lines.iter().for_each(drop));
        Ok(proxy)
    }
}

/// Forwards the lines of a log until it ends, so that its pipe never fills up.
fn forward_lines(log: impl Read, lines: &Sender<String>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let _ = lines.send(line);
    }
}

/// Waits for the log line with the address of the front, and returns the address.
fn wait_for_address(lines: &Receiver<String>) -> Result<SocketAddr, ReplayError> {
    let until = Instant::now() + START_TIMEOUT;
    let mut last = "it wrote no log line".to_owned();
    while let Ok(line) = lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
        let address = line.split_once(LISTEN_TEXT).and_then(|(_, address)| address.parse().ok());
        if let Some(address) = address {
            return Ok(address);
        }
        last = line;
    }
    Err(ReplayError::ProxyStart(last))
}
