//! Weighted max-min shares: what each of several may have of what there is, so that nobody gets more than
//! it wants, and nobody could get more without taking it from one that has less for its weight. What is not
//! wanted is lent to the others. (The field's progressive filling; with more than one resource, of the
//! dominant one.)

/// One that wants something.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    pub amount: f64,
    pub weight: f64,
}

/// Fills all of them evenly, by weight, until each has what it wants or nothing is left: in order of how
/// soon they are full.
pub fn weighted_max_min(wants: &[WeightedDemand], capacity: f64) -> Vec<f64> {
    let sane = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
    let level = |w: &WeightedDemand| sane(w.amount) / sane(w.weight).max(1e-9);
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| level(&wants[*a]).total_cmp(&level(&wants[*b])));
    let mut weight: f64 = wants.iter().map(|w| sane(w.weight).max(1e-9)).sum();
    let mut left = sane(capacity);
    let mut got = vec![0.0; wants.len()];
    for i in order {
        let own = sane(wants[i].weight).max(1e-9);
        got[i] = sane(wants[i].amount).min(left * own / weight);
        left -= got[i];
        weight = (weight - own).max(1e-12);
    }
    got
}
