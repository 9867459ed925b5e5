//! The state machine of VRRP version 3 (RFC 9568), for IPv4 addresses.
//!
//! This file owns the states of one virtual router, its two timers and the form of its advertisements. It
//! must never hold a socket or read a clock: events and times are passed in, and what is to be sent comes
//! back. Here the messages are carried in UDP between the operator's listed peers, so the checks that belong
//! to IP (protocol number, TTL, multicast) have no place; the checksum covers the VRRP message, as for IPv4.

use std::net::Ipv4Addr;
use thiserror::Error;

const VERSION_AND_TYPE: u8 = 0x31;
const INTERVAL_MOST: u16 = 0x0fff;

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router that it is about.
    pub router: u8,
    /// The sender's priority; 0 says that it stops.
    pub priority: u8,
    /// The sender's interval between advertisements (hundredths of a second).
    pub interval_cs: u16,
    /// The addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// Why bytes are no advertisement.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdvertisementError {
    /// Too short, or not as long as its count of addresses says.
    #[error("the length does not fit")]
    Length,
    /// Not version 3, or not an advertisement.
    #[error("not an advertisement of version 3")]
    Kind,
    /// The checksum is wrong.
    #[error("the checksum is wrong")]
    Checksum,
    /// It names no address or no interval.
    #[error("no address or no interval")]
    Empty,
}

/// The ones' complement of the ones' complement sum of 16-bit words (RFC 1071).
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// Its bytes. At most 255 addresses are named.
    pub fn encode(&self) -> Vec<u8> {
        let count = self.addresses.len().min(255);
        let mut out = vec![VERSION_AND_TYPE, self.router, self.priority, count as u8];
        out.extend((self.interval_cs & INTERVAL_MOST).to_be_bytes());
        out.extend([0, 0]);
        self.addresses.iter().take(count).for_each(|address| out.extend(address.octets()));
        let sum = checksum(&out);
        out[6..8].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Reads one.
    pub fn decode(bytes: &[u8]) -> Result<Advertisement, AdvertisementError> {
        if bytes.len() < 8 || bytes.len() != 8 + 4 * usize::from(bytes[3]) {
            return Err(AdvertisementError::Length);
        }
        if bytes[0] != VERSION_AND_TYPE {
            return Err(AdvertisementError::Kind);
        }
        if checksum(bytes) != 0 {
            return Err(AdvertisementError::Checksum);
        }
        let interval_cs = u16::from_be_bytes([bytes[4], bytes[5]]) & INTERVAL_MOST;
        if bytes[3] == 0 || interval_cs == 0 {
            return Err(AdvertisementError::Empty);
        }
        let address = |four: &[u8]| Ipv4Addr::new(four[0], four[1], four[2], four[3]);
        let addresses = bytes[8..].chunks_exact(4).map(address).collect();
        Ok(Advertisement { router: bytes[1], priority: bytes[2], interval_cs, addresses })
    }
}

/// Where a virtual router's machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not started, or shut down.
    Initialize,
    /// Watching the Active one.
    Backup,
    /// The one that accepts.
    Active,
}

/// What a machine is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Start.
    Startup,
    /// Stop.
    Shutdown,
    /// The time given by [`Router::due`] has come.
    Timer,
    /// An advertisement came from that primary address.
    Heard(Ipv4Addr, Advertisement),
}

/// How a virtual router is set up here.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// Its number.
    pub router: u8,
    /// Our priority, 1 to 254; 255 for the owner of the addresses.
    pub priority: u8,
    /// Our interval between advertisements (hundredths of a second).
    pub interval_cs: u16,
    /// Whether a higher priority takes over from a lower one that is Active.
    pub preempt: bool,
    /// Our own primary address, which breaks ties.
    pub primary: Ipv4Addr,
    /// The addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// The machine of one virtual router.
#[derive(Clone, Debug)]
pub struct Router {
    setup: Setup,
    state: State,
    active_interval_cs: u16, // of whoever is Active
    timer: Option<f64>,      // the Active_Down_Timer in Backup, the Adver_Timer when Active
}

