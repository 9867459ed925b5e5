//! Statistics of the time from the publication of a revision until the mixers have applied it.

use super::discovery::Published;
use super::mixer::MixerReport;

/// Times from the publication of revisions until mixers applied them (seconds).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Propagation {
    /// Median over all pairs of a revision and a mixer.
    pub median_s: f64,
    /// 99th percentile over all pairs.
    pub p99_s: f64,
    /// Longest time of any pair.
    pub last_s: f64,
    /// Number of pairs of a revision and a mixer that applied it.
    pub pairs: usize,
    /// Number of pairs of a revision and a mixer that never applied it.
    pub missing: usize,
}

impl Propagation {
    /// Computes the times from the records of the mixers. A mixer that applied a later revision has applied all earlier ones.
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

    /// Combines two measurements: the longer times, and the sums of the counts.
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
