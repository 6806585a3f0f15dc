//! A replica drains, and the last copy of each of its runs takes longer than usual, because it waits for
//! other moves on the links.

use std::sync::Arc;
use std::time::Duration;

use crate::base::{Verdict, note, sleep_ms, wait_for};
use crate::client::{Answer, open, send_on};
use crate::hosts::Machine;
use crate::replica::{Behaviour, Replica, config};
use crate::store::Store;

const STREAMS: usize = 6;
const EVENTS: u64 = 150;

/// `unframed` tells whether the answers of the replicas have no length and end with their channel.
pub fn run(trouble: bool, unframed: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(7, "huvo11a", "wuno96b"));
    let plain =
        Replica::start(&store, "i-5a11e001", "wuno96b", "khomas-a", false, Behaviour::default());
    let last_copy_ms = if trouble { 2000 } else { 5 };
    let behaviour = Behaviour { events: EVENTS, unframed, last_copy_ms, ..Behaviour::default() };
    let start =
        |name: &str| Replica::start(&store, name, "huvo11a", "khomas-a", true, behaviour.clone());
    let leaving = start("i-7f3a91c1");
    let machine = Machine::new("edge-khomas-a-1", 1, "khomas-a", store.addr, None);
    machine.start();
    if !machine.wait_until_ready() {
        return Verdict::CannotRun("the machine is not ready".to_owned());
    }
    sleep_ms(1000);
    let requesters: Vec<_> = (0..STREAMS)
        .map(|number| {
            let to = machine.front();
            let id = format!("9c41d07be2a35f{number:02}");
            let more =
                "Model: m\r\nToken-Usage: 1460,600\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
            sleep_ms(150);
            // The channel is kept: another request was answered on it before.
            std::thread::spawn(move || {
                let Some(mut channel) = open(to, &id) else { return Answer::default() };
                send_on(&mut channel, "GET", "/puxa403/2f", &format!("{id}a"), 2000, "");
                send_on(&mut channel, "POST", "/lohu930/2f", &id, 39000, more)
            })
        })
        .collect();
    if !wait_for(10, || leaving.running() == STREAMS) {
        return Verdict::CannotRun("not all streams run".to_owned());
    }
    let other: Arc<Replica> = start("i-7f3a91c2");
    sleep_ms(2000);
    leaving.drain(Duration::from_secs(9));
    sleep_ms(9000);
    leaving.exit();
    store.remove("servers", &leaving.name);
    let answers: Vec<_> = requesters.into_iter().filter_map(|thread| thread.join().ok()).collect();
    machine.note_log(&["migration", "generation", "stream ended", "stream interrupted"]);
    let (mut whole, mut short, mut broken) = (0, 0, 0);
    for answer in &answers {
        let events = answer.events();
        let in_order = events.iter().enumerate().all(|(at, id)| *id == at as u64 + 1);
        let is_whole = answer.complete && events.len() as u64 == EVENTS && in_order;
        whole += usize::from(is_whole);
        short += usize::from(answer.complete && !is_whole);
        broken += usize::from(!answer.complete);
    }
    note(&format!(
        "{STREAMS} streams: {whole} whole, {short} ended as complete before their last event, {broken} broken off; \
         {} went on at {}",
        other.ran().len(),
        other.name
    ));
    note(&format!("{} ran {} requests", plain.name, plain.ran().len()));
    match (short, broken) {
        _ if !trouble && whole < STREAMS => {
            Verdict::CannotRun("not all streams were served".to_owned())
        }
        (0, 0..=3) => Verdict::Held,
        (0, broken) => Verdict::Broken(format!(
            "LOST: {broken} of {STREAMS} requests from kept channels, passed on to sound replicas, had their channel \
             closed without an answer; 3 are allowed"
        )),
        (short, _) => Verdict::Broken(format!(
            "ORDER: {short} of {STREAMS} streams ended as complete before their last event"
        )),
    }
}
