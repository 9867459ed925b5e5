//! Tests of the hollow fleet and its discovery stand-in, with difficult cases of lists and watches. Hollow mixers run the
//! daemon's own control code.
//!
//! Waits end as soon as their condition holds, or fail after a time that suffices even on a busy machine.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wharfhub_testbed::fleet::bench::{advance_phase, servers, Load};
use wharfhub_testbed::fleet::call_queue::{Answer, Call, CallQueue};
use wharfhub_testbed::fleet::fit::LineFit;
use wharfhub_testbed::fleet::host::{self, HostError};
use wharfhub_testbed::fleet::propagation::Propagation;
use wharfhub_testbed::fleet::regions::Regions;
use wharfhub_testbed::fleet::{
    AppliedRevision, Behavior, Catalog, Delivery, Discovery, Fleet, FleetError, FleetSetup,
    HollowMixer, Layout, ListedServer, MixerReport, MixerSettings, MixerSetup, Phase, Published,
};

/// Timeout of all waits; longer than any of them takes on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !is_met() {
        assert!(
            Instant::now() < until,
            "timed out waiting until {condition}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn settings(replicas: u32, cells: u32) -> MixerSettings {
    MixerSettings {
        replicas,
        cells,
        round_s: 0.01,
        poll_within_s: 0.2,
        target_factor: 1.0,
    }
}

fn mixer(number: u32, discovery: SocketAddr, cells: u32) -> HollowMixer {
    let settings = settings(2, cells).to_json();
    HollowMixer::start(&MixerSetup {
        number,
        discovery,
        settings,
        seed: 7,
    })
    .unwrap()
}

fn discovery(count: u32, behavior: Behavior) -> Discovery {
    Discovery::start(Catalog::new(1, servers(count)), 1, behavior).unwrap()
}

fn wait_for_revision(mixer: &mut HollowMixer, revision: u64) -> MixerReport {
    let mut last = mixer.report();
    wait_until(&format!("the mixer has revision {revision}"), || {
        last = mixer.report();
        assert_eq!(last.failure, None);
        last.revision >= revision
    });
    last
}

/// Asserts that each mixer received one complete list and one change through its watch. The change may be sent again only in the
/// answer to a heartbeat that crosses the answer to the watch.
fn assert_notified_once(discovery: &Discovery, mixers: u64) {
    let counters = discovery.counters();
    assert_eq!(counters.complete_lists, mixers);
    assert!(
        (mixers..=mixers + counters.heartbeats).contains(&counters.change_answers),
        "{counters:?}"
    );
}

/// A mixer applies the complete first list in each layout, and then a change of every entry in one answer.
#[rstest]
#[case::compact(1_000, Layout::Compact)]
#[case::indented(1_000, Layout::Indented)]
#[case::large(5_300, Layout::Compact)]
#[case::large_and_indented(5_300, Layout::Indented)]
#[case::larger(10_000, Layout::Compact)]
#[case::larger_and_indented(10_000, Layout::Indented)]
fn a_list_and_a_change_of_each_of_its_entries_are_applied(
    #[case] count: u32,
    #[case] layout: Layout,
) {
    let discovery = discovery(
        count,
        Behavior {
            layout,
            ..Behavior::default()
        },
    );
    let mut mixer = mixer(0, discovery.addresses[0], count);
    assert_eq!(wait_for_revision(&mut mixer, 1).servers, u64::from(count));
    let changed = discovery.publish(servers(count).iter().map(advance_phase).collect());
    assert_eq!(
        wait_for_revision(&mut mixer, changed.revision).servers,
        u64::from(count)
    );
    assert_notified_once(&discovery, 1);
}

