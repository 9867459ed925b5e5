//! The state machine of VRRP version 3 (RFC 9568) for IPv4 addresses: the states and timers of one virtual router, and the
//! encoding of its advertisements.
//!
//! Callers pass in events and times, and send the advertisements that are returned. Messages are sent over UDP between the
//! configured peers, so the checks of IP headers in the RFC (protocol number, TTL, multicast address) do not apply. The checksum
//! covers only the VRRP message, without a pseudo-header.

use std::net::Ipv4Addr;
use thiserror::Error;

/// First byte of an advertisement: version 3, type 1.
const VERSION_AND_TYPE: u8 = 0x31;
/// Maximum interval between advertisements (hundredths of a second): the field has 12 bits.
const MAX_INTERVAL_CS: u16 = 0x0fff;
/// Length of an advertisement before its addresses (bytes).
const HEADER_BYTES: usize = 8;
/// Length of an address (bytes).
const ADDRESS_BYTES: usize = 4;
/// Maximum number of addresses in an advertisement.
const MAX_ADDRESSES: usize = 255;
/// Priority of the address owner.
const OWNER_PRIORITY: u8 = 255;
/// Lowest priority that an Active router advertises while requests are in flight: the highest one that is not the owner's, so
/// that no returning router takes the addresses over work in flight.
const BUSY_PRIORITY: u8 = OWNER_PRIORITY - 1;
/// Priority that an Active router advertises when it stops.
const STOPPING_PRIORITY: u8 = 0;
/// Number of intervals without an advertisement after which, plus the skew time, a Backup router takes over.
const MISSED_INTERVALS: f64 = 3.0;

/// A VRRP advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router id (VRID).
    pub router: u8,
    /// Priority of the sender; 0 if the sender stops being Active.
    pub priority: u8,
    /// Advertisement interval of the sender (hundredths of a second).
    pub interval_cs: u16,
    /// Addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// Reason for which a message cannot be decoded.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdvertisementError {
    /// The message is too short, or its length does not match its number of addresses.
    #[error("the length does not fit")]
    Length,
    /// The message has another version or type.
    #[error("not an advertisement of version 3")]
    Kind,
    /// The checksum is invalid.
    #[error("the checksum is wrong")]
    Checksum,
    /// The message contains no address, or the interval is 0.
    #[error("no address or no interval")]
    Empty,
}

/// Returns the Internet checksum (RFC 1071): the ones' complement of the ones' complement sum of the 16-bit words.
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// Encodes the advertisement. Addresses beyond the first 255 are left out.
    pub fn encode(&self) -> Vec<u8> {
        let count = self.addresses.len().min(MAX_ADDRESSES);
        let mut out = vec![VERSION_AND_TYPE, self.router, self.priority, count as u8];
        out.extend((self.interval_cs & MAX_INTERVAL_CS).to_be_bytes());
        out.extend([0, 0]);
        self.addresses
            .iter()
            .take(count)
            .for_each(|address| out.extend(address.octets()));
        let sum = checksum(&out);
        out[6..8].copy_from_slice(&sum.to_be_bytes());
        out
    }

    /// Decodes and validates a message.
    pub fn decode(bytes: &[u8]) -> Result<Advertisement, AdvertisementError> {
        if bytes.len() < HEADER_BYTES
            || bytes.len() != HEADER_BYTES + ADDRESS_BYTES * usize::from(bytes[3])
        {
            return Err(AdvertisementError::Length);
        }
        if bytes[0] != VERSION_AND_TYPE {
            return Err(AdvertisementError::Kind);
        }
        if checksum(bytes) != 0 {
            return Err(AdvertisementError::Checksum);
        }
        let interval_cs = u16::from_be_bytes([bytes[4], bytes[5]]) & MAX_INTERVAL_CS;
        if bytes[3] == 0 || interval_cs == 0 {
            return Err(AdvertisementError::Empty);
        }
        let address = |octets: &[u8]| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]);
        let addresses = bytes[HEADER_BYTES..]
            .chunks_exact(ADDRESS_BYTES)
            .map(address)
            .collect();
        Ok(Advertisement {
            router: bytes[1],
            priority: bytes[2],
            interval_cs,
            addresses,
        })
    }
}

/// State of a virtual router on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The router is not started, or was shut down.
    Initialize,
    /// Another router is Active; this router takes over if the advertisements stop.
    Backup,
    /// This router serves the addresses.
    Active,
}

/// Input event of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router is started.
    Startup,
    /// The router is stopped.
    Shutdown,
    /// The time returned by [`Router::timer_at`] was reached.
    Timer,
    /// An advertisement was received.
    Received {
        /// Primary address of the sender.
        from: Ipv4Addr,
        /// The decoded advertisement.
        advertisement: Advertisement,
    },
}

