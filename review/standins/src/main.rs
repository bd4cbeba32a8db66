//! Plays one case of the review: `review-case NAME FOLDER PROGRAM`.
//!
//! It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod false_promise;
mod http;
mod kept_limits;
mod late_reader;
mod proxy;
mod resumed_streams;
mod store;
mod stuck_watch;
mod world;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use world::Case;

/// What a case found.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder, program] = arguments.as_slice() else {
        eprintln!("review-case NAME FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let case = match Case::open(Path::new(folder), Path::new(program)).map(Arc::new) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("cannot write to {folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let play: fn(&Arc<Case>) -> Result<Verdict, String> = match name.as_str() {
        "false_promise" => false_promise::play,
        "kept_limits" => |case| kept_limits::play(case),
        "late_reader" => late_reader::play,

        "resumed_streams" => resumed_streams::play,
        "stuck_watch" => |case| stuck_watch::play(case),
        _ => {
            eprintln!("there is no case {name}");
            return ExitCode::from(2);
        }
    };
    world::limit_time(&case);
    let code = match play(&case) {
        Ok(Verdict::Broken) => {
            case.record("the rule was broken");
            1
        }
        Ok(Verdict::Held) => {
            case.record("the rule held");
            0
        }
        Err(reason) => {
            case.record(format!("the case could not run: {reason}"));
            eprintln!("{reason}");
            2
        }
    };
    case.end();
    ExitCode::from(code)
}
