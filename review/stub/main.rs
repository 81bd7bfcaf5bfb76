//! The scripts of review/: `stub CASE RECORD TROUBLE` exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run.

mod common;
mod key_moved;
mod lost_while_replaced;
mod sound_streams_cut;

use common::Record;
use std::process::ExitCode;

/// Whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, path, trouble] = words.as_slice() else {
        eprintln!("stub CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = Record::create(path);
    let trouble = trouble != "0";
    let verdict = match case.as_str() {
        "key-moved" => key_moved::play(&record, trouble),
        "sound-streams-cut" => sound_streams_cut::play(&record, trouble),
        "lost-while-replaced" => lost_while_replaced::play(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match verdict {
        Ok(broken) => {
            record.say(if broken {
                "verdict: the rule was broken"
            } else {
                "verdict: the rule held"
            });
            ExitCode::from(u8::from(broken))
        }
        Err(cause) => {
            record.say(&format!("verdict: the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