/// Configuration of a virtual router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Virtual router id (VRID).
    pub router: u8,
    /// Priority of this router: 1 to 254, or 255 for the address owner.
    pub priority: u8,
    /// Advertisement interval of this router (hundredths of a second).
    pub interval_cs: u16,
    /// Whether this router takes over from an Active router with a lower priority.
    pub preempt: bool,
    /// Primary address of this router, which breaks ties between equal priorities.
    pub primary: Ipv4Addr,
    /// Addresses of the virtual router.
    pub addresses: Vec<Ipv4Addr>,
}

/// State machine of one virtual router. Times are on the caller's clock (seconds).
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    state: State,
    /// Advertisement interval of the Active router (hundredths of a second).
    active_interval_cs: u16,
    /// Expiry of the Active_Down_Timer in state Backup, or of the Adver_Timer in state Active.
    timer_at: Option<f64>,
    /// Whether requests are in flight.
    is_busy: bool,
}

impl Router {
    /// Creates a router in state Initialize.
    pub fn new(mut config: RouterConfig) -> Router {
        config.interval_cs = config.interval_cs.clamp(1, MAX_INTERVAL_CS);
        config.priority = config.priority.max(1);
        Router {
            active_interval_cs: config.interval_cs,
            config,
            state: State::Initialize,
            timer_at: None,
            is_busy: false,
        }
    }

    /// Sets whether requests are in flight. An Active router that is busy yields only to the address owner.
    pub fn set_busy(&mut self, is_busy: bool) {
        self.is_busy = is_busy;
    }

    /// Returns the priority that the router has while it is Active.
    fn active_priority(&self) -> u8 {
        if self.is_busy {
            self.config.priority.max(BUSY_PRIORITY)
        } else {
            self.config.priority
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time at which the caller has to pass [`Event::Timer`], if a timer is running.
    pub fn timer_at(&self) -> Option<f64> {
        self.timer_at
    }

    /// Returns the skew time (seconds), which is longer for a lower priority.
    fn skew_s(&self) -> f64 {
        let interval_s = f64::from(self.active_interval_cs) / 100.0;
        (256.0 - f64::from(self.config.priority)) * interval_s / 256.0
    }

    /// Returns the time without an advertisement after which a Backup router takes over (seconds).
    fn active_down_s(&self) -> f64 {
        MISSED_INTERVALS * f64::from(self.active_interval_cs) / 100.0 + self.skew_s()
    }

    fn advertisement(&self, priority: u8) -> Advertisement {
        Advertisement {
            router: self.config.router,
            priority,
            interval_cs: self.config.interval_cs,
            addresses: self.config.addresses.clone(),
        }
    }

    /// Enters or stays in state Active: returns an advertisement, and starts the timer of the next one.
    fn advertise(&mut self, now: f64) -> Option<Advertisement> {
        self.state = State::Active;
        self.timer_at = Some(now + f64::from(self.config.interval_cs) / 100.0);
        Some(self.advertisement(self.active_priority()))
    }

    /// Enters or stays in state Backup, and restarts the timer with the interval of the Active router.
    fn become_backup(&mut self, now: f64, interval_cs: u16) {
        self.state = State::Backup;
        self.active_interval_cs = interval_cs;
        self.timer_at = Some(now + self.active_down_s());
    }

    /// Handles an event, and returns the advertisement to send to all peers, if any.
    pub fn handle(&mut self, now: f64, event: Event) -> Option<Advertisement> {
        match (self.state, event) {
            (State::Initialize, Event::Startup) => self.start(now),
            (State::Initialize, _) | (_, Event::Startup) => None,
            (state, Event::Shutdown) => {
                self.state = State::Initialize;
                self.timer_at = None;
                (state == State::Active).then(|| self.advertisement(STOPPING_PRIORITY))
            }
            (_, Event::Timer) if self.timer_at.is_some_and(|at| at <= now) => self.advertise(now),
            (_, Event::Timer) => None,
            (
                state,
                Event::Received {
                    from,
                    advertisement,
                },
            ) => self.handle_advertisement(now, state, from, &advertisement),
        }
    }

    fn start(&mut self, now: f64) -> Option<Advertisement> {
        if self.config.priority == OWNER_PRIORITY {
            return self.advertise(now);
        }
        self.become_backup(now, self.config.interval_cs);
        None
    }

    fn handle_advertisement(
        &mut self,
        now: f64,
        state: State,
        from: Ipv4Addr,
        received: &Advertisement,
    ) -> Option<Advertisement> {
        if received.router != self.config.router || from == self.config.primary {
            return None;
        }
        if state == State::Backup {
            if received.priority == STOPPING_PRIORITY {
                self.timer_at = Some(now + self.skew_s());
            } else if !self.config.preempt || received.priority >= self.config.priority {
                self.become_backup(now, received.interval_cs);
            }
            return None;
        }
        let theirs = (received.priority, from);
        let ours = (self.active_priority(), self.config.primary);
        if received.priority != STOPPING_PRIORITY && theirs > ours {
            self.become_backup(now, received.interval_cs);
            None
        } else {
            // Advertises immediately to inform a router that stops, or is Active with a lower priority, that this router is
            // Active.
            self.advertise(now)
        }
    }
}

#[cfg(test)]
mod tests;
