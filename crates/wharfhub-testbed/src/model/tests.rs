//! Unit tests of the leaf server model.

use super::*;

const SETUP: LeafServerSetup = LeafServerSetup {
    cores: 1,
    slots: 1,
    queue_capacity: 1,
    slow_start_from: 0.2,
    slow_start_s: 10.0,
    overload_multiple: 2.5,
    overload_window_s: 1.5,
    cancels: false,
    pauses: None,
};

const PART: IncomingJob<char> = IncomingJob {
    job: 'p',
    work_s: 0.1,
    nominal_work_s: 0.1,
    is_prioritized: false,
    sender_knows_start: true,
};

/// Runs a leaf server until it is idle. Returns the completed jobs, each with its time in milliseconds.
fn run(server: &mut LeafServer<char>, mut now: f64, slowdown: f64) -> Vec<(char, u32)> {
    let mut completed = Vec::new();
    while let Some(next) = server.next_event_at(now, slowdown) {
        now = next;
        completed.extend(
            server
                .advance(now, slowdown)
                .into_iter()
                .map(|job| (job, (now * 1000.0).round() as u32)),
        );
    }
    completed
}

/// Returns a leaf server at which these jobs have arrived at the time 1; `w` stands for a pre-check.
fn server_with_jobs(setup: LeafServerSetup, jobs: &str) -> LeafServer<char> {
    let mut server = LeafServer::new(setup);
    server.advance(1.0, 1.0);
    jobs.chars().for_each(|job| {
        server.arrive(
            1.0,
            IncomingJob {
                job,
                is_prioritized: job == 'w',
                ..PART
            },
            0.5,
        );
    });
    server
}

#[test]
fn a_pre_check_runs_before_waiting_jobs() {
    let mut server = server_with_jobs(
        LeafServerSetup {
            queue_capacity: 3,
            ..SETUP
        },
        "abw",
    );
    assert_eq!(
        run(&mut server, 1.0, 1.0),
        [('a', 1100), ('w', 1200), ('b', 1300)]
    );
}

#[test]
fn a_job_is_rejected_if_the_queue_is_full() {
    let mut server = server_with_jobs(SETUP, "ab");
    assert_eq!(server.arrive(1.0, PART, 0.5), Admission::QueueFull);
    assert_eq!(run(&mut server, 1.0, 2.0), [('a', 1200), ('b', 1400)]);
    assert_eq!(
        (
            server.job_count(),
            (server.completed_work_s * 1000.0).round()
        ),
        (0, 200.0)
    );
}

#[test]
fn running_jobs_share_the_cores_and_make_no_progress_during_a_pause() {
    let mut server = server_with_jobs(LeafServerSetup { slots: 2, ..SETUP }, "ab");
    assert_eq!(run(&mut server, 1.0, 1.0), [('a', 1200), ('b', 1200)]);
    let pauses = Some(Pauses {
        period_s: 5.0,
        duration_s: 0.3,
        first_at: 1.05,
    });
    let mut server = server_with_jobs(LeafServerSetup { pauses, ..SETUP }, "a");
    assert_eq!(run(&mut server, 1.0, 1.0), [('a', 1400)]);
}

#[test]
fn a_cancelled_job_stops_only_if_the_server_supports_cancellation() {
    for (cancels, expected_s) in [(true, Some(0.05)), (false, None)] {
        let mut server = server_with_jobs(LeafServerSetup { cancels, ..SETUP }, "ab");
        server.advance(1.05, 1.0);
        let saved_s = server
            .cancel('a')
            .map(|left_s| (left_s * 1000.0).round() / 1000.0);
        assert_eq!(saved_s, expected_s);
        let last = if cancels { 1150 } else { 1200 };
        assert_eq!(run(&mut server, 1.05, 1.0).last(), Some(&('b', last)));
    }
}

#[test]
fn a_load_that_a_warm_server_sustains_overloads_it_during_slow_start() {
    let collapses = |started_at: f64, sender_knows_start: bool| {
        let mut server = LeafServer::new(SETUP);
        if started_at > 0.0 {
            server.start(started_at);
        }
        // The work is twice the capacity of the one core, for three seconds.
        for step in 0..60u32 {
            let now = 20.0 + f64::from(step) * 0.05;
            server.advance(now, 1.0);
            server.arrive(
                now,
                IncomingJob {
                    job: char::from_u32(step).unwrap(),
                    sender_knows_start,
                    ..PART
                },
                0.5,
            );
        }
        server.has_collapsed
    };
    assert!(collapses(20.0, true), "slow start");
    assert!(!collapses(20.0, false), "no sender knows of the start");
    assert!(
        !collapses(0.0, true) && !collapses(5.0, true),
        "full capacity"
    );
}
