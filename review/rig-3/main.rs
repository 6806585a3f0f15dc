//! Stand-ins and checks of the cases. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run.

mod client;
mod config;
mod engine;
mod event_numbers;
mod forged_entry;
mod held_channels;
mod host;
mod http;
mod json;
mod record;
mod replica;
mod store;
mod waiting_heads;
mod watchdog;

use record::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        println!("usage: rig-3 CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&format!("{folder}/record.txt"));
    watchdog::start();
    let holds = match case.as_str() {
        "forged-entry" => forged_entry::run(trouble, &record),
        "held-channels" => held_channels::run(trouble, &record),
        "waiting-heads" => waiting_heads::run(trouble, &record),
        "crash-before-events" => event_numbers::run_crash(trouble, &record),
        "event-steps" => event_numbers::run_steps(trouble, &record),
        _ => {
            println!("no such case");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(!holds));
}