impl Router {
    /// A machine that has not started.
    pub fn new(mut setup: Setup) -> Router {
        setup.interval_cs = setup.interval_cs.clamp(1, INTERVAL_MOST);
        setup.priority = setup.priority.max(1);
        Router { active_interval_cs: setup.interval_cs, setup, state: State::Initialize, timer: None }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// When it wants [`Event::Timer`].
    pub fn due(&self) -> Option<f64> {
        self.timer
    }

    /// The lower the priority, the longer: (256 - priority) / 256 of the Active one's interval.
    fn skew_s(&self) -> f64 {
        let interval_s = f64::from(self.active_interval_cs) / 100.0;
        (256.0 - f64::from(self.setup.priority)) * interval_s / 256.0
    }

    fn active_down_s(&self) -> f64 {
        3.0 * f64::from(self.active_interval_cs) / 100.0 + self.skew_s()
    }

    fn advertisement(&self, priority: u8) -> Advertisement {
        let (router, interval_cs) = (self.setup.router, self.setup.interval_cs);
        Advertisement { router, priority, interval_cs, addresses: self.setup.addresses.clone() }
    }

    /// Advertises and waits for one interval of our own.
    fn advertise(&mut self, now: f64) -> Option<Advertisement> {
        self.state = State::Active;
        self.timer = Some(now + f64::from(self.setup.interval_cs) / 100.0);
        Some(self.advertisement(self.setup.priority))
    }

    fn back_up(&mut self, now: f64, interval_cs: u16) {
        self.state = State::Backup;
        self.active_interval_cs = interval_cs;
        self.timer = Some(now + self.active_down_s());
    }

    /// Takes an event; gives what is to be sent to all peers.
    pub fn take(&mut self, now: f64, event: Event) -> Option<Advertisement> {
        match (self.state, event) {
            (State::Initialize, Event::Startup) if self.setup.priority == 255 => self.advertise(now),
            (State::Initialize, Event::Startup) => {
                self.back_up(now, self.setup.interval_cs);
                None
            }
            (State::Initialize, _) | (_, Event::Startup) => None,
            (state, Event::Shutdown) => {
                (self.state, self.timer) = (State::Initialize, None);
                (state == State::Active).then(|| self.advertisement(0))
            }
            (_, Event::Timer) if self.timer.is_some_and(|at| at <= now) => self.advertise(now),
            (_, Event::Timer) => None,
            (_, Event::Heard(from, heard))
                if heard.router != self.setup.router || from == self.setup.primary =>
            {
                None
            }
            (State::Backup, Event::Heard(_, heard)) => {
                if heard.priority == 0 {
                    self.timer = Some(now + self.skew_s());
                } else if !self.setup.preempt || heard.priority >= self.setup.priority {
                    self.back_up(now, heard.interval_cs);
                }
                None
            }
            (State::Active, Event::Heard(from, heard)) => {
                let ours = (self.setup.priority, self.setup.primary);
                if heard.priority > 0 && (heard.priority, from) > ours {
                    self.back_up(now, heard.interval_cs);
                    None
                } else {
                    // Whoever stops or thinks itself Active with less hears at once that we are.
                    self.advertise(now)
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOW: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
    const HIGH: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

    fn router(priority: u8, primary: Ipv4Addr, preempt: bool) -> Router {
        let addresses = vec![Ipv4Addr::new(127, 0, 0, 9)];
        Router::new(Setup { router: 7, priority, interval_cs: 100, preempt, primary, addresses })
    }

    fn heard(from: Ipv4Addr, priority: u8) -> Event {
        let addresses = vec![Ipv4Addr::new(127, 0, 0, 9)];
        Event::Heard(from, Advertisement { router: 7, priority, interval_cs: 100, addresses })
    }

    #[test]
    fn an_advertisement_has_the_bytes_of_the_standard() {
        let sent = router(100, LOW, true).advertisement(100);
        let bytes = sent.encode();
        assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xeb, 0x89, 127, 0, 0, 9]);
        assert_eq!(Advertisement::decode(&bytes), Ok(sent));
        for at in 0..bytes.len() {
            let mut broken = bytes.clone();
            broken[at] ^= 0x40;
            assert!(Advertisement::decode(&broken).is_err(), "byte {at}");
        }
        assert_eq!(Advertisement::decode(&bytes[..9]), Err(AdvertisementError::Length));
    }

    #[test]
    fn a_backup_takes_over_after_three_intervals_and_its_skew() {
        let mut low = router(100, LOW, true);
        assert_eq!(low.take(10.0, Event::Startup), None);
        let due = 10.0 + 3.0 + (256.0 - 100.0) / 256.0;
        assert_eq!((low.state(), low.due()), (State::Backup, Some(due)));
        assert_eq!(low.take(due - 0.01, Event::Timer), None, "not before its time");
        assert!(low.take(due, Event::Timer).is_some_and(|sent| sent.priority == 100));
        assert_eq!((low.state(), low.due()), (State::Active, Some(due + 1.0)));
        // The higher the priority, the shorter the skew.
        let mut high = router(200, HIGH, true);
        high.take(10.0, Event::Startup);
        assert!(high.due() < Some(due));
    }

    #[test]
    fn one_that_stops_says_so_and_a_backup_waits_only_its_skew() {
        let mut owner = router(255, LOW, true);
        assert!(owner.take(0.0, Event::Startup).is_some());
        assert_eq!(owner.state(), State::Active);
        assert!(owner.take(1.0, Event::Shutdown).is_some_and(|sent| sent.priority == 0));
        assert_eq!((owner.state(), owner.due()), (State::Initialize, None));
        let mut backup = router(100, HIGH, true);
        backup.take(0.0, Event::Startup);
        backup.take(1.0, heard(LOW, 0));
        assert_eq!(backup.due(), Some(1.0 + 156.0 / 256.0));
        assert_eq!(backup.take(1.5, Event::Shutdown), None, "a backup has nothing to resign");
    }

    #[test]
    fn preemption_ties_and_other_routers() {
        for (preempt, kept) in [(true, true), (false, false)] {
            let mut backup = router(100, LOW, preempt);
            backup.take(0.0, Event::Startup);
            let due = backup.due();
            backup.take(1.0, heard(HIGH, 50));
            assert_eq!(backup.due() == due, kept, "a lower one is heeded only without preemption");
        }
        let active = |event| {
            let mut router = router(100, LOW, true);
            router.take(0.0, Event::Startup);
            router.take(9.0, Event::Timer);
            let sent = router.take(9.5, event);
            (router.state(), sent.is_some())
        };
        assert_eq!(active(heard(HIGH, 101)), (State::Backup, false));
        assert_eq!(active(heard(HIGH, 100)), (State::Backup, false), "the higher address wins a tie");
        assert_eq!(active(heard(Ipv4Addr::new(127, 0, 0, 0), 100)), (State::Active, true));
        assert_eq!(active(heard(HIGH, 99)), (State::Active, true));
        assert_eq!(active(heard(HIGH, 0)), (State::Active, true));
        let other = Advertisement { router: 8, priority: 200, interval_cs: 100, addresses: vec![LOW] };
        assert_eq!(active(Event::Heard(HIGH, other)), (State::Active, false));
    }
}
