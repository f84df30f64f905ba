//! Stand-ins for the review's cases: table caches, a control feed, usual and bad clients, and the platform that
//! starts and ends the edge proxy. `standin CASE FOLDER` plays a case and writes FOLDER/record.txt.
//!
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run. `TROUBLE=0` leaves the disruption out.
//! Only the standard library is used, and every address is a loopback address.

mod bad_clients;
mod cases;
mod client;
mod feed;
mod platform;
mod record;
mod server;
mod thrift;

use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type CaseError = Box<dyn std::error::Error + Send + Sync>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, folder, has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
