//! Bad clients, as the pages describe them. They read whatever is sent to them.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Sends `at_once` requests without a credential to the signed front at once, and again, at full speed for a time. Reads
/// whatever is sent to it. Returns the number of answers.
pub fn flood_signed_front(
    addr: SocketAddr,
    at_once: usize,
    during: Duration,
    record: &Record,
) -> std::io::Result<usize> {
    const REQUEST: &[u8] = b"GET /replays/1/0123456789abcdef/0 HTTP/1.1\r\nHost: replays.example.org\r\n\r\n";
    let mut stream = TcpStream::connect(addr)?;
    let reading = stream.try_clone()?;
    reading.set_read_timeout(Some(during))?;
    let reader = thread::spawn(move || count_answers(reading));
    let until = Instant::now() + during;
    let batch = REQUEST.repeat(at_once);
    record.say(format!("bad client: connected, sends {at_once} requests at once, again and again"));
    stream.set_write_timeout(Some(during))?;
    while Instant::now() < until {
        if let Err(error) = stream.write_all(&batch) {
            record.say(format!("bad client: {error}"));
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let answers = reader.join().unwrap_or(0);
    record.say(format!("bad client: leaves after {answers} answers"));
    Ok(answers)
}

/// Reads to the end of a connection, and counts the answers, which have no bodies.
fn count_answers(mut stream: TcpStream) -> usize {
    const ANSWER_END: &[u8] = b"\r\n\r\n";
    let (mut answers, mut matched, mut buffer) = (0, 0, vec![0; 1 << 20]);
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        for byte in &buffer[..count] {
            matched = match *byte == ANSWER_END[matched] {
                true => matched + 1,
                false => usize::from(*byte == ANSWER_END[0]),
            };
            if matched == ANSWER_END.len() {
                (matched, answers) = (0, answers + 1);
            }
        }
    }
    answers
}

/// Connects many times and sends on each connection a message that is shorter than its length says, in pieces; then
/// waits until each is ended. Returns the longest time that one of them waited, and how many were not ended.
pub fn send_short_messages(
    addr: SocketAddr,
    connections: usize,
    record: &Record,
) -> std::io::Result<(Duration, usize)> {
    const STATED: usize = 65_536;
    const SENT: usize = 65_500;
    const PIECES: usize = 33;
    let streams: Vec<TcpStream> =
        (0..connections).map(|_| TcpStream::connect(addr)).collect::<Result<_, _>>()?;
    let started = Instant::now();
    record.say(format!("bad clients: {connections} connected"));
    let mut message = (STATED as u32).to_be_bytes().to_vec();
    message.extend(0x8001_0001u32.to_be_bytes());
    message.resize(SENT, b'x');
    for piece in message.chunks(SENT.div_ceil(PIECES)) {
        for mut stream in &streams {
            let _ = stream.write_all(piece); // it may have been ended
        }
    }
    record.say(format!("bad clients: each has sent {SENT} bytes of a message of {STATED}"));
    let mut not_ended = 0;
    for mut stream in streams {
        let left = Duration::from_secs(6).saturating_sub(started.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        let mut answer = Vec::new();
        let is_timeout = |error: &std::io::Error| {
            matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
        };
        not_ended += usize::from(stream.read_to_end(&mut answer).is_err_and(|error| is_timeout(&error)));
    }
    record.say(format!(
        "bad clients: the last was ended {} ms after they connected",
        started.elapsed().as_millis()
    ));
    Ok((started.elapsed(), not_ended))
}

/// Clients by the hundred that send what cannot be read, and the same again as soon as they are turned away.
pub struct UnreadableCrowd {
    is_over: Arc<AtomicBool>,
    pub connects: Arc<AtomicUsize>,
}

impl UnreadableCrowd {
    pub fn start(addr: SocketAddr, connections: usize) -> Self {
        let crowd = UnreadableCrowd { is_over: Arc::default(), connects: Arc::default() };
        for _ in 0..connections {
            let (is_over, connects) = (Arc::clone(&crowd.is_over), Arc::clone(&crowd.connects));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    connects.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(b"not a frame of the protocol");
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
                    let mut byte = [0];
                    loop {
                        match stream.read(&mut byte) {
                            Err(error)
                                if error.kind() == std::io::ErrorKind::WouldBlock
                                    && !is_over.load(Ordering::Relaxed) => {}
                            _ => break,
                        }
                    }
                }
            });
        }
        crowd
    }
}

impl Drop for UnreadableCrowd {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}
