//! Replicas fail streams and stop in the middle of the failure response. The requests must be answered at the
//! timeout of their route.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Asked, Seen, ask};
use crate::engine::{Answers, Engine, Fleet};
use crate::host::Host;
use crate::record::Record;
use crate::store::Store;
use crate::{Outcome, config, list};

const REQUESTS: usize = 12;
const TIMEOUT: Duration = Duration::from_millis(3_000);

pub fn run(folder: &Path, trouble: bool) -> std::io::Result<Outcome> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let (store, fleet) = (Store::start(), Arc::new(Fleet::default()));
    store.put("op", "config", Some(&config(TIMEOUT.as_millis() as u64)));
    let engines: Vec<_> = ["i-1", "i-2"]
        .into_iter()
        .map(|id| {
            let engine = Engine::start(id, "khomas-a", &fleet, &record);
            list(&store, &engine);
            engine
        })
        .collect();
    let host = Host::start(store.addr, Path::new("target/review-2/half-failure.log"))?;
    if !host.wait_until_ready(Duration::from_secs(15)) {
        return Ok(Outcome::CouldNotRun("the host is not ready".to_owned()));
    }
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        engines.iter().for_each(|engine| engine.set_answers(Answers::HalfFailure));
        record.line("the replicas fail");
    }
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let id = format!("call-{number}");
            fleet.lengths.lock().expect("not poisoned").insert(id.clone(), 3);
            let (front, record) = (host.front, record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(200) * number as u32);
                let limit = Duration::from_secs(6);
                let asked = Asked {
                    id,
                    path: "/verdict/x",
                    tokens: "2200,80".to_owned(),
                    body: 2_600,
                    limit,
                    patience: limit,
                };
                record.line(&format!("{}: sent", asked.id));
                let seen = ask(front, &asked);
                let took = seen.ended_at - seen.sent_at;
                record.line(&format!(
                    "{}: status {:?}, {} events, {} after {} ms",
                    seen.id,
                    seen.status,
                    seen.events.len(),
                    seen.how,
                    took.as_millis()
                ));
                seen
            })
        })
        .collect();
    let seen: Vec<Seen> =
        requests.into_iter().map(|request| request.join().expect("no panic")).collect();
    let took = |seen: &&Seen| seen.ended_at - seen.sent_at;
    let longer = seen.iter().filter(|seen| took(seen) > TIMEOUT).count();
    let late = seen.iter().filter(|seen| took(seen) > TIMEOUT + Duration::from_millis(500)).count();
    record.line(&format!("{longer} requests last longer than the timeout of their route, {late} of them have no answer 0.5 s after it"));
    Ok(if late >= 8 && 4 * late > longer { Outcome::Broken } else { Outcome::Held })
}
