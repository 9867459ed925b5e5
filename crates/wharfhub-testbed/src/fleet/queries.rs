//! Real daemons with queries and leaf servers beside a fleet of hollow mixers.
//!
//! This file joins what the testbed has: the stand-ins for leaf servers with their one model, the daemon's
//! processes, and the load. It must never decide what any of them does.

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

/// From the opening of the leaf servers until the first query (seconds).
const UNTIL_FIRST_QUERY_S: f64 = 2.0;
/// Time limits are so much longer on sockets (seconds).
const SLACK_S: f64 = 0.05;

/// What became of the queries.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryOutcome {
    /// Tries that clients made.
    pub asked: u64,
    /// Tries that were answered.
    pub answered: u64,
    /// Rules that were broken.
    pub broken: Vec<String>,
}

/// Daemons with queries, and their leaf servers.
pub struct QueryPath {
    shared: Arc<Shared>,
    daemons: Vec<Daemon>,
}

impl QueryPath {
    /// Opens the leaf servers of a scenario and starts its mixers, which ask that discovery; gives the leaf servers as they are to
    /// be listed there.
    pub fn start(
        scenario: Scenario,
        discovery: SocketAddr,
    ) -> io::Result<(QueryPath, Vec<ListedServer>)> {
        let shared = Arc::new(Shared {
            queries: scenario.queries(),
            start: Instant::now() + Duration::from_secs_f64(UNTIL_FIRST_QUERY_S),
            rules: Mutex::new(RuleChecker::new(&scenario, SLACK_S)),
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

    /// Sends the scenario's queries and waits for the last answer.
    pub fn play(&self) -> QueryOutcome {
        let addresses = self.daemons.iter().map(|daemon| daemon.address).collect();
        let load = load::run_open_loop(&self.shared, addresses);
        let tries = lock(&load.tally).requests;
        let mut rules = lock(&self.shared.rules);
        rules.finish();
        let (asked, answered) = (tries[tally::TOTAL], tries[tally::ANSWERED]);
        QueryOutcome {
            asked,
            answered,
            broken: rules.violations.clone(),
        }
    }
}
