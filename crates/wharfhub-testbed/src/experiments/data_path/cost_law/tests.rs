use super::CostLaw;
use crate::fit::Point;

const HOLDOUT: usize = 2;

fn law(costs: [f64; 5]) -> CostLaw {
    let sizes = [4.0, 12.0, 45.0, 90.0, 180.0];
    let points: Vec<Point> = sizes
        .into_iter()
        .zip(costs)
        .map(|(size, cost)| Point { size, cost })
        .collect();
    CostLaw::of(&points, HOLDOUT).expect("four points determine a parabola")
}

#[test]
fn a_quadratic_cost_misses_the_ratio_criterion() {
    // Costs of a version that examined all parts of a query on each answer.
    let measured = law([121.0, 287.0, 1006.0, 2618.0, 6565.0]);
    assert_eq!(measured.law.coefficients.len(), 3);
    assert_eq!(
        measured.shortfalls().len(),
        1,
        "{:?}",
        measured.shortfalls()
    );
}

#[test]
fn a_cost_proportional_to_the_parts_is_a_line_and_meets_all_criteria() {
    let measured = law([111.0, 241.0, 823.0, 1635.0, 3443.0]);
    assert_eq!(measured.law.coefficients.len(), 2);
    assert_eq!(measured.shortfalls(), Vec::<String>::new());
}

#[test]
fn a_held_out_size_off_the_law_misses_the_prediction_criterion() {
    let measured = law([40.0, 120.0, 900.0, 900.0, 1800.0]);
    assert!(measured
        .shortfalls()
        .iter()
        .any(|what| what.contains("held-out")));
}
