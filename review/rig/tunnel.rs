//! Two of ten replicas lose the path to one of four machines, which reaches them through another one. That one is
//! then stopped as planned. The answers have no length and end with their channel.

use std::sync::Arc;

use crate::base::{SIGKILL, SIGTERM, Verdict, address, note, sleep_ms, wait_for};
use crate::client::send;
use crate::hosts::Machine;
use crate::replica::{Behaviour, Link, Replica, config};
use crate::store::Store;

const REPLICAS: usize = 10;
/// Replicas that lose the path to a machine: a share of 0.2.
const CUT: usize = 2;
const STREAMS: usize = 6;
const EVENTS: u64 = 200;

pub fn run(trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &config(7, "huvo11a", "wuno96b"));
    let behaviour = Behaviour { events: EVENTS, unframed: true, ..Behaviour::default() };
    let zones = ["khomas-a", "erongo-a", "oshana-a"];
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            // Two replicas are in the zone of the first machine.
            let zone = if number < CUT { zones[0] } else { zones[1 + number % 2] };
            let name = format!("i-7f3a91{number:02}");
            Replica::start(&store, &name, "huvo11a", zone, true, behaviour.clone())
        })
        .collect();
    let gateway = address(101);
    let links: Vec<Arc<Link>> =
        replicas.iter().map(|replica| Link::start(gateway, replica.addr)).collect();
    let first = Machine::new("edge-khomas-a-1", 1, "khomas-a", store.addr, Some(gateway));
    let second = Machine::new("edge-khomas-a-2", 2, "khomas-a", store.addr, None);
    let others = [
        Machine::new("edge-erongo-a-1", 3, "erongo-a", store.addr, None),
        Machine::new("edge-oshana-a-1", 4, "oshana-a", store.addr, None),
    ];
    let machines = [&first, &second, &others[0], &others[1]];
    machines.iter().for_each(|machine| machine.start());
    if !machines.iter().all(|machine| machine.wait_until_ready()) {
        return Verdict::CannotRun("a machine is not ready".to_owned());
    }
    sleep_ms(5000);
    if trouble {
        links[..CUT].iter().for_each(|link| link.cut());
        note("two of ten replicas lose the path to edge-khomas-a-1, one of four machines");
        sleep_ms(500);
    }
    let requesters: Vec<_> = (0..STREAMS)
        .map(|number| {
            let to = first.front();
            let id = format!("9c41d07be2a35f{number:02}");
            let more =
                "Model: m\r\nToken-Usage: 1460,600\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n";
            sleep_ms(100);
            std::thread::spawn(move || send(to, "POST", "/lohu930/2f", &id, 39000, more))
        })
        .collect();
    let started =
        wait_for(5, || replicas.iter().map(|replica| replica.running()).sum::<usize>() == STREAMS);
    if !started {
        note("not all streams run");
    }
    sleep_ms(1000);
    if trouble {
        let kill = std::env::var("KILL").is_ok_and(|value| value == "1");
        second.signal(if kill { SIGKILL } else { SIGTERM });
        if !wait_for(10, || second.has_ended()) {
            return Verdict::CannotRun("the machine did not end".to_owned());
        }
        second.start();
    }
    let answers: Vec<_> = requesters.into_iter().filter_map(|thread| thread.join().ok()).collect();
    first.note_log(&["through host", "stream ended", "stream interrupted"]);
    let through = first.log_count("request sent through host");
    if trouble && through == 0 {
        return Verdict::CannotRun("no request went through the other machine".to_owned());
    }
    let mut short = 0;
    let mut served = 0;
    for answer in &answers {
        let events = answer.events();
        let in_order = events.iter().enumerate().all(|(at, id)| *id == at as u64 + 1);
        served += usize::from(answer.complete && events.len() as u64 == EVENTS && in_order);
        short +=
            usize::from(answer.status == 200 && answer.complete && (events.len() as u64) < EVENTS);
    }
    note(&format!(
        "{STREAMS} streams: {served} whole, {short} ended as complete before their last event"
    ));
    match short {
        0 if !trouble && served < STREAMS => {
            Verdict::CannotRun("not all streams were served".to_owned())
        }
        0 => Verdict::Held,
        short => Verdict::Broken(format!(
            "{short} of {STREAMS} streams ended as complete before their last event"
        )),
    }
}