#[test]
fn a_thousand_changes_are_sent_in_one_answer() {
    let discovery = discovery(1_500, Behavior::default());
    let mut mixer = mixer(0, discovery.addresses[0], 1_500);
    wait_for_revision(&mut mixer, 1);
    let removed = |server: &ListedServer| ListedServer {
        phase: Phase::Removed,
        ..server.clone()
    };
    let changed = discovery.publish(servers(1_000).iter().map(removed).collect());
    assert_eq!(wait_for_revision(&mut mixer, changed.revision).servers, 500);
    assert_notified_once(&discovery, 1);
}

#[test]
fn a_change_adds_an_unknown_server_and_a_removal_of_one_has_no_effect() {
    let discovery = discovery(10, Behavior::default());
    let mut mixer = mixer(0, discovery.addresses[0], 10);
    wait_for_revision(&mut mixer, 1);
    let unknown = ListedServer {
        id: "s-unknown".into(),
        ..servers(11)[10].clone()
    };
    let removed = ListedServer {
        id: "s-never-there".into(),
        phase: Phase::Removed,
        ..unknown.clone()
    };
    let changed = discovery.publish(vec![unknown, removed]);
    assert_eq!(wait_for_revision(&mut mixer, changed.revision).servers, 11);
}

/// Truncated lists are not applied, even if they are repeated; the first complete list is.
#[test]
fn truncated_lists_are_not_applied() {
    let truncated = Behavior {
        delivery: Delivery::TruncateAfter(5_000),
        ..Behavior::default()
    };
    let discovery = discovery(200, truncated);
    let mut mixer = mixer(0, discovery.addresses[0], 200);
    wait_until("three lists are truncated", || {
        discovery.counters().complete_lists >= 3
    });
    assert_eq!(mixer.report().applied, []);
    discovery.set_behavior(Behavior::default());
    assert_eq!(wait_for_revision(&mut mixer, 1).servers, 200);
}

#[test]
fn a_mixer_works_with_a_discovery_that_only_sends_complete_lists() {
    let discovery = discovery(
        50,
        Behavior {
            complete_lists_only: true,
            ..Behavior::default()
        },
    );
    let mut mixer = mixer(0, discovery.addresses[0], 50);
    wait_for_revision(&mut mixer, 1);
    let removed = ListedServer {
        phase: Phase::Removed,
        ..servers(1)[0].clone()
    };
    let changed = discovery.publish(vec![removed]);
    assert_eq!(wait_for_revision(&mut mixer, changed.revision).servers, 49);
    assert_eq!(discovery.counters().change_answers, 0);
}

/// After discovery was unresponsive, down or partitioned from the mixer's region, the mixer applies the change that it missed.
#[rstest]
#[case::unresponsive(Behavior { is_unresponsive: true, ..Behavior::default() }, false)]
#[case::down(Behavior { is_down: true, ..Behavior::default() }, false)]
#[case::partitioned(Behavior::default(), true)]
fn a_change_is_applied_after_a_fault_of_discovery(
    #[case] fault: Behavior,
    #[case] is_partitioned: bool,
) {
    let discovery = discovery(20, Behavior::default());
    let mut mixer = mixer(0, discovery.addresses[0], 20);
    wait_for_revision(&mut mixer, 1);
    wait_until("a watch is open", || discovery.counters().watches == 1);
    discovery.ignore_open_watches();
    discovery.set_behavior(fault);
    discovery.set_partitioned(0, is_partitioned);
    let changed = discovery.publish(vec![advance_phase(&servers(1)[0])]);
    let before = discovery.counters();
    if is_partitioned {
        // No data passes; the mixer opens another connection for its next call.
        wait_until("another connection is opened", || {
            discovery.counters().connections > before.connections
        });
        assert_eq!(discovery.counters().calls, before.calls);
    } else {
        let contacts =
            |counters: wharfhub_testbed::fleet::Counters| counters.calls + counters.connections;
        wait_until("another call is made", || {
            contacts(discovery.counters()) > contacts(before)
        });
    }
    assert_eq!(mixer.report().revision, 1);
    discovery.set_behavior(Behavior::default());
    discovery.set_partitioned(0, false);
    wait_for_revision(&mut mixer, changed.revision);
}

