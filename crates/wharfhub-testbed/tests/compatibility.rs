//! Checks that emulated mixers decide the same as in release dade8db, by the digest of all their actions.
//!
//! A change that alters decisions on purpose updates the digests and says so in its commit message.

use rstest::rstest;
use wharfhub_testbed::emulator;
use wharfhub_testbed::site::{cardiff, szeged, Fault, Scenario, Site};

/// Returns a scenario with many kinds of faults, one after another and overlapping.
fn faulty_scenario(site: Site, phases: bool, seed: u64) -> Scenario {
    let faults = vec![
        (1.0, 3.0, Fault::SomeSlow(0.2, 4.0)),
        (2.0, 5.0, Fault::Silent(0.1)),
        (3.0, 6.0, Fault::Fails(0.2, 0.5)),
        (5.0, 7.0, Fault::Dead(0.2)),
        (6.0, 7.5, Fault::Burst(2.0)),
        (8.0, 10.0, Fault::Pauses(0.2, 0.1, 0.5)),
        (9.0, 11.0, Fault::Drain(0.2)),
        (10.0, 12.0, Fault::Slow(1.5)),
    ];
    let phases = phases.then(|| "{\"classes\":[\"area-search\"]}".into());
    Scenario {
        seed,
        leaf_servers: 16,
        mixers: 3,
        seconds: 13.0,
        load: 0.8,
        site,
        phases,
        faults,
        disconnecting_share: 0.05,
        ..Scenario::default()
    }
}

#[rstest]
#[case::ring(faulty_scenario(cardiff(), false, 1), 0x90e0_d16e_57fb_69ca)]
#[case::ring_another_seed(faulty_scenario(cardiff(), false, 2), 0x4b77_48be_5743_3d1c)]
#[case::ring_in_two_phases(faulty_scenario(cardiff(), true, 3), 0x05c0_2b7d_e08b_dad8)]
#[case::sets(faulty_scenario(szeged(), false, 4), 0x2d73_5657_3660_3616)]
#[case::sets_another_seed(faulty_scenario(szeged(), false, 5), 0x680c_fdf9_a4a2_b4d5)]
fn decisions_are_unchanged_since_the_previous_release(
    #[case] scenario: Scenario,
    #[case] digest: u64,
) {
    let run = emulator::run(&scenario).expect("scenario settings should be valid");
    assert!(run.requests > 100, "{} queries", run.requests);
    assert_eq!(run.digest, digest, "{:#018x}", run.digest);
}
