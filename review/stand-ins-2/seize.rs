//! VRRP: a router with a higher priority returns while the Active one has a query in flight.

use crate::harness::*;
use crate::Verdict;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;

/// Interval between advertisements (hundredths of a second), as in `deploy/operator.json`.
const INTERVAL_CS: u32 = 100;
/// Time that a leaf server takes (seconds).
const WORK_S: f64 = 0.7;
/// Time by which observations at different places may differ (seconds).
const SLACK_S: f64 = 0.05;

/// An advertisement that the observer has received.
#[derive(Clone, Copy, Debug)]
struct Heard {
    from: SocketAddr,
    priority: u8,
    at: f64,
}

/// A query that was in flight from `sent` to `answered`.
#[derive(Clone, Debug)]
struct Flight {
    id: String,
    sent: f64,
    answered: f64,
    status: u16,
}

struct Router {
    client: SocketAddr,
    vrrp: SocketAddr,
    priority: u8,
}

impl Router {
    fn new(ip: &str, priority: u8) -> Router {
        Router {
            client: free_address(ip),
            vrrp: free_udp_address(ip),
            priority,
        }
    }

    fn start(
        &self,
        label: &str,
        peers: [SocketAddr; 2],
        members: &[String],
        folder: &Folder,
        record: &Record,
    ) -> Mixer {
        let extra = format!(
            "\"vrrp\":{{\"router\":7,\"priority\":{},\"interval_cs\":{INTERVAL_CS},\"preempt\":true,\
             \"addresses\":[\"127.0.9.9\"],\"listen\":\"{}\",\"peers\":[\"{}\",\"{}\"]}},",
            self.priority, self.vrrp, peers[0], peers[1]
        );
        let values = Settings {
            hold_effect: "dedup",
            most_held: 214,
            mixers: 2,
        };
        let config = config(label, self.client, members, &settings(&values), &extra);
        let start = Start {
            label,
            config: &config,
            folder: &folder.0,
            listener: None,
            variables: vec![],
        };
        Mixer::start(record, start)
    }
}

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let attempts = Attempts::default();
    let answer = |attempt: &Attempt| Reply {
        after_s: WORK_S,
        end: "served",
        value: attempt.text.clone(),
    };
    let box_a = start_leaf("box-a", &attempts, record, answer);
    let box_b = start_leaf("box-b", &attempts, record, answer);
    let members = [
        member("box-a", box_a, 0, "cardiff-bay"),
        member("box-b", box_b, 1, "newport-east"),
    ];
    // The observer is a third peer that advertises nothing: it hears what routers on the network hear.
    let observer = UdpSocket::bind("127.0.3.9:0").expect("a port");
    let observer_address = observer.local_addr().expect("an address");
    let heard: Arc<Mutex<Vec<Heard>>> = Arc::default();
    {
        let (heard, record) = (heard.clone(), record.clone());
        thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((count, from)) = observer.recv_from(&mut buffer) {
                if count >= 8 {
                    let priority = buffer[2];
                    record.add(format!("observer: {from} advertises priority {priority}"));
                    heard.lock().expect("heard").push(Heard {
                        from,
                        priority,
                        at: now(),
                    });
                }
            }
        });
    }
    let low = Router::new("127.0.3.1", 100);
    let high = Router::new("127.0.3.2", 254);
    let first = low.start(
        "low",
        [high.vrrp, observer_address],
        &members,
        &folder,
        record,
    );
    if !first.await_log("vrrp: Active", 10.0) || !await_that(5.0, || is_ready(low.client)) {
        return Verdict::NotRun("the first router is not Active".into());
    }
    sleep(1.5);
    // A query a second, each 0.2 s after an advertisement, and in flight for 0.7 s.
    let last_advertisement = |from: SocketAddr| {
        let all = heard.lock().expect("heard");
        all.iter()
            .filter(|it| it.from == from)
            .map(|it| it.at)
            .fold(0.0, f64::max)
    };
    let flights: Arc<Mutex<Vec<Flight>>> = Arc::default();
    let begin = last_advertisement(low.vrrp) + 0.2;
    let clients: Vec<_> = (1..10)
        .map(|number| {
            let (flights, record, to) = (flights.clone(), record.clone(), low.client);
            thread::spawn(move || {
                sleep_until(begin + f64::from(number));
                let id = format!("q{number}");
                record.add(format!("client: sends {id} to the first router"));
                let sent = now();
                let answer = call(to, &query("area-search", &id, 0, 3000), 3.0);
                record.add(format!("client: {id} is answered {}", answer.status));
                flights.lock().expect("flights").push(Flight {
                    id,
                    sent,
                    answered: now(),
                    status: answer.status,
                });
            })
        })
        .collect();
    let mut returning = None;
    if has_trouble() {
        // The returning router is started in the middle of a query, so that it is one interval later in the middle of another.
        sleep_until(begin + 2.0 + 0.3);
        let peers = [low.vrrp, observer_address];
        returning = Some(high.start("high", peers, &members, &folder, record));
    }
    for client in clients {
        let _ = client.join();
    }
    first.record_log();
    returning.iter().for_each(Mixer::record_log);
    let flights = flights.lock().expect("flights").clone();
    let heard = heard.lock().expect("heard").clone();
    let served = |flight: &&Flight| flight.status == 200;
    if flights.iter().filter(served).count() < 4 {
        return Verdict::NotRun("the first router answered too few queries".into());
    }
    if returning.is_some_and(|mixer| !mixer.log().contains("vrrp: router")) {
        return Verdict::NotRun("the returning router did not start".into());
    }
    for flight in flights.iter().filter(served) {
        let seized = heard.iter().find(|it| {
            it.from == high.vrrp
                && it.priority > 0
                && flight.sent + SLACK_S < it.at
                && it.at < flight.answered - SLACK_S
        });
        if let Some(seized) = seized {
            return Verdict::Broken(format!(
                "the returning router was Active at {:.3} (priority {}) while {} was in flight from {:.3} to {:.3}",
                seized.at, seized.priority, flight.id, flight.sent, flight.answered
            ));
        }
        if flight.answered > seized_at(&heard, high.vrrp) {
            break;
        }
    }
    Verdict::Held
}

/// Returns the time of the first advertisement of a router; infinite if there is none.
fn seized_at(heard: &[Heard], from: SocketAddr) -> f64 {
    let all = heard.iter().filter(|it| it.from == from);
    all.map(|it| it.at).fold(f64::INFINITY, f64::min)
}
