//! The cases of the second review. `cases NAME FOLDER` plays one case and writes `record.txt` into the folder.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod held_input;
mod shorter_deadline;
mod unread_answers;
mod world;

use std::path::PathBuf;
use std::process::exit;

/// The result of a case: whether the rule was broken, or why the case could not run.
type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("cases NAME FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = world::Record::new();
    world::watch_time(&record, &folder, 110);
    let outcome: Outcome = match name.as_str() {
        "held-input" => held_input::run(&record, has_trouble),
        "unread-answers" => unread_answers::run(&record, has_trouble),
        "shorter-deadline" => shorter_deadline::run(&record, has_trouble),
        _ => Err("there is no such case".into()),
    };
    let code = match outcome {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(why) => {
            record.note(format!("the case could not run: {why}"));
            eprintln!("{why}");
            2
        }
    };
    record.note(format!("exit code {code}"));
    record.save(&folder);
    exit(code);
}
