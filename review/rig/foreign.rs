//! Another writer leaves entries among those of the replicas. All machines are then killed and started again.

use std::sync::Arc;

use crate::base::{SIGKILL, Verdict, note, sleep_ms, wait_for};
use crate::client::send;
use crate::hosts::Machine;
use crate::replica::{Behaviour, Replica, config};
use crate::store::Store;

/// Entries of the other writer, which together with those of the replicas take two answers of the store.
const FOREIGN: usize = 20;
/// Bytes of such an entry, of at most `max-row-bytes` (65,536).
const FOREIGN_BYTES: usize = 50_000;
/// `recovery-s` of the site.
const RECOVERY_MS: u64 = 12_000;
const REQUESTS: usize = 40;

pub fn run(trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(7, "huvo11a", "wuno96b"));
    let replicas: Vec<Arc<Replica>> = ["i-5a11e001", "i-5a11e002"]
        .into_iter()
        .map(|name| {
            Replica::start(&store, name, "wuno96b", "khomas-a", false, Behaviour::default())
        })
        .collect();
    let machines = [
        Machine::new("edge-khomas-a-1", 1, "khomas-a", store.addr, None),
        Machine::new("edge-erongo-a-1", 2, "erongo-a", store.addr, None),
        Machine::new("edge-oshana-a-1", 3, "oshana-a", store.addr, None),
    ];
    machines.iter().for_each(|machine| machine.start());
    if !machines.iter().all(|machine| machine.wait_until_ready()) {
        return Verdict::CannotRun("a machine is not ready".to_owned());
    }
    sleep_ms(2000);
    // For comparison: keys that need no encoding in a path.
    let plain_keys = std::env::var("PLAIN_KEYS").is_ok_and(|value| value == "1");
    if trouble {
        for number in 0..FOREIGN {
            // Bytes that can't be read as an entry. The key is a text, like any other.
            let space = if plain_keys { "-" } else { " " };
            let key = format!("backup{space}of{space}{number:02}");
            store.put("servers", &key, &"x".repeat(FOREIGN_BYTES));
        }
        note(&format!("another writer: {FOREIGN} entries of {FOREIGN_BYTES} bytes"));
    }
    sleep_ms(3000);
    let before = served(&machines, "a");
    note(&format!("before the final fault: {before} of {REQUESTS} requests served"));
    machines.iter().for_each(|machine| machine.signal(SIGKILL));
    wait_for(5, || machines.iter().all(|machine| machine.has_ended()));
    machines.iter().for_each(|machine| machine.start());
    sleep_ms(RECOVERY_MS + 1000);
    let after = served(&machines, "b");
    let ready = machines.iter().filter(|machine| machine.is_ready()).count();
    for machine in &machines {
        machine.note_log(&["registry unavailable", "version in force"]);
    }
    note(&format!(
        "13 s after the machines are back: {after} of {REQUESTS} requests served, {ready} of 3 machines ready; {} ran \
         before and after",
        replicas.iter().map(|replica| replica.ran().len()).sum::<usize>()
    ));
    match (before * 4 >= REQUESTS, after * 4 < REQUESTS) {
        (false, _) => {
            Verdict::CannotRun("requests were not served before the final fault".to_owned())
        }
        (true, false) => Verdict::Held,
        (true, true) => Verdict::Broken(format!(
            "{after} of {REQUESTS} requests were served later than recovery-s after the machines were back, {before} before \
             the final fault"
        )),
    }
}

/// Sends requests to all machines, and returns how many were served.
fn served(machines: &[Machine], label: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let to = machines[number % machines.len()].front();
        let id = format!("{label}c41d07b{number:08}");
        let (method, path) = match number % 2 {
            0 => ("POST", "/pule252/2f"),
            _ => ("GET", "/puxa403/2f"),
        };
        let answer = send(to, method, path, &id, 2000, "");
        served += usize::from(answer.status == 200 && answer.complete);
    }
    served
}
