//! Stand-ins for the platform's store, replicas, links and requesters, and the cases of the review.
//! Uses the standard library only. Usage: rig CASE RECORD_FILE

mod base;
mod client;
mod foreign;
mod hosts;
mod json;
mod moved;
mod replica;
mod restored;
mod slow;
mod store;
mod tunnel;

use base::Verdict;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig CASE RECORD_FILE");
        std::process::exit(2);
    };
    base::open_record(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    base::note(&format!("case {case}, trouble {trouble}"));
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "foreign" => foreign::run(trouble),
        "slow" => slow::run(trouble),
        "tunnel" => tunnel::run(trouble),
        "moved" => moved::run(trouble, true),
        "moved-framed" => moved::run(trouble, false),
        "restored" => restored::run(trouble),
        _ => Verdict::CannotRun(format!("unknown case {case}")),
    });
    let verdict = result.unwrap_or_else(|_| Verdict::CannotRun("the rig failed".to_owned()));
    hosts::stop_all();
    base::finish(verdict);
}
