//! Tests of the state machine and of advertisements, without sockets.

use super::*;

const LOW: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const HIGH: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

fn router(priority: u8, primary: Ipv4Addr, preempt: bool) -> Router {
    let addresses = vec![Ipv4Addr::new(127, 0, 0, 9)];
    Router::new(RouterConfig {
        router: 7,
        priority,
        interval_cs: 100,
        preempt,
        primary,
        addresses,
    })
}

fn received(from: Ipv4Addr, priority: u8) -> Event {
    let addresses = vec![Ipv4Addr::new(127, 0, 0, 9)];
    Event::Received {
        from,
        advertisement: Advertisement {
            router: 7,
            priority,
            interval_cs: 100,
            addresses,
        },
    }
}

#[test]
fn an_advertisement_is_encoded_as_the_standard_requires() {
    let sent = router(100, LOW, true).advertisement(100);
    let bytes = sent.encode();
    assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xeb, 0x89, 127, 0, 0, 9]);
    assert_eq!(Advertisement::decode(&bytes), Ok(sent));
    for at in 0..bytes.len() {
        let mut broken = bytes.clone();
        broken[at] ^= 0x40;
        assert!(Advertisement::decode(&broken).is_err(), "byte {at}");
    }
    assert_eq!(
        Advertisement::decode(&bytes[..9]),
        Err(AdvertisementError::Length)
    );
}

#[test]
fn a_backup_takes_over_after_three_intervals_and_its_skew_time() {
    let mut low = router(100, LOW, true);
    assert_eq!(low.handle(10.0, Event::Startup), None);
    let due = 10.0 + 3.0 + (256.0 - 100.0) / 256.0;
    assert_eq!((low.state(), low.timer_at()), (State::Backup, Some(due)));
    assert_eq!(
        low.handle(due - 0.01, Event::Timer),
        None,
        "a timer event before the expiry has no effect"
    );
    assert!(low
        .handle(due, Event::Timer)
        .is_some_and(|sent| sent.priority == 100));
    assert_eq!(
        (low.state(), low.timer_at()),
        (State::Active, Some(due + 1.0))
    );
    // A higher priority has a shorter skew time.
    let mut high = router(200, HIGH, true);
    high.handle(10.0, Event::Startup);
    assert!(high.timer_at() < Some(due));
}

#[test]
fn an_active_router_that_stops_advertises_it_and_a_backup_waits_only_its_skew_time() {
    let mut owner = router(255, LOW, true);
    assert!(owner.handle(0.0, Event::Startup).is_some());
    assert_eq!(owner.state(), State::Active);
    assert!(owner
        .handle(1.0, Event::Shutdown)
        .is_some_and(|sent| sent.priority == 0));
    assert_eq!((owner.state(), owner.timer_at()), (State::Initialize, None));
    let mut backup = router(100, HIGH, true);
    backup.handle(0.0, Event::Startup);
    backup.handle(1.0, received(LOW, 0));
    assert_eq!(backup.timer_at(), Some(1.0 + 156.0 / 256.0));
    assert_eq!(
        backup.handle(1.5, Event::Shutdown),
        None,
        "a Backup router advertises no shutdown"
    );
}

#[test]
fn preemption_ties_and_foreign_advertisements_are_handled() {
    for (preempt, kept) in [(true, true), (false, false)] {
        let mut backup = router(100, LOW, preempt);
        backup.handle(0.0, Event::Startup);
        let due = backup.timer_at();
        backup.handle(1.0, received(HIGH, 50));
        assert_eq!(
            backup.timer_at() == due,
            kept,
            "an advertisement of a lower priority restarts the timer only without preemption"
        );
    }
    let active = |event| {
        let mut router = router(100, LOW, true);
        router.handle(0.0, Event::Startup);
        router.handle(9.0, Event::Timer);
        let sent = router.handle(9.5, event);
        (router.state(), sent.is_some())
    };
    assert_eq!(active(received(HIGH, 101)), (State::Backup, false));
    assert_eq!(
        active(received(HIGH, 100)),
        (State::Backup, false),
        "the higher address wins a tie"
    );
    assert_eq!(
        active(received(Ipv4Addr::new(127, 0, 0, 0), 100)),
        (State::Active, true)
    );
    assert_eq!(active(received(HIGH, 99)), (State::Active, true));
    assert_eq!(active(received(HIGH, 0)), (State::Active, true));
    let other = Advertisement {
        router: 8,
        priority: 200,
        interval_cs: 100,
        addresses: vec![LOW],
    };
    assert_eq!(
        active(Event::Received {
            from: HIGH,
            advertisement: other
        }),
        (State::Active, false)
    );
}

/// Guards against a returning router that takes the addresses while the requests of the other one are in flight.
#[test]
fn an_active_router_yields_to_a_higher_priority_only_without_requests_in_flight() {
    let mut active = router(100, LOW, true);
    active.handle(0.0, Event::Startup);
    active.handle(9.0, Event::Timer);
    active.set_busy(true);
    let sent = active.handle(10.0, Event::Timer).expect("is Active");
    assert_eq!(sent.priority, BUSY_PRIORITY);
    // The returning router has a higher priority, but stays Backup.
    let mut returning = router(200, HIGH, true);
    returning.handle(10.0, Event::Startup);
    returning.handle(12.0, received(LOW, sent.priority));
    assert_eq!(returning.handle(13.3, Event::Timer), None);
    assert_eq!(returning.state(), State::Backup);
    // It has missed the advertisements, and both are Active: the busy one insists.
    let sent = active.handle(13.5, received(HIGH, 200));
    assert_eq!(sent.map(|sent| sent.priority), Some(BUSY_PRIORITY));
    assert_eq!(active.state(), State::Active);
    active.set_busy(false);
    active.handle(14.0, received(HIGH, 200));
    assert_eq!(active.state(), State::Backup);
}

#[test]
fn a_busy_router_yields_to_the_address_owner() {
    let mut active = router(100, LOW, true);
    active.handle(0.0, Event::Startup);
    active.handle(9.0, Event::Timer);
    active.set_busy(true);
    active.handle(10.0, received(HIGH, OWNER_PRIORITY));
    assert_eq!(active.state(), State::Backup);
}
