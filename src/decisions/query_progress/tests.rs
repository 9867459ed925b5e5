//! Tests that the totals equal a full recount after any sequence of changes.

use super::*;
use proptest::prelude::*;

fn state() -> impl Strategy<Value = PartState> {
    let in_flight = (0_u8..20, any::<[bool; 3]>()).prop_map(
        |(sent_at, [is_pre_check, is_ejected, is_single])| {
            PartState::InFlight(InFlight {
                sent_at: f64::from(sent_at),
                is_pre_check,
                is_ejected,
                is_single,
            })
        },
    );
    prop_oneof![
        Just(PartState::Spare),
        any::<bool>().prop_map(|untried| PartState::Pending { untried }),
        in_flight,
        Just(PartState::Answered),
    ]
}

/// A part's weight and shard.
type Part = (f64, u32);

/// A part's index and its new state.
type Change = (usize, PartState);

fn parts_and_changes() -> impl Strategy<Value = (Vec<Part>, Vec<Change>)> {
    let part = (
        prop_oneof![Just(0.0), 1e-30..1e-20, 0.001..1.0, Just(1e300)],
        0_u32..12,
    );
    (
        prop::collection::vec(part, 1..30),
        prop::collection::vec((0_usize..30, state()), 0..200),
    )
}

/// The totals of a query's parts, computed from each part.
struct Recount<'a> {
    parts: &'a [Part],
    states: &'a [PartState],
}

impl Recount<'_> {
    fn weight(&self, of: impl Fn(&PartState) -> bool) -> WeightUnits {
        let chosen = self
            .parts
            .iter()
            .zip(self.states)
            .filter(|(_, state)| of(state));
        chosen.map(|((weight, _), _)| units(*weight)).sum()
    }

    fn in_flight(&self) -> impl Iterator<Item = (usize, InFlight)> + '_ {
        self.states
            .iter()
            .enumerate()
            .filter_map(|(index, state)| match state {
                PartState::InFlight(flight) => Some((index, *flight)),
                _ => None,
            })
    }

    fn pending(&self) -> Vec<PendingPart> {
        let is_pending = |index: &usize| matches!(self.states[*index], PartState::Pending { .. });
        let indices = (0..self.parts.len()).filter(is_pending);
        indices
            .map(|index| PendingPart {
                index,
                weight: units(self.parts[index].0),
            })
            .collect()
    }

    fn untried(&self, cells: u32, of: &[u32]) -> usize {
        let untried = |state: &PartState| *state == PartState::Pending { untried: true };
        let parts = self.parts.iter().zip(self.states);
        parts
            .filter(|((_, shard), state)| untried(state) && of.contains(&(shard % cells)))
            .count()
    }

    fn sent_by(&self, group: AttemptGroup, limit: f64) -> Vec<usize> {
        let is_due = |flight: &InFlight| {
            let in_group =
                flight.is_pre_check == group.is_pre_check && flight.is_ejected == group.is_ejected;
            in_group && flight.is_single && flight.sent_at <= limit
        };
        let mut due: Vec<_> = self
            .in_flight()
            .filter(|(_, flight)| is_due(flight))
            .collect();
        due.sort_by(|a, b| a.1.sent_at.total_cmp(&b.1.sent_at).then(a.0.cmp(&b.0)));
        due.into_iter().map(|(index, _)| index).collect()
    }

    fn oldest(&self) -> Option<f64> {
        let singles = self.in_flight().filter(|(_, flight)| flight.is_single);
        let oldest = singles
            .map(|(_, flight)| flight.sent_at)
            .fold(f64::MAX, f64::min);
        (!self.in_flight().any(|(_, flight)| flight.is_ejected)).then_some(oldest)
    }
}

proptest! {
    #[test]
    fn totals_equal_a_full_recount((parts, changes) in parts_and_changes(), limit in 0_u8..20) {
        let mut progress = Progress::new(5);
        parts.iter().for_each(|(weight, cell)| progress.push(*weight, *cell));
        let mut states = vec![PartState::Spare; parts.len()];
        for (index, state) in changes {
            progress.set(index, state);
            if let Some(known) = states.get_mut(index) {
                *known = state;
            }
            let recount = Recount { parts: &parts, states: &states };
            prop_assert_eq!(progress.answered(), recount.weight(|state| *state == PartState::Answered));
            prop_assert_eq!(progress.spare(), recount.weight(|state| *state == PartState::Spare));
            let first_spare = states.iter().position(|state| *state == PartState::Spare);
            prop_assert_eq!(progress.first_spare(), first_spare);
            let in_flight = |state: &PartState| matches!(state, PartState::InFlight(_));
            prop_assert_eq!(progress.in_flight(), recount.weight(in_flight));
            prop_assert_eq!(progress.is_in_flight(), recount.in_flight().next().is_some());
            let indices: Vec<usize> = recount.in_flight().map(|(index, _)| index).collect();
            prop_assert_eq!(progress.indices_in_flight(), indices);
            prop_assert_eq!(progress.pending().collect::<Vec<_>>(), recount.pending());
            let pending = recount.pending().into_iter().map(|pending| pending.index);
            let due = pending.chain([2, 7]).filter(|index| *index >= 3).min();
            prop_assert_eq!(progress.next_due(&[2, 7], 3), due);
            prop_assert_eq!(progress.untried([1, 3].into_iter()), recount.untried(5, &[1, 3]));
            prop_assert_eq!(progress.oldest_sent_at(), recount.oldest());
            for (is_pre_check, is_ejected) in [(false, false), (false, true), (true, false), (true, true)] {
                let group = AttemptGroup { is_pre_check, is_ejected };
                let due: Vec<usize> = progress.sent_by(group, f64::from(limit)).collect();
                prop_assert_eq!(due, recount.sent_by(group, f64::from(limit)));
            }
        }
        progress.set_cells(3);
        let recount = Recount { parts: &parts, states: &states };
        prop_assert_eq!(progress.untried([0, 2].into_iter()), recount.untried(3, &[0, 2]));
    }
}

#[test]
fn positive_weights_stay_positive_and_the_sum_of_all_weights_is_one() {
    let mut progress = Progress::default();
    for index in 0..180 {
        progress.push(1.0 / 180.0, 0);
        progress.set(index, PartState::Answered);
    }
    assert!((share(progress.answered()) - 1.0).abs() < 1e-12);
    let mut progress = Progress::default();
    progress.push(1e-300, 0);
    progress.set(0, PartState::Answered);
    assert!(share(progress.answered()) > 0.0);
}
