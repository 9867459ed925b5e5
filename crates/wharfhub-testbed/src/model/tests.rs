//! Tests of model.rs that need its privates.

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

/// Turns a leaf server whenever it has to be; gives what ended, each with its time in milliseconds.
fn run(server: &mut LeafServer<char>, mut now: f64, slow: f64) -> Vec<(char, u32)> {
    let mut ended = Vec::new();
    while let Some(next) = server.next_event_at(now, slow) {
        now = next;
        ended.extend(
            server
                .advance(now, slow)
                .into_iter()
                .map(|job| (job, (now * 1000.0).round() as u32)),
        );
    }
    ended
}

fn with(setup: LeafServerSetup, jobs: &str) -> LeafServer<char> {
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
fn a_word_goes_before_what_waits() {
    let mut server = with(
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
fn one_runs_one_waits_and_the_next_is_turned_away() {
    let mut server = with(SETUP, "ab");
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
fn what_runs_together_shares_the_cores_and_nothing_runs_in_a_pause() {
    let mut server = with(LeafServerSetup { slots: 2, ..SETUP }, "ab");
    assert_eq!(run(&mut server, 1.0, 1.0), [('a', 1200), ('b', 1200)]);
    let pauses = Some(Pauses {
        period_s: 5.0,
        duration_s: 0.3,
        first_at: 1.05,
    });
    let mut server = with(LeafServerSetup { pauses, ..SETUP }, "a");
    assert_eq!(run(&mut server, 1.0, 1.0), [('a', 1400)]);
}

#[test]
fn what_is_called_off_stops_only_where_the_box_stops_it() {
    for (cancels, left) in [(true, Some(0.05)), (false, None)] {
        let mut server = with(LeafServerSetup { cancels, ..SETUP }, "ab");
        server.advance(1.05, 1.0);
        let spared = server
            .cancel('a')
            .map(|left_s| (left_s * 1000.0).round() / 1000.0);
        assert_eq!(spared, left);
        let last = if cancels { 1150 } else { 1200 };
        assert_eq!(run(&mut server, 1.05, 1.0).last(), Some(&('b', last)));
    }
}

#[test]
fn a_cold_box_is_pushed_over_by_what_a_warm_one_bears() {
    let push = |started_at: f64, sender_knows_start: bool| {
        let mut server = LeafServer::new(SETUP);
        if started_at > 0.0 {
            server.start(started_at);
        }
        // Twice what one core does, for three seconds.
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
    assert!(push(20.0, true), "cold");
    assert!(!push(20.0, false), "nobody was told of its start");
    assert!(!push(0.0, true) && !push(5.0, true), "warm");
}
