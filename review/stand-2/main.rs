//! Plays one case of the review with real processes of the project and stand-ins of everything else.
//!
//!     stand-2 CASE RECORD FOLDER
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod advice;
mod base;
mod cases;
mod cell;
mod fleet;
mod judge;
mod store;

/// Time after which a case that hangs is ended, with all its processes.
const LIMIT_S: u64 = 112;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = words.as_slice() else {
        eprintln!("stand-2 CASE RECORD FOLDER");
        std::process::exit(2);
    };
    base::open_record(record);
    cell::end_after(LIMIT_S);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    base::note(format!("case {case}, trouble {trouble}"));
    let played = std::panic::catch_unwind(|| cases::play(case, folder, trouble));
    let code = match played {
        Ok(cases::Verdict::Held) => 0,
        Ok(cases::Verdict::Broken(what)) => {
            base::note(format!("BROKEN: {what}"));
            println!("broken: {what}");
            1
        }
        Ok(cases::Verdict::NotRun(why)) => {
            base::note(format!("NOT RUN: {why}"));
            println!("not run: {why}");
            2
        }
        Err(_) => 2,
    };
    base::note(format!("exit {code}"));
    std::process::exit(code);
}
