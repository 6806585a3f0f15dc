//! One replica fails part of its requests, and part of the machine's connections are reset. A stream that may be
//! resumed then runs on more replicas than its route allows.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::base::{Verdict, address, note, sleep_ms};
use crate::client::{Answer, send};
use crate::hosts::Machine;
use crate::replica::{Behaviour, Link, Replica, config};
use crate::store::Store;

const REPLICAS: usize = 14;
/// Replicas that fail part of their requests: a share of 0.14, where kinds states 0.15.
const GREY: usize = 2;
const EVENTS: u64 = 50;
const MAX_ATTEMPTS: usize = 2;
const REQUESTS: usize = 3300;
/// Time between two requests.
const GAP_MS: u64 = 17;
/// Of so many open connections, one is reset: a share of 0.1, where kinds states 0.5.
const RESET_STEP: usize = 10;
/// Number of requests between two resets.
const RESET_EVERY: usize = 200;

pub fn run(trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(7, "huvo11a", "wuno96b"));
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            // They fail x = 0.45 of their requests, with good health.
            let fails = if trouble && number < GREY { 0.45 } else { 0.0 };
            let behaviour = Behaviour { events: EVENTS, fails, ..Behaviour::default() };
            let name = format!("i-7f3a91{number:02}");
            Replica::start(&store, &name, "huvo11a", "khomas-a", true, behaviour)
        })
        .collect();
    let gateway = address(101);
    let links: Vec<Arc<Link>> =
        replicas.iter().map(|replica| Link::start(gateway, replica.addr)).collect();
    let machine = Machine::new("edge-khomas-a-1", 1, "khomas-a", store.addr, Some(gateway));
    machine.start();
    if !machine.wait_until_ready() {
        return Verdict::CannotRun("the machine is not ready".to_owned());
    }
    sleep_ms(1500);
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let to = machine.front();
        let id = format!("9c41d07be2a3{number:04}");
        let more = format!(
            "Model: m\r\nToken-Usage: 660,160\r\nPrompt-Prefix: 5c1e07a2:400,e440{number:04x}:260\r\n"
        );
        requesters.push(std::thread::spawn(move || {
            send(to, "POST", "/pufi791/2f", &id, 6000, &more)
        }));
        sleep_ms(GAP_MS);
        if trouble && number % RESET_EVERY == RESET_EVERY - 1 {
            let count: usize = links.iter().map(|link| link.reset_each(RESET_STEP)).sum();
            note(&format!("edge-khomas-a-1: {count} of its connections to replicas are reset"));
        }
    }
    let answers: Vec<Answer> = requesters.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let mut ran: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for replica in &replicas {
        for (id, _, _) in replica.ran() {
            ran.entry(id).or_default().insert(replica.name.clone());
        }
    }
    let mut beyond = 0;
    for (id, names) in ran.iter().filter(|(_, names)| names.len() > MAX_ATTEMPTS) {
        beyond += 1;
        note(&format!("{id} ran on {} replicas: {names:?}", names.len()));
    }
    let served = answers.iter().filter(|answer| answer.complete && answer.status == 200).count();
    machine.note_log(&["stream resumed"]);
    note(&format!(
        "{REQUESTS} streams, {served} served; {beyond} ran on more than {MAX_ATTEMPTS} replicas; {} ran at the one \
         that fails",
        replicas[0].ran().len()
    ));
    match beyond {
        _ if !trouble && served < REQUESTS => Verdict::CannotRun("not all were served".to_owned()),
        0..=3 => Verdict::Held,
        beyond => Verdict::Broken(format!(
            "{beyond} requests ran on more replicas than max-attempts ({MAX_ATTEMPTS}) in one attempt; 3 are allowed"
        )),
    }
}