/// Partitioned regions count their versions separately. After the partition, each mixer gets all changes of both regions without a
/// complete list.
#[test]
fn partitioned_regions_exchange_their_changes_when_they_rejoin() {
    let all = servers(40);
    let mut regions = Regions::start(2, &all, Behavior::default()).unwrap();
    let mut mixers: Vec<HollowMixer> = regions
        .addresses()
        .iter()
        .map(|at| mixer(0, *at, 40))
        .collect();
    let first = regions.revisions();
    mixers
        .iter_mut()
        .zip(&first)
        .for_each(|(mixer, revision)| drop(wait_for_revision(mixer, *revision)));
    regions.partition();
    let removed = |index: usize| ListedServer {
        phase: Phase::Removed,
        ..all[index].clone()
    };
    for (region, indices) in [(0, vec![0, 1, 2]), (1, vec![3])] {
        let published = indices
            .into_iter()
            .map(|index| regions.publish(region, vec![removed(index)]));
        let last = published.last().unwrap();
        assert!(last[1 - region].is_none());
        wait_for_revision(&mut mixers[region], last[region].unwrap().revision);
    }
    assert_eq!(
        [37, 39],
        [0, 1].map(|region: usize| mixers[region].report().servers)
    );
    let joined = regions.heal();
    for (mixer, published) in mixers.iter_mut().zip(joined) {
        assert_eq!(
            wait_for_revision(mixer, published.unwrap().revision).servers,
            36
        );
    }
    assert_eq!(regions.counters().complete_lists, 2);
}

/// A mixer doesn't apply a delayed change before discovery sends it; propagation time is counted from when it may be sent.
#[test]
fn a_delayed_change_is_not_applied_before_it_is_sent() {
    let discovery = discovery(
        10,
        Behavior {
            publish_delay_s: 0.3,
            ..Behavior::default()
        },
    );
    let mut mixer = mixer(0, discovery.addresses[0], 10);
    wait_for_revision(&mut mixer, 1);
    let changed = discovery.publish(vec![advance_phase(&servers(1)[0])]);
    let report = wait_for_revision(&mut mixer, changed.revision);
    assert!(
        report
            .applied
            .iter()
            .all(|record| record.at_us >= changed.at_us),
        "{changed:?} {report:?}"
    );
    assert_eq!(Propagation::of(&[changed], &[&report]).missing, 0);
}

fn watch(address: SocketAddr, query: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    write!(
        stream,
        "GET /api/targets{query} HTTP/1.1\r\nHost: test\r\n\r\n"
    )
    .unwrap();
    stream
}

/// Discovery closes a connection that requests many lists and reads nothing; all other watchers receive the change.
#[test]
fn one_slow_watcher_among_860_is_disconnected_and_the_others_are_served() {
    let discovery = discovery(2_000, Behavior::default());
    let address = discovery.addresses[0];
    let mut slow = watch(address, "");
    let calls = "GET /api/targets HTTP/1.1\r\nHost: test\r\n\r\n".repeat(200);
    slow.write_all(calls.as_bytes()).unwrap();
    let mut watchers: Vec<TcpStream> = (0..859)
        .map(|_| watch(address, "?index=1&wait=60000"))
        .collect();
    wait_until("all watches are open", || {
        discovery.counters().watches == 859
    });
    wait_until("the slow connection is closed", || {
        discovery.counters().slow_closed == 1
    });
    discovery.publish(vec![advance_phase(&servers(1)[0])]);
    for watcher in &mut watchers {
        let mut head = [0; 15];
        watcher.read_exact(&mut head).unwrap();
        assert_eq!(&head, b"HTTP/1.1 200 OK");
    }
    assert_eq!(discovery.counters().change_answers, 859);
}

