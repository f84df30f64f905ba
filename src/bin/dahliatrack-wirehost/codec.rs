//! The binary frames of the wire: batches of events in, replies with actions out.

use dahliatrack::*;

/// The bytes of a batch header.
pub const BATCH_HEADER: usize = 16;
/// The bytes of one entry of a list.
const LIST_ENTRY: usize = 22;
/// No time on the wire lies further from 0, ms.
const LONGEST: f64 = 1e15;
/// The number that addresses every peer.
const EVERY_PEER: u32 = u32::MAX;

/// One event of a batch, for one instance.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// A new instance, with its seed and the settings text.
    Born {
        /// Random seed of the instance.
        seed: u64,
        /// Settings as JSON.
        settings: Vec<u8>,
    },
    /// The instance was killed.
    Killed,
    /// Something for the decision module.
    Event(Event),
}

/// A batch header: the clock, the bytes of the frame and its records.
pub fn header(bytes: &[u8; BATCH_HEADER]) -> Result<(Instant, usize, u32), String> {
    let mut reader = Reader { bytes, at: 0 };
    let clock = reader.instant()?;
    let (length, count) = (reader.u32()? as usize, reader.u32()?);
    if length < BATCH_HEADER {
        return Err(format!("a frame of {length} bytes is shorter than its header"));
    }
    Ok((clock, length, count))
}

/// The records of a batch; `body` is the frame without its header.
pub fn records(body: &[u8], count: u32) -> Result<Vec<(u32, Incoming)>, String> {
    let mut reader = Reader { bytes: body, at: 0 };
    let mut all = Vec::with_capacity((count as usize).min(body.len() / 6));
    for number in 0..count {
        let start = reader.at;
        let record = reader
            .record()
            .map_err(|e| format!("record {number} at byte {} of the frame: {e}", start + BATCH_HEADER))?;
        all.push(record);
    }
    if reader.at != body.len() {
        return Err(format!("{} bytes after the last record", body.len() - reader.at));
    }
    Ok(all)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Result<&[u8], String> {
        let rest = &self.bytes[self.at..];
        if n > rest.len() {
            return Err(format!("{n} bytes wanted at {}, {} left", self.at + BATCH_HEADER, rest.len()));
        }
        self.at += n;
        Ok(&rest[..n])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_le_bytes)
    }

    fn f32(&mut self) -> Result<f32, String> {
        self.array().map(f32::from_le_bytes)
    }

    fn f64(&mut self) -> Result<f64, String> {
        self.array().map(f64::from_le_bytes)
    }

    fn time(&mut self) -> Result<Span, String> {
        let ms = self.f64()?;
        if ms.is_nan() || ms.abs() > LONGEST {
            return Err(format!("the time {ms} is no time"));
        }
        Ok(Span::from_millis_f64(ms))
    }

    fn instant(&mut self) -> Result<Instant, String> {
        Ok(Instant::ZERO + self.time()?)
    }

    fn request(&mut self) -> Result<RequestId, String> {
        self.u64().map(RequestId)
    }

    fn server(&mut self) -> Result<ServerId, String> {
        self.u32().map(ServerId)
    }

    fn load(&mut self) -> Result<Vec<f32>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn result(&mut self) -> Result<AttemptResult, String> {
        Ok(match self.u16()? {
            0 => AttemptResult::Error,
            1 => AttemptResult::Ok,
            2 => AttemptResult::Rejected,
            3 => AttemptResult::Timeout,
            4 => AttemptResult::ConnectFailed,
            5 => AttemptResult::Reset,
            6 => AttemptResult::Cancelled,
            7 => AttemptResult::NotSent,
            8 => AttemptResult::Miss,
            other => return Err(format!("unknown outcome {other}")),
        })
    }

    fn note(&mut self) -> Result<Option<CacheStatus>, String> {
        Ok(Some(match self.u32()? {
            0 => return Ok(None),
            1 => CacheStatus::Hit,
            2 => CacheStatus::Filled,
            3 => CacheStatus::FilledByOrigin,
            4 => CacheStatus::Collapsed,
            5 => CacheStatus::Stale,
            6 => CacheStatus::SourceRejected,
            7 => CacheStatus::SourceUnreachable,
            8 => CacheStatus::SourceMiss,
            9 => CacheStatus::NoFillSlot,
            10 => CacheStatus::OriginFailed,
            other => return Err(format!("unknown note {other}")),
        }))
    }

    fn record(&mut self) -> Result<(u32, Incoming), String> {
        let code = self.u16()?;
        let instance = self.u32()?;
        let event = match code {
            1 => {
                let request = self.request()?;
                let result = self.result()?;
                let (server, attempt) = (self.server()?, self.u8()?);
                let note = self.note()?;
                let (elapsed, finished, waited) = (self.time()?, self.u8()? != 0, self.time()?);
                let load = self.load()?;
                let outcome = AttemptOutcome {
                    request,
                    attempt,
                    server,
                    result,
                    cache_status: note,
                    elapsed,
                    fill_wait: waited,
                    transfer_time: Span::ZERO,
                    finished,
                    load_report: load,
                };
                Event::AttemptEnded(outcome)
            }
            2 => Event::Timer(self.u32()?),
            3 => {
                let object = self.u64()?;
                let age = self.time()?;
                let group = GroupId(self.u16()?.into());
                let what = if object == 0 { Purge::Group(group) } else { Purge::Object(ObjectId(object)) };
                Event::Purged { purge: what, age }
            }
            4 => {
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                return Ok((instance, Incoming::Born { seed, settings: self.take(n)?.to_vec() }));
            }
            5 => Event::FirstByte {
                request: self.request()?,
                attempt: self.u8()?,
                server: self.server()?,
                elapsed: self.time()?,
            },
            6 => Event::HealthChecked {
                server: self.server()?,
                result: self.result()?,
                elapsed: self.time()?,
                load_report: self.load()?,
            },
            7 => self.members()?,
            8 => return Ok((instance, Incoming::Killed)),
            9 => Event::Request(self.incoming()?),
            10 => {
                let from = self.u16()?;
                let n = self.u16()?.into();
                Event::PeerMessage { from, bytes: self.take(n)?.to_vec() }
            }
            11 => Event::RequestCancelled(self.request()?),
            other => return Err(format!("unknown event code {other}")),
        };
        Ok((instance, Incoming::Event(event)))
    }

    fn members(&mut self) -> Result<Event, String> {
        let kind = match self.u8()? {
            0 => ListUpdate::Cached,
            1 => ListUpdate::Failed,
            2 => ListUpdate::Delta,
            3 => ListUpdate::Full,
            other => return Err(format!("unknown list kind {other}")),
        };
        let _version = self.u64()?;
        let n = self.u32()? as usize;
        let left = self.bytes.len() - self.at;
        if n > left / LIST_ENTRY {
            return Err(format!("a list of {n} entries in {left} bytes"));
        }
        let entries = (0..n).map(|_| self.member()).collect::<Result<_, _>>()?;
        Ok(Event::EndpointList { update: kind, endpoints: entries })
    }

    fn member(&mut self) -> Result<Endpoint, String> {
        let since = self.instant()?;
        let (weight, server) = (self.f32()?.into(), self.server()?);
        let (kind, cell) = (self.u16()?, self.u16()?);
        let state = match self.u8()? {
            1 => ServerState::Removed,
            2 => ServerState::Ready,
            3 => ServerState::Draining,
            other => return Err(format!("unknown server state {other}")),
        };
        let zone = ZoneId(self.u8()?.into());
        let up_since = (since != Instant::ZERO).then_some(since);
        Ok(Endpoint { server, started_at: up_since, weight, kind, cell, zone, state })
    }

    fn incoming(&mut self) -> Result<Request, String> {
        let (id, class, tenant) = (self.request()?, ClassId(self.u16()?), self.u16()?);
        let (object, patience) = (ObjectId(self.u64()?), self.time()?);
        let (size_kb, group, part) = (self.f32()?.into(), GroupId(self.f32()? as u32), self.f32()? as u32);
        let options = self.u8()?;
        let (repeat, write) = (options & 2 != 0, options & 4 != 0);
        Ok(Request {
            id,
            class,
            tenant,
            object,
            part,
            group,
            client_timeout: patience,
            size_kb,
            is_retry: repeat,
            is_write: write,
        })
    }
}

