//! The operators' deployments, with parameters from their descriptions.

use super::{Class, Layout, ScoringRule, Site};
use crate::model::LeafServerSetup;

/// Returns the deployment of a florist in Wales: ring placement, calls of one part, hedged requests, leaf servers that don't stop
/// cancelled work.
pub fn cardiff() -> Site {
    Site {
        name: "cardiff",
        zones: &["cardiff-bay", "newport-east"],
        inter_zone_delay_s: (0.0014, 0.0026),
        layout: Layout::Ring(2, 2),
        has_consecutive_shards: false,
        classes: cardiff_classes(),
        tenants: &[
            ("tegid-direct", 0.51),
            ("blodau-post", 0.3),
            ("garden-gate", 0.19),
        ],
        over_quota_weight: 0.2,
        scoring: ScoringRule {
            weights: [0.35, 0.35, 0.2, 0.1],
            late_fail: 0.11,
            waste: 0.058,
            by_work: true,
        },
        has_cost_hints: true,
        call: (1, 0.0),
        attempts: (4, true),
        retries: (2, (0.1, 0.6), false),
        drain_grace_s: 0.5,
        idle_timeout_s: 15.0,
        handshake_work_s: 0.0012,
        leaf_servers: LeafServerSetup {
            cores: 2,
            slots: 2,
            queue_capacity: 40,
            slow_start_from: 0.2,
            slow_start_s: 14.0,
            overload_multiple: 2.5,
            overload_window_s: 1.5,
            cancels: false,
            pauses: None,
        },
        pauses: None,
    }
}

fn cardiff_classes() -> Vec<Class> {
    let area = Class {
        name: "area-search",
        share: 0.22,
        parts: (4, 4, 0.4),
        work_s: 0.15,
        latency_objective_s: 1.5,
        client_timeout_s: 3.0,
        late_weight: 0.1,
        priority_weight: 2.0,
        min_share: 0.7,
        effect: "retryable",
        dedup_window_s: 2.5,
    };
    let slot = Class {
        name: "slot-check",
        share: 0.56,
        parts: (4, 7, 0.0),
        work_s: 0.12,
        latency_objective_s: 1.2,
        late_weight: 0.3,
        priority_weight: 1.0,
        min_share: 1.0,
        ..area.clone()
    };
    let hold = Class {
        name: "stem-hold",
        share: 0.22,
        parts: (1, 2, 0.0),
        work_s: 0.12,
        client_timeout_s: 5.0,
        min_share: 1.0,
        effect: "dedup",
        ..area.clone()
    };
    vec![area, slot, hold]
}

/// Returns the deployment of a materials company in Szeged: replica sets with four shards, calls of several parts with fixed work
/// per call, one attempt at a time, leaf servers that pause and that stop cancelled work.
pub fn szeged() -> Site {
    Site {
        name: "szeged",
        zones: &["room-a", "room-b", "room-c"],
        inter_zone_delay_s: (0.00042, 0.00078),
        layout: Layout::Sets(4, 2),
        has_consecutive_shards: true,
        classes: szeged_classes(),
        tenants: &[
            ("gepgyar-north", 0.41),
            ("autoalkatresz", 0.36),
            ("epitoanyag-lab", 0.14),
            ("muszaki-egyetem", 0.09),
        ],
        over_quota_weight: 0.05,
        scoring: ScoringRule {
            weights: [0.5, 0.2, 0.2, 0.1],
            late_fail: 0.03,
            waste: 0.081,
            by_work: false,
        },
        has_cost_hints: false,
        call: (8, 0.051),
        attempts: (3, false),
        retries: (1, (0.075, 0.6), true),
        drain_grace_s: 2.0,
        idle_timeout_s: 30.0,
        handshake_work_s: 0.0011,
        leaf_servers: LeafServerSetup {
            cores: 2,
            slots: 6,
            queue_capacity: 28,
            slow_start_from: 0.28,
            slow_start_s: 17.0,
            overload_multiple: 2.0,
            overload_window_s: 1.5,
            cancels: true,
            pauses: None,
        },
        pauses: Some(((0.067, 0.27), (3.4, 7.9))),
    }
}

fn szeged_classes() -> Vec<Class> {
    let report = Class {
        name: "compliance-report",
        share: 0.12,
        parts: (4, 4, 0.5),
        work_s: 0.13,
        latency_objective_s: 2.5,
        client_timeout_s: 7.5,
        late_weight: 0.1,
        priority_weight: 5.0,
        min_share: 1.0,
        effect: "retryable",
        dedup_window_s: 5.0,
    };
    let lookup = Class {
        name: "grade-lookup",
        share: 0.63,
        parts: (4, 7, 0.15),
        work_s: 0.095,
        latency_objective_s: 1.5,
        client_timeout_s: 4.0,
        late_weight: 0.3,
        priority_weight: 1.0,
        ..report.clone()
    };
    let search = Class {
        name: "property-search",
        share: 0.25,
        parts: (4, 4, 0.4),
        work_s: 0.12,
        latency_objective_s: 2.0,
        client_timeout_s: 5.0,
        priority_weight: 3.0,
        min_share: 0.5,
        ..report.clone()
    };
    vec![report, lookup, search]
}