fn fleet(discovery: &Discovery, mixers: u32, processes: u32) -> FleetSetup {
    FleetSetup {
        mixers,
        processes,
        discovery: discovery.addresses.clone(),
        settings: settings(mixers, 300),
        max_memory_bytes: 1 << 30,
        seed: 3,
        program: env!("CARGO_BIN_EXE_wharfhub-testbed").into(),
    }
}

/// Mixers whose process is killed while their list is half sent get the complete list after a restart.
#[test]
fn mixers_killed_while_receiving_a_list_recover() {
    let stall = Behavior {
        delivery: Delivery::StallAfter(20_000),
        ..Behavior::default()
    };
    let discovery = discovery(300, stall);
    let mut fleet = Fleet::start(fleet(&discovery, 6, 2)).unwrap();
    wait_until("all mixers have half a list", || {
        discovery.counters().complete_lists >= 6
    });
    assert!(fleet
        .report()
        .unwrap()
        .mixers
        .iter()
        .all(|mixer| mixer.revision == 0));
    fleet.kill(|index| index == 0);
    assert_eq!(fleet.running(), 3);
    discovery.set_behavior(Behavior::default());
    fleet.start_missing(|_| true).unwrap();
    let report = fleet.await_revisions(&[1], MAX_WAIT.as_secs_f64()).unwrap();
    assert_eq!(
        report
            .mixers
            .iter()
            .map(|mixer| mixer.servers)
            .collect::<Vec<_>>(),
        [300; 6]
    );
    assert!(report.resident_bytes > 0 && report.cpu_s() > 0.0);
}

#[test]
fn a_fleet_that_uses_too_much_memory_fails() {
    let discovery = discovery(10, Behavior::default());
    let setup = FleetSetup {
        max_memory_bytes: 1_000_000,
        ..fleet(&discovery, 2, 1)
    };
    let error = Fleet::start(setup).unwrap().report().unwrap_err();
    assert!(
        matches!(error, FleetError::TooMuchMemory { max: 1_000_000, .. }),
        "{error}"
    );
}

#[test]
fn waiting_for_a_version_that_is_never_published_fails() {
    let discovery = discovery(10, Behavior::default());
    let mut fleet = Fleet::start(fleet(&discovery, 2, 1)).unwrap();
    fleet.await_revisions(&[1], MAX_WAIT.as_secs_f64()).unwrap();
    let error = fleet.await_revisions(&[99], 0.0).unwrap_err();
    assert!(
        matches!(error, FleetError::Timeout { missing: 2, .. }),
        "{error}"
    );
}

/// An invalid limit is rejected before any process starts, with an error that begins with its key.
#[rstest]
#[case::no_mixer("mixers", |setup: &mut FleetSetup| setup.mixers = 0)]
#[case::too_many_mixers("mixers", |setup: &mut FleetSetup| setup.mixers = 2_001)]
#[case::too_many_processes("processes", |setup: &mut FleetSetup| setup.processes = 201)]
#[case::more_processes_than_mixers("processes", |setup: &mut FleetSetup| setup.processes = 5)]
#[case::no_discovery("discovery", |setup: &mut FleetSetup| setup.discovery.clear())]
#[case::too_much_memory("max_memory_bytes", |setup: &mut FleetSetup| setup.max_memory_bytes = u64::MAX)]
#[case::no_round("settings.round_s", |setup: &mut FleetSetup| setup.settings.round_s = f64::NAN)]
#[case::no_time("settings.ask_within_s", |setup: &mut FleetSetup| setup.settings.poll_within_s = 0.0)]
#[case::no_targets("settings.target_factor", |setup: &mut FleetSetup| setup.settings.target_factor = -1.0)]
#[case::no_cell("settings.cells", |setup: &mut FleetSetup| setup.settings.cells = 0)]
fn an_invalid_limit_is_rejected_by_its_key(
    #[case] key: &str,
    #[case] break_limit: fn(&mut FleetSetup),
) {
    let discovery = discovery(1, Behavior::default());
    let mut setup = fleet(&discovery, 4, 2);
    setup.program = "/nowhere".into();
    break_limit(&mut setup);
    let error = Fleet::start(setup).err().unwrap();
    assert!(
        error.to_string().starts_with(&format!("{key}: ")),
        "{error}"
    );
}

