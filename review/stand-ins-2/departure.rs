//! Two replicas leave at the same time and tell one control instance, which loses its disk right
//! after it has acknowledged both.

#[path = "common.rs"]
mod common;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const RESTART_AFTER: Duration = Duration::from_millis(500);
const OBSERVED: Duration = Duration::from_secs(9);

fn main() {
    let mut args = std::env::args().skip(1);
    let root = PathBuf::from(args.next().unwrap_or_else(|| ".".to_owned()));
    let case = PathBuf::from(args.next().unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&case);
    let mut deployment = Deployment::new(&root, "departure", 3, Arc::clone(&record));
    for index in 1..=3 {
        deployment.start_control(index, true);
    }
    deployment.start_router(9, true);
    deployment.configure(&config(1, "k1", ""));
    let names = ["i-1", "i-2", "i-3", "i-4"];
    let replicas: Vec<Replica> = (0u8..4)
        .map(|i| {
            Replica::start(
                names[usize::from(i)],
                "desk",
                deployment.host(20 + i),
                Arc::clone(&record),
            )
        })
        .collect();
    let controls: Vec<_> = (1..=3).map(|i| deployment.control_address(i)).collect();
    for (index, replica) in replicas.iter().enumerate() {
        replica.spawn_reporter(controls.clone(), Duration::from_millis(300 * index as u64));
    }
    deployment.wait_ready(9);

    // Consumers: 8 of them, each with a request every 100 ms.
    let done = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let consumers: Vec<_> = (0..8)
        .map(|_| {
            let (done, sent, count, record) = (
                Arc::clone(&done),
                Arc::clone(&sent),
                Arc::clone(&count),
                Arc::clone(&record),
            );
            let frontend = deployment.frontend(9);
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let id = format!("c{:06x}", count.fetch_add(1, Ordering::SeqCst));
                    sent.lock().unwrap().push((id.clone(), Instant::now()));
                    record.line(&format!("sent {id}"));
                    let text = request_text("GET", "/read/1", &id, "k1", 1_000, true, "");
                    let reply = call(frontend, text.as_bytes(), Duration::from_secs(2));
                    record.line(&format!("answer {id} {:?}", reply.map(|r| r.status)));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();

    // All machines are in touch after `contactMs` of calm.
    thread::sleep(CONTACT + Duration::from_secs(2));
    let used = |replica: &Replica| replica.arrivals.lock().unwrap().len();
    if replicas.iter().any(|r| used(r) == 0) {
        cannot_run("a replica got no requests in calm");
    }
    let leader = deployment.leader();
    let told = (1..=3).find(|&i| Some(i) != leader).unwrap_or(1);
    record.show(&format!(
        "leader: {leader:?}; the replicas i-1 and i-2 leave and tell control-{told}"
    ));

    // Both leave: each sends DELETE first and goes on serving for longer than `drainMs`.
    let leaving = [&replicas[0], &replicas[1]];
    for replica in leaving {
        replica.reports.store(false, Ordering::SeqCst);
    }
    let address = deployment.control_address(told);
    let mut acks = Vec::new();
    for replica in leaving {
        let path = format!("/replicas/{}", replica.name);
        let reply = json_call(
            address,
            "DELETE",
            &path,
            &format!("{{\"born\":{}}}", replica.born),
        );
        let at = Instant::now();
        let status = reply.map(|r| r.status);
        acks.push((replica.name.clone(), at, status));
    }
    let trouble = has_trouble();
    if trouble {
        deployment.kill(&format!("control-{told}"));
        deployment.remove_data(told);
    }
    for (name, _, status) in &acks {
        record.show(&format!("DELETE of {name} answered {status:?}"));
        if *status != Some(200) {
            cannot_run("a departure was not acknowledged");
        }
    }
    let last_event = if trouble {
        thread::sleep(RESTART_AFTER);
        deployment.start_control(told, false);
        Instant::now()
    } else {
        acks[1].1
    };
    thread::sleep(OBSERVED);
    done.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    if let Some(name) = deployment.ended() {
        cannot_run(&format!("{name} ended by itself"));
    }

    // A request counts if it was sent when the machines were in touch again, and reached the
    // replica later than `drainMs` after the acknowledgement.
    let in_touch_from = last_event + CONTACT + Duration::from_millis(100);
    let sent = sent.lock().unwrap().clone();
    let mut broken = 0;
    for (replica, (name, acked, _)) in leaving.iter().zip(&acks) {
        let arrivals = replica.arrivals.lock().unwrap().clone();
        let late: Vec<_> = arrivals
            .iter()
            .filter(|a| a.ran && a.at > *acked + DRAIN)
            .collect();
        let counted = late.iter().filter(|a| {
            sent.iter()
                .any(|(id, at)| *id == a.id && *at > in_touch_from && *at > *acked + DRAIN)
        });
        let counted: Vec<_> = counted.collect();
        let last = late.last().map(|a| (a.at - *acked).as_secs_f64());
        record.show(&format!(
            "{name}: {} requests reached it later than drainMs after the ack, {} of them with all machines in touch; the last one after {last:?} s",
            late.len(),
            counted.len()
        ));
        broken += counted.len();
    }
    drop(deployment);
    if broken > 0 {
        record.show("DRAIN is broken");
        std::process::exit(1);
    }
    record.show("DRAIN held");
}
