//! Weighted max-min shares of a capacity: nobody gets more than its demand, and nobody could get more without
//! taking it from one that has less for its weight. What one does not demand is lent to the others. This is
//! progressive filling; with more than one resource, it applies to the dominant one.

/// A demand for a part of a capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// Demanded amount, in the unit of the capacity.
    pub amount: f64,
    /// Weight relative to the other demands.
    pub weight: f64,
}

/// Returns the share of each demand. All shares grow evenly by weight until each demand is met or the capacity is
/// used up; the demands are visited in the order in which they are met. Invalid amounts count as 0.
pub fn weighted_max_min(demands: &[WeightedDemand], capacity: f64) -> Vec<f64> {
    let non_negative = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
    let fill_level = |demand: &WeightedDemand| {
        non_negative(demand.amount) / non_negative(demand.weight).max(1e-9)
    };
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| fill_level(&demands[*a]).total_cmp(&fill_level(&demands[*b])));
    let mut total_weight: f64 =
        demands.iter().map(|demand| non_negative(demand.weight).max(1e-9)).sum();
    let mut remaining = non_negative(capacity);
    let mut shares = vec![0.0; demands.len()];
    for i in order {
        let weight = non_negative(demands[i].weight).max(1e-9);
        shares[i] = non_negative(demands[i].amount).min(remaining * weight / total_weight);
        remaining -= shares[i];
        total_weight = (total_weight - weight).max(1e-12);
    }
    shares
}
