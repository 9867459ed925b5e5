use super::{Point, Polynomial};

fn points(cost: impl Fn(f64) -> f64) -> Vec<Point> {
    [4.0, 12.0, 90.0, 180.0]
        .map(|size| Point {
            size,
            cost: cost(size),
        })
        .to_vec()
}

#[test]
fn a_polynomial_is_recovered_from_its_points() {
    let law = |size: f64| 40.0 + 18.0 * size + 0.36 * size * size;
    let fitted = Polynomial::fit(2, &points(law)).expect("four points determine a parabola");
    assert!((fitted.at(45.0) / law(45.0) - 1.0).abs() < 1e-6);
    assert!(fitted.residual < 1e-6);
}

#[test]
fn a_line_fitted_to_a_parabola_has_a_large_residual() {
    let fitted = Polynomial::fit(1, &points(|size| 10.0 + size * size)).expect("a line");
    assert!(fitted.residual > 0.25);
}

#[test]
fn too_few_points_return_no_fit() {
    let one = [Point {
        size: 4.0,
        cost: 2.0,
    }];
    assert_eq!(Polynomial::fit(1, &one), None);
}
