//! Encoding of a scenario's mixer settings as the JSON that the daemon reads.

use super::{Class, Scenario, Site};
use std::fmt::Write;

/// Quota of a tenant, as a multiple of its share of the queries.
const QUOTA_SLACK: f64 = 1.5;
/// Limit of the queries and parts in flight at a mixer: minimum, and time over which its load may accumulate (seconds).
const MIN_IN_FLIGHT: f64 = 1000.0;
const IN_FLIGHT_S: f64 = 3.0;
/// Number of entries that a typical query counts for: the query itself and its parts.
const IN_FLIGHT_PER_QUERY: f64 = 8.0;

fn joined(items: impl Iterator<Item = String>) -> String {
    items.collect::<Vec<_>>().join(",")
}

fn class_json(class: &Class) -> String {
    format!(
        "{{\"name\":\"{}\",\"aimS\":{},\"giveUpS\":{},\"effect\":\"{}\",\"lateWorth\":{},\
         \"windowS\":{},\"worth\":{}}}",
        class.name,
        class.latency_objective_s,
        class.client_timeout_s,
        class.effect,
        class.late_weight,
        class.dedup_window_s,
        class.priority_weight
    )
}

/// Returns the values of all classes, separated by commas.
fn by_class(site: &Site, value: impl Fn(&Class) -> f64) -> String {
    joined(site.classes.iter().map(|class| value(class).to_string()))
}

impl Scenario {
    /// Returns the mixer settings in the form that the daemon reads.
    pub fn settings(&self) -> String {
        let site = &self.site;
        let classes = joined(site.classes.iter().map(class_json));
        let zones = joined(site.zones.iter().map(|zone| format!("\"{zone}\"")));
        let mut text = format!(
            "{{\"categories\":[{classes}],\"tenants\":[{}],\"zones\":[{zones}],\"myZone\":0,\
             \"replicasOfMe\":{},\"roundS\":0.005,\"overShareWorth\":{},\"worthBy\":\"{}\"",
            self.tenants_json(),
            self.mixers,
            site.over_quota_weight,
            if site.scoring.by_work {
                "work"
            } else {
                "request"
            },
        );
        let _ = write!(
            text,
            ",{},{},{}",
            self.family_json(),
            self.permissions_json(),
            self.rules_json()
        );
        if let Some(phases) = &self.phases {
            let _ = write!(text, ",\"phases\":{phases}");
        }
        text.push('}');
        text
    }

    fn tenants_json(&self) -> String {
        joined(self.site.tenants.iter().map(|(name, share)| {
            let allowance = share * self.queries_per_s() * QUOTA_SLACK;
            format!("{{\"name\":\"{name}\",\"share\":{share},\"allowancePerS\":{allowance}}}")
        }))
    }

    fn family_json(&self) -> String {
        let site = &self.site;
        let (call_parts, call_work_s) = site.call;
        format!(
            "\"familyInfo\":{{\"cells\":{},\"inARow\":{},\"slabs\":{},\"perCall\":{call_parts},\
             \"perCallWorkS\":{call_work_s},\"completeFrom\":[{}],\"floorByClass\":[{}],\
             \"classPartial\":[{}]}}",
            self.cells(),
            site.replication_factor(),
            self.shards(),
            by_class(site, |_| 1.0),
            by_class(site, |class| class.min_share),
            by_class(site, |_| 0.9),
        )
    }

    fn permissions_json(&self) -> String {
        let (max_attempts, hedging) = self.site.attempts;
        let load_per_mixer = self.queries_per_s() / f64::from(self.mixers);
        let in_flight = (load_per_mixer * IN_FLIGHT_PER_QUERY * IN_FLIGHT_S).max(MIN_IN_FLIGHT);
        format!(
            "\"permissions\":{{\"cancelling\":true,\"connIdleS\":{},\"connectTimeoutS\":0.25,\
             \"maxRetryAfterS\":2.0,\"mostHeld\":{in_flight:.0},\"retryAfter\":true,\
             \"secondCopies\":{hedging},\"sendCap\":{max_attempts},\"streamsPerConn\":32}}",
            self.site.idle_timeout_s,
        )
    }

    fn rules_json(&self) -> String {
        let setup = self.site.leaf_servers;
        format!(
            "\"rules\":{{\"coldFrom\":{},\"coldS\":{},\"drainGraceS\":{},\"fallMultiple\":{},\
             \"overloadForS\":{}}}",
            setup.slow_start_from,
            setup.slow_start_s,
            self.site.drain_grace_s,
            setup.overload_multiple,
            setup.overload_window_s,
        )
    }
}
