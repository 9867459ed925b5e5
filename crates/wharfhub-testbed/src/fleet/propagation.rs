//! How long published versions take to be in force at every mixer.
//!
//! Pure arithmetic on records: it must never ask a mixer.

use super::discovery::Published;
use super::mixer::MixerReport;

/// Times until versions were in force at mixers (seconds).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Propagation {
    /// Half of them within this.
    pub median_s: f64,
    /// 99 in 100 within this.
    pub p99_s: f64,
    /// All of them within this.
    pub last_s: f64,
    /// Pairs of a version and a mixer that are counted.
    pub pairs: usize,
    /// Pairs of a version and a mixer where it never came into force.
    pub missing: usize,
}

impl Propagation {
    /// From the records of these mixers. A later version counts for all before it.
    pub fn of(published: &[Published], mixers: &[&MixerReport]) -> Propagation {
        let (mut times, mut missing) = (Vec::new(), 0);
        for version in published {
            for mixer in mixers {
                match mixer
                    .applied
                    .iter()
                    .find(|record| record.revision >= version.revision)
                {
                    Some(record) => {
                        times.push(record.at_us.saturating_sub(version.at_us) as f64 / 1e6)
                    }
                    None => missing += 1,
                }
            }
        }
        times.sort_by(f64::total_cmp);
        let at = |share: f64| {
            let index = (share * times.len() as f64).ceil() as usize;
            times.get(index.max(1) - 1).copied().unwrap_or(0.0)
        };
        Propagation {
            median_s: at(0.5),
            p99_s: at(0.99),
            last_s: times.last().copied().unwrap_or(0.0),
            pairs: times.len(),
            missing,
        }
    }

    /// The worse of each figure.
    pub fn worse(self, other: Propagation) -> Propagation {
        Propagation {
            median_s: self.median_s.max(other.median_s),
            p99_s: self.p99_s.max(other.p99_s),
            last_s: self.last_s.max(other.last_s),
            pairs: self.pairs + other.pairs,
            missing: self.missing + other.missing,
        }
    }
}
