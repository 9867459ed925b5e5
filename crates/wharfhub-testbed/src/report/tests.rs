use super::*;

#[test]
fn the_confidence_interval_follows_students_t_distribution() {
    let estimate = Estimate::of(&[1.0, 2.0, 3.0, 4.0]);
    assert!((estimate.mean - 2.5).abs() < 1e-12);
    // t(3, 0.975) = 3.182446, s = 1.290994.
    assert!(
        (estimate.half_width - 3.182446 * 1.290994 / 2.0).abs() < 1e-4,
        "{}",
        estimate.half_width
    );
}