/// A reply in the making.
pub struct Reply(Vec<u8>);

impl Default for Reply {
    fn default() -> Self {
        Reply(vec![0; 4])
    }
}

impl Reply {
    /// The finished frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.0.len() as u32;
        self.0[..4].copy_from_slice(&length.to_le_bytes());
        self.0
    }

    /// Reports that an instance's decision code broke.
    pub fn bug(&mut self, instance: u32, line: &str) {
        self.code(10, instance).text(line.as_bytes());
    }

    /// Appends an instance's action.
    pub fn action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::SendCacheOnly { request, server, timeout } => {
                self.code(1, instance).u64(request.0).time(*timeout).u32(server.0);
            }
            Action::Reject { request, retry_after, .. } => {
                self.code(2, instance).u64(request.0).time(*retry_after);
            }
            Action::Fail(request) => {
                self.code(3, instance).u64(request.0);
            }
            Action::Cancel { request, attempt } => {
                self.code(4, instance).u64(request.0).u8(*attempt);
            }
            Action::Timer { token, after } => {
                self.code(5, instance).u32(*token).time(*after);
            }
            Action::HealthCheck(server) => {
                self.code(6, instance).u32(server.0);
            }
            Action::CloseIdleConnections(server) => {
                self.code(7, instance).u32(server.0);
            }
            Action::SendToPeer { to, bytes } => {
                self.code(8, instance).u32(to.map_or(EVERY_PEER, u32::from)).text(bytes);
            }
            Action::Log(line) => {
                self.code(9, instance).text(line.as_bytes());
            }
            Action::WatchEndpoints(on) => {
                self.code(11, instance).u8((*on).into());
            }
            Action::PollEndpoints => {
                self.code(12, instance);
            }
            Action::SendWithFill(get) => {
                let mode = u8::from(get.join_fill)
                    | u8::from(get.only_if_cached) << 1
                    | u8::from(get.bypass_parent_cache) << 2
                    | u8::from(get.stale_while_revalidate) << 3;
                self.code(13, instance).u64(get.request.0).u32(get.server.0).time(get.timeout);
                self.u32(get.source.0).u8(get.cache_rank).time(get.max_age).u8(mode);
            }
        }
    }

    fn code(&mut self, code: u16, instance: u32) -> &mut Self {
        self.0.extend(code.to_le_bytes());
        self.u32(instance)
    }

    fn u8(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn time(&mut self, value: Span) -> &mut Self {
        self.0.extend(value.as_millis_f64().to_le_bytes());
        self
    }

    fn text(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(u16::MAX.into())];
        self.0.extend((bytes.len() as u16).to_le_bytes());
        self.0.extend(bytes);
        self
    }
}
