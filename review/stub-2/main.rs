//! The script cases of the second review: `cases NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.

mod disk;
mod drain;
mod fleet;
mod net;
mod rollout;
mod route;

use fleet::Record;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// A script runs for 120 s at most.
const LIMIT: Duration = Duration::from_secs(110);

/// What a case has found: why the rule was broken, or `None`.
type Found = Result<Option<String>, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else { end("usage: cases NAME FOLDER", 2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(Path::new(folder));
    record.say(&format!("case {name}, with the disruption: {trouble}"));
    let run: fn(&Arc<Record>, bool) -> Found = match name.as_str() {
        "route" => route::run,
        "disk" => disk::run,
        "drain" => drain::run,
        "rollout" => rollout::run,
        _ => end("no such case", 2),
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    let recorded = record.clone();
    std::thread::spawn(move || {
        let found = std::panic::catch_unwind(|| run(&recorded, trouble));
        let _ = sender.send(found.unwrap_or_else(|_| Err("the script has failed".to_owned())));
    });
    let found = receiver.recv_timeout(LIMIT);
    let too_long = |_| {
        fleet::end_all();
        Err("the script takes too long".to_owned())
    };
    match found.unwrap_or_else(too_long) {
        Ok(None) => record.say("held"),
        Ok(Some(why)) => {
            record.say(&format!("broken: {why}"));
            std::process::exit(1);
        }
        Err(why) => {
            record.say(&format!("could not run: {why}"));
            std::process::exit(2);
        }
    }
}

fn end(text: &str, code: i32) -> ! {
    eprintln!("{text}");
    std::process::exit(code)
}