#[test]
fn a_host_process_rejects_invalid_input() {
    let run = |input: &str| host::run(input.as_bytes(), Vec::new());
    assert!(matches!(run(""), Err(HostError::Setup)));
    assert!(matches!(run("{}\n"), Err(HostError::Setup)));
    let setup = "{\"numbers\":[],\"discovery\":\"127.0.0.1:9\",\"settings\":\"{}\",\"seed\":1}\n";
    assert!(run(setup).is_ok());
    assert!(matches!(
        run(&format!("{setup}dance\n")),
        Err(HostError::UnknownCall(_))
    ));
    let setup = setup.replace("[]", "[4]");
    assert!(matches!(
        run(&setup),
        Err(HostError::Mixer { number: 4, .. })
    ));
}

#[test]
fn a_host_process_exits_at_the_end_of_its_input() {
    let discovery = discovery(5, Behavior::default());
    let mut command = Command::new(env!("CARGO_BIN_EXE_wharfhub-testbed"));
    command
        .arg("host")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null());
    let mut child = command.spawn().unwrap();
    let mut input = child.stdin.take().unwrap();
    let settings = miniserde::json::to_string(&settings(1, 5).to_json());
    let address = discovery.addresses[0];
    writeln!(
        input,
        "{{\"numbers\":[0],\"discovery\":\"{address}\",\"settings\":{settings},\"seed\":1}}"
    )
    .unwrap();
    wait_until("the mixer calls discovery", || {
        discovery.counters().calls > 0
    });
    drop(input);
    assert!(child.wait().unwrap().success());
}

const WATCH: Call = Call::Watch {
    since: 5,
    wait_s: 3.0,
};
const HEARTBEAT: Call = Call::Watch {
    since: 5,
    wait_s: 0.0,
};
const NO_CHANGES: Answer = Answer::Changes { since: 5 };

/// Answers at 10 s to a call that arrived at 9 s, while version 5 is current and the changes since version 3 are kept.
#[rstest]
#[case::complete_list(Call::CompleteList, 5, Some(Answer::CompleteList))]
#[case::heartbeat(HEARTBEAT, 5, Some(NO_CHANGES))]
#[case::watch_without_changes(WATCH, 5, None)]
#[case::watch_with_changes(WATCH, 6, Some(NO_CHANGES))]
#[case::from_a_discarded_version(Call::Watch { since: 2, wait_s: 3.0 }, 5, Some(Answer::CompleteList))]
#[case::of_another_discovery(Call::Watch { since: 9, wait_s: 3.0 }, 5, Some(Answer::CompleteList))]
fn the_answer_to_a_call_depends_on_the_version_that_the_caller_has(
    #[case] call: Call,
    #[case] revision: u64,
    #[case] expected: Option<Answer>,
) {
    let mut queue = CallQueue::new(0.0);
    queue.push(9.0, 1, call);
    let answers = queue.poll(10.0, revision, |since| (3..=revision).contains(&since));
    assert_eq!(
        answers,
        expected
            .map(|answer| (1, answer))
            .into_iter()
            .collect::<Vec<_>>()
    );
    assert_eq!(queue.watches(), usize::from(expected.is_none()));
    // A watch without changes is answered at its timeout.
    let at_timeout = queue.poll(13.0, revision, |_| true);
    assert_eq!(
        at_timeout,
        if expected.is_none() {
            vec![(1, NO_CHANGES)]
        } else {
            vec![]
        }
    );
}

