//! Which batch runs give way so that tail latencies come down.

/// A batch run beside services whose tail latencies are too high.
#[derive(Debug, Clone, PartialEq)]
pub struct Disturber<C> {
    /// What it costs its caller if the run gives way; the least gives way first.
    pub cost: C,
    /// By how much it raises the logarithm of each tail latency, in the order of the excesses.
    pub rises: Vec<f64>,
}

/// Chooses the runs that give way, by index: those that cost least, until the rises that end with them
/// cover the excess of the logarithm of each tail latency, or none is left that contributes to one. Of
/// runs that cost the same, the one that raises a tail latency most gives way first.
pub fn relieve<C: Ord>(disturbers: &[Disturber<C>], excesses: &[f64]) -> Vec<usize> {
    let largest = |it: &Disturber<C>| it.rises.iter().copied().fold(0.0, f64::max);
    let mut order: Vec<_> = (0..disturbers.len()).collect();
    order.sort_by(|&a, &b| {
        let (a, b) = (&disturbers[a], &disturbers[b]);
        let by_rise = largest(b).total_cmp(&largest(a));
        a.cost.cmp(&b.cost).then(by_rise)
    });
    let mut left = excesses.to_vec();
    let mut chosen = Vec::new();
    for at in order {
        let rises = &disturbers[at].rises;
        let helps = left
            .iter()
            .zip(rises)
            .any(|(&left, &rise)| left > 0.0 && rise > 0.0);
        if helps {
            left.iter_mut()
                .zip(rises)
                .for_each(|(left, rise)| *left -= rise);
            chosen.push(at);
        }
    }
    chosen
}
