//! Real daemons that serve queries with stand-in leaf servers, in parallel with a fleet of hollow mixers.

use super::catalog::{ListedServer, Phase};
use crate::daemon::{self, Daemon};
use crate::rules::RuleChecker;
use crate::site::Scenario;
use crate::standin::{self, lock, Shared};
use crate::{load, tally};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time from the start of the leaf servers to the start of the load (seconds).
const START_DELAY_S: f64 = 2.0;
/// Tolerance added to the time limits of the rules on sockets (seconds).
const TIME_TOLERANCE_S: f64 = 0.05;

/// Result of the queries.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOutcome {
    /// Number of requests that clients sent.
    pub sent: u64,
    /// Number of requests that were answered.
    pub answered: u64,
    /// Violations of rules, as text.
    pub violations: Vec<String>,
}

/// Daemons that serve queries, and the state shared with their leaf servers and clients.
pub struct QueryPath {
    shared: Arc<Shared>,
    daemons: Vec<Daemon>,
}

impl QueryPath {
    /// Starts the leaf servers of a scenario and its mixers, which watch the given discovery. Returns the entries of the leaf
    /// servers, which the caller has to publish there.
    pub fn start(
        scenario: Scenario,
        discovery: SocketAddr,
    ) -> io::Result<(QueryPath, Vec<ListedServer>)> {
        let shared = Arc::new(Shared {
            queries: scenario.queries(),
            start: Instant::now() + Duration::from_secs_f64(START_DELAY_S),
            rules: Mutex::new(RuleChecker::new(&scenario, TIME_TOLERANCE_S)),
            work: Mutex::new((vec![0.0; scenario.site.classes.len()], 0, 0)),
            scenario,
        });
        let scenario = &shared.scenario;
        let open = |number| standin::open(&shared, number, false);
        let leaves = (0..scenario.leaf_servers)
            .map(open)
            .collect::<io::Result<Vec<SocketAddr>>>()?;
        let program = daemon::program()?;
        let start = |number: u32| {
            let config = daemon::config(scenario, number, &leaves, &[]);
            let config = config.replacen('{', &format!("{{\"discovery\":\"{discovery}\","), 1);
            let config = config.replacen("\"roundS\"", "\"discovery\":\"subscribe\",\"roundS\"", 1);
            daemon::start(&program, &config, &format!("fleet-{number}"))
        };
        let daemons = (0..scenario.mixers).map(start).collect::<io::Result<_>>()?;
        let listed = |(number, address): (usize, &SocketAddr)| ListedServer {
            id: format!("box-{number}"),
            address: address.to_string(),
            zone: scenario.site.zones[usize::from(scenario.zone(number as u32))].into(),
            cell: scenario.cell(number as u32),
            phase: Phase::Ready,
            started_ms: 0,
        };
        let listed = leaves.iter().enumerate().map(listed).collect();
        Ok((QueryPath { shared, daemons }, listed))
    }

    /// Runs the scenario's load to its end and checks the rules.
    pub fn run(&self) -> QueryOutcome {
        let addresses = self.daemons.iter().map(|daemon| daemon.address).collect();
        let load = load::run_open_loop(&self.shared, addresses);
        let requests = lock(&load.tally).requests;
        let mut rules = lock(&self.shared.rules);
        rules.finish();
        let (sent, answered) = (requests[tally::TOTAL], requests[tally::ANSWERED]);
        QueryOutcome {
            sent,
            answered,
            violations: rules.violations.clone(),
        }
    }
}
