//! Load generator on sockets: sends the queries of a scenario to real mixers.
//!
//! The open loop sends each query at its scheduled time, independently of earlier answers, and measures latency from the scheduled
//! time; otherwise slow answers would hide the queueing that they cause (coordinated omission). Retries and timeouts follow the
//! same rules as in the emulator, but with the mean backoff instead of a random one. A closed loop with a single client is
//! available for measurements of the cost of one query.

use crate::rules::{self, AnswerPart, RequestOutcome};
use crate::site::{Query, Scenario};
use crate::standin::{lock, Shared};
use crate::tally::{self, Tally};
use hdrhistogram::Histogram;
use miniserde::{json, Deserialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Remaining time below which clients don't retry (seconds), as in the emulator.
const MIN_RETRY_TIME_S: f64 = 0.15;
/// Time for which a client reads beyond its timeout, so that late answers are noticed (seconds).
const EXTRA_READ_S: f64 = 0.1;

#[derive(Deserialize)]
struct AnswerJson {
    full: bool,
    pieces: Vec<PieceJson>,
}

#[derive(Deserialize)]
struct PieceJson {
    tablet: u32,
    cell: String,
}

struct Answer {
    status: u16,
    retry_after_s: f64,
    body: String,
}

type Pool = Mutex<Vec<BufReader<TcpStream>>>;

/// Clients of a scenario, with their measurements.
pub struct Load {
    shared: Arc<Shared>,
    mixers: Vec<SocketAddr>,
    pools: Vec<Pool>,
    /// Totals over all queries.
    pub tally: Mutex<Tally>,
    /// Latency of answered queries by class, from the scheduled send time (microseconds).
    pub latency: Mutex<Vec<Histogram<u64>>>,
    /// Delay of the generator itself behind the schedule (microseconds).
    pub lateness: Mutex<Histogram<u64>>,
}

fn histogram() -> Histogram<u64> {
    // Up to one minute in microseconds, with three significant digits.
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds should be valid")
}

/// Sends all queries of the scenario to the mixers, each at its scheduled time, and waits for the last answer.
pub fn run_open_loop(shared: &Arc<Shared>, mixers: Vec<SocketAddr>) -> Load {
    let load = Load::new(shared, mixers);
    std::thread::scope(|scope| {
        for (number, query) in shared.queries.iter().enumerate() {
            let before = query.at - shared.now();
            if before > 0.0 {
                std::thread::sleep(Duration::from_secs_f64(before));
            }
            let late = ((shared.now() - query.at).max(0.0) * 1e6) as u64;
            let _ = lock(&load.lateness).record(late.max(1));
            let load = &load;
            scope.spawn(move || load.run_query(number, query));
        }
    });
    load
}

impl Load {
    /// Creates clients of these mixers, without sending anything.
    pub fn new(shared: &Arc<Shared>, mixers: Vec<SocketAddr>) -> Load {
        Load {
            shared: shared.clone(),
            pools: mixers.iter().map(|_| Pool::default()).collect(),
            mixers,
            tally: Mutex::new(Tally::new(&shared.scenario)),
            latency: Mutex::new(
                shared
                    .scenario
                    .site
                    .classes
                    .iter()
                    .map(|_| histogram())
                    .collect(),
            ),
            lateness: Mutex::new(histogram()),
        }
    }

    /// Sends these queries of the scenario one after the other, each as soon as the previous one has ended.
    pub fn run_closed_loop(&self, numbers: Range<usize>) {
        for number in numbers {
            let query = Query {
                at: self.shared.now(),
                ..self.shared.queries[number].clone()
            };
            self.run_query(number, &query);
        }
    }

    /// Sends a query and its retries.
    fn run_query(&self, number: usize, query: &Query) {
        let (shared, scenario) = (&self.shared, &self.shared.scenario);
        let class = &scenario.site.classes[query.class];
        for retry in 0.. {
            let id = format!("q{number}-{retry}");
            let sent_at = if retry == 0 { query.at } else { shared.now() };
            let timeout_s = query.at + query.timeout_s - sent_at;
            let mixer = (query.mixer + retry as usize) % self.mixers.len();
            lock(&shared.rules).request_started(&id);
            lock(&self.tally).requests[tally::TOTAL] += 1;
            let answer = self.send_request(mixer, &id, number, query, timeout_s);
            let (took_s, since_s) = (shared.now() - sent_at, shared.now() - query.at);
            let mut retry_after_s = None;
            let outcome = match &answer {
                Ok(answer) if answer.status == 200 => {
                    match json::from_str::<AnswerJson>(&answer.body) {
                        Ok(body) => {
                            return self.record_answer(
                                &id,
                                query,
                                &body,
                                (took_s, since_s, timeout_s),
                            )
                        }
                        Err(_) => RequestOutcome::Failed,
                    }
                }
                Ok(answer) if [429, 503].contains(&answer.status) => {
                    retry_after_s = Some(answer.retry_after_s);
                    RequestOutcome::Rejected(answer.retry_after_s)
                }
                Ok(_) => RequestOutcome::Failed,
                Err(_) => {
                    lock(&shared.rules).record_violation(format!(
                        "lost: {id} had no final answer at the client's timeout"
                    ));
                    RequestOutcome::Abandoned
                }
            };
            lock(&shared.rules).request_ended(&id, query, &outcome, took_s, timeout_s);
            let kind = match outcome {
                RequestOutcome::Rejected(_) => tally::REFUSED,
                RequestOutcome::Abandoned => tally::CLIENT_LEFT,
                _ => tally::FAILED,
            };
            lock(&self.tally).requests[kind] += 1;
            let (max, backoff_s, _) = scenario.site.retries;
            let backoff_s = (backoff_s.0 + backoff_s.1) / 2.0;
            let retry_delay_s = retry_after_s
                .filter(|delay_s| *delay_s > 0.0)
                .unwrap_or(backoff_s);
            let may_retry = retry_after_s.is_some() || class.is_retryable();
            if retry >= max
                || query.timeout_s - since_s - retry_delay_s <= MIN_RETRY_TIME_S
                || !may_retry
            {
                return lock(&self.tally).record_query(scenario, query, None, since_s);
            }
            std::thread::sleep(Duration::from_secs_f64(retry_delay_s));
        }
    }

    /// Passes an answer to the rule checker and adds it to the totals.
    fn record_answer(
        &self,
        id: &str,
        query: &Query,
        body: &AnswerJson,
        (took_s, since_s, timeout_s): (f64, f64, f64),
    ) {
        let scenario = &self.shared.scenario;
        let index = |piece: &PieceJson| {
            query
                .parts
                .iter()
                .position(|part| part.shard == piece.tablet)
        };
        let value = |piece: &PieceJson| normalized_value(scenario, id, piece.tablet, &piece.cell);
        let parts: Vec<(usize, String)> = body
            .pieces
            .iter()
            .filter_map(|piece| Some((index(piece)?, value(piece))))
            .collect();
        let pieces = parts
            .iter()
            .map(|(index, value)| AnswerPart {
                index: *index,
                value,
            })
            .collect();
        lock(&self.shared.rules).request_ended(
            id,
            query,
            &RequestOutcome::Answered(body.full, pieces),
            took_s,
            timeout_s,
        );
        let mut tally = lock(&self.tally);
        tally.requests[tally::ANSWERED] += 1;
        tally.requests[tally::PARTIAL] += u64::from(!body.full);
        let mut share = 0.0;
        for (index, value) in &parts {
            let (part, pruned) = (query.parts[*index], value.ends_with(" none"));
            share += part.weight;
            tally.useful_work_s += part.work_s * if pruned { scenario.pre_check_work } else { 1.0 };
            tally.pruned += u64::from(pruned);
        }
        tally.record_query(
            scenario,
            query,
            Some((since_s, if body.full { 1.0 } else { share })),
            since_s,
        );
        let _ = lock(&self.latency)[query.class].record((since_s * 1e6) as u64);
    }

    /// Sends one request. Returns an error if no final answer arrived before the client's timeout.
    fn send_request(
        &self,
        mixer: usize,
        id: &str,
        number: usize,
        query: &Query,
        timeout_s: f64,
    ) -> io::Result<Answer> {
        let class = &self.shared.scenario.site.classes[query.class];
        let part = |part: &crate::site::Part| {
            let (shard, weight, guess) = (part.shard, part.weight, part.work_s * 1e6);
            format!("{{\"tablet\":{shard},\"fraction\":{weight},\"guess\":{guess:.0}}}")
        };
        let parts = query.parts.iter().map(part).collect::<Vec<_>>().join(",");
        let body = format!("{{\"tablets\":[{parts}],\"statement\":\"{number}\"}}");
        let key = if class.is_retryable() {
            String::new()
        } else {
            format!("Idempotency-Key: k{number}\r\n")
        };
        let request = format!(
            "POST /{} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\nX-Tenant-Id: {}\r\n\
             X-Route-Key: {:016x}\r\nX-Timeout-Ms: {:.0}\r\n{key}Content-Length: {}\r\n\r\n{body}",
            class.name,
            class.name,
            self.shared.scenario.site.tenants[query.tenant].0,
            query.key,
            (timeout_s * 1000.0).max(1.0),
            body.len()
        );
        // The mixer may have closed an idle connection in the meantime; in that case the request is sent again on a new one.
        let idle_stream = lock(&self.pools[mixer]).pop();
        if let Some(idle_stream) = idle_stream {
            match self.exchange(idle_stream, mixer, &request, timeout_s) {
                Err(error) if !is_timeout(&error) => {}
                result => return result,
            }
        }
        let stream = TcpStream::connect(self.mixers[mixer])?;
        stream.set_nodelay(true)?;
        self.exchange(BufReader::new(stream), mixer, &request, timeout_s)
    }

    fn exchange(
        &self,
        mut stream: BufReader<TcpStream>,
        mixer: usize,
        request: &str,
        timeout_s: f64,
    ) -> io::Result<Answer> {
        stream
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs_f64(
                timeout_s.max(0.001) + EXTRA_READ_S,
            )))?;
        stream.get_mut().write_all(request.as_bytes())?;
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let status = line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .ok_or_else(invalid)?;
        let (mut length, mut keep, mut retry_after_s) = (0usize, true, 0.0);
        loop {
            line.clear();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.trim().parse().map_err(|_| invalid())?,
                "connection" => keep = value.trim() != "close",
                "retry-after" => retry_after_s = value.trim().parse().map_err(|_| invalid())?,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        if keep {
            lock(&self.pools[mixer]).push(stream);
        }
        Ok(Answer {
            status,
            retry_after_s,
            body: String::from_utf8(body).map_err(|_| invalid())?,
        })
    }
}

/// Returns whether the error is the client's timeout, after which the request must not be sent again.
fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Converts a part's value to the form of [`rules::part_value`]. A leaf server with the search API returns a list of hits, in which
/// the id of the only hit is the value. An empty list is the answer to a pre-check; the list doesn't identify the leaf server, so
/// any holder is assumed and only the correctness of the answer is checked.
fn normalized_value(scenario: &Scenario, id: &str, shard: u32, cell: &str) -> String {
    if cell.starts_with("{\"hits\":[],") {
        return rules::part_value(id, shard, scenario.holder(shard), true);
    }
    match cell
        .split("\"_id\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
    {
        Some(id) => id.to_string(),
        None => cell.to_string(),
    }
}
