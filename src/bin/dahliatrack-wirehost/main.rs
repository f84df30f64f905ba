//! Hosts routers of the library on the simulator's wire: batches on standard input, replies on standard
//! output. It decides nothing itself.

mod codec;

use codec::{Incoming, Reply, BATCH_HEADER};
use dahliatrack::config::settings::SiteSettings;
use dahliatrack::{Action, Instant, Router};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| ())); // a panic is reported on the wire instead
    match serve(&mut BufReader::with_capacity(1 << 16, io::stdin().lock()), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dahliatrack-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut routers = BTreeMap::new();
    let mut offset: u64 = 0;
    loop {
        let place = |e: String| format!("frame at byte {offset} of the input: {e}");
        let Some(head) = read_header(input).map_err(place)? else {
            return Ok(());
        };
        let (now, length, count) = codec::header(&head).map_err(place)?;
        let mut body = Vec::new();
        let wanted = (length - BATCH_HEADER) as u64;
        input.take(wanted).read_to_end(&mut body).map_err(|e| place(e.to_string()))?;
        if (body.len() as u64) < wanted {
            return Err(place(format!(
                "the input ends after {} of {length} bytes",
                body.len() + BATCH_HEADER
            )));
        }
        let mut reply = Reply::default();
        for (instance, incoming) in codec::records(&body, count).map_err(place)? {
            step(&mut routers, now, instance, incoming, &mut reply).map_err(place)?;
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
        offset += length as u64;
    }
}

/// Passes one event to its instance; `Err` is bad input.
fn step(
    routers: &mut BTreeMap<u32, Router>,
    now: Instant,
    instance: u32,
    incoming: Incoming,
    reply: &mut Reply,
) -> Result<(), String> {
    let mut actions: Vec<Action> = Vec::new();
    let ran = match incoming {
        Incoming::Born { seed, settings } => {
            let settings = SiteSettings::parse(&settings).map_err(|e| e.to_string())?.policy;
            routers.insert(instance, Router::new(settings, seed, now).map_err(|e| format!("settings: {e}"))?);
            Ok(())
        }
        Incoming::Killed => {
            routers.remove(&instance);
            Ok(())
        }
        Incoming::Event(event) => match routers.get_mut(&instance) {
            Some(router) => catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions))),
            None => Ok(()),
        },
    };
    for action in &actions {
        reply.action(instance, action);
    }
    if let Err(panic) = ran {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
        reply.bug(instance, text);
        routers.remove(&instance);
    }
    Ok(())
}

/// The next frame's header; `None` at a clean end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; BATCH_HEADER]>, String> {
    let mut head = Vec::with_capacity(BATCH_HEADER);
    input.take(BATCH_HEADER as u64).read_to_end(&mut head).map_err(|e| e.to_string())?;
    match <[u8; BATCH_HEADER]>::try_from(head) {
        Ok(head) => Ok(Some(head)),
        Err(head) if head.is_empty() => Ok(None),
        Err(head) => Err(format!("the input ends after {} of {BATCH_HEADER} header bytes", head.len())),
    }
}