#[test]
fn calls_are_answered_in_order_and_fail_after_waiting_too_long() {
    let mut queue = CallQueue::new(0.5);
    (0..6).for_each(|key| queue.push(0.0, key, Call::CompleteList));
    assert_eq!(queue.next_due_at(), Some(0.5));
    assert_eq!(queue.poll(0.4, 1, |_| true), []);
    assert_eq!(
        queue.poll(1.0, 1, |_| true),
        [(0, Answer::CompleteList), (1, Answer::CompleteList)]
    );
    let answers = queue.poll(9.0, 1, |_| true);
    let (served, failed) = (Answer::CompleteList, Answer::Overloaded);
    assert_eq!(
        answers,
        [(2, served), (3, served), (4, failed), (5, failed)]
    );
    assert_eq!((queue.max_queued(), queue.next_due_at()), (6, None));
    // The queue is idle again for the next call.
    queue.push(20.0, 7, Call::CompleteList);
    assert_eq!(queue.next_due_at(), Some(20.5));
}

#[test]
fn a_linear_fit_predicts_a_size_that_was_not_fitted() {
    let points = [50.0, 100.0, 215.0, 430.0].map(|x| (x, 3.0 + 0.5 * x));
    let fit = LineFit::of(&points).unwrap();
    assert!((fit.base - 3.0).abs() < 1e-6 && (fit.slope - 0.5).abs() < 1e-9 && fit.residual < 1e-9);
    assert!(fit.error(860.0, 433.0) < 1e-9);
    assert!((fit.error(860.0, 866.0) - 0.5).abs() < 1e-9);
    assert_eq!(LineFit::of(&[(50.0, 1.0), (50.0, 2.0)]), None);
}

#[test]
fn a_later_version_counts_for_the_propagation_of_earlier_ones() {
    let published = [1, 2].map(|revision| Published {
        revision,
        at_us: revision * 1_000_000,
    });
    let mixer = |records: &[(u64, u64)]| MixerReport {
        number: 0,
        cpu_s: 0.0,
        revision: 0,
        servers: 0,
        applied: records
            .iter()
            .map(|(revision, at_us)| AppliedRevision {
                revision: *revision,
                at_us: *at_us,
            })
            .collect(),
        dropped: 0,
        failure: None,
    };
    let (both, one) = (
        mixer(&[(1, 1_100_000), (2, 2_300_000)]),
        mixer(&[(2, 2_500_000)]),
    );
    let propagation = Propagation::of(&published, &[&both, &one]);
    let expected = Propagation {
        median_s: 0.3,
        p99_s: 1.5,
        last_s: 1.5,
        pairs: 4,
        missing: 0,
    };
    assert_eq!(propagation, expected);
    assert_eq!(
        Propagation::of(&published, &[&mixer(&[(1, 1_000_000)])]).missing,
        1
    );
}

/// In a measurement of a fleet, every mixer applies every change, at the cost of one answer and one call.
#[test]
fn a_measurement_counts_one_change_answer_per_change_and_mixer() {
    let load = Load {
        mixers: 4,
        servers: 30,
        changes_per_s: 10.0,
        changes: 3,
        is_sequential: true,
        idle_s: 0.01,
        round_s: 0.01,
        poll_within_s: 0.2,
        target_factor: 1.0,
    };
    let program = env!("CARGO_BIN_EXE_wharfhub-testbed").into();
    let mut bench = wharfhub_testbed::fleet::bench::Bench::start(&load, program, 2, 1).unwrap();
    let point = bench.measure(&load).unwrap();
    assert_eq!(
        (point.propagation.pairs, point.propagation.missing),
        (12, 0)
    );
    assert_eq!(point.start.complete_lists, 4);
    // Apart from the watches, only answers to heartbeats may contain a change again.
    assert!(
        (12..=12 + point.change.heartbeats).contains(&point.change.change_answers),
        "{point:?}"
    );
}
