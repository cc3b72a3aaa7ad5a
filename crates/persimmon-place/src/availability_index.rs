use persimmon_types::Size;

/// A segment tree over the workers' available sizes; each node holds the maximum per dimension of
/// the leaves below it.
///
/// Finds a worker that fits a size in logarithmic time when the dimensions are correlated; a node
/// whose maxima come from different workers costs a backtracking step.
#[derive(Debug, Clone)]
pub(crate) struct AvailabilityIndex {
    leaf_count: usize,
    nodes: Vec<Size>,
}

impl AvailabilityIndex {
    pub(crate) fn new() -> Self {
        Self {
            leaf_count: 1,
            nodes: vec![Size::ZERO; 2],
        }
    }

    pub(crate) fn set(&mut self, position: usize, available: Size) {
        while position >= self.leaf_count {
            self.grow();
        }
        let mut node = self.leaf_count + position;
        self.nodes[node] = available;
        while node > 1 {
            node /= 2;
            let maximum = self.nodes[2 * node].max(self.nodes[2 * node + 1]);
            if self.nodes[node] == maximum {
                return;
            }
            self.nodes[node] = maximum;
        }
    }

    /// The first position at or after `from` whose available size fits `size`.
    pub(crate) fn next_fit(&self, from: usize, size: Size) -> Option<usize> {
        self.descend(1, 0, self.leaf_count, from, size)
    }

    fn descend(
        &self,
        node: usize,
        first_leaf: usize,
        width: usize,
        from: usize,
        size: Size,
    ) -> Option<usize> {
        if first_leaf + width <= from || !size.fits(self.nodes[node]) {
            return None;
        }
        if width == 1 {
            return Some(first_leaf);
        }
        let half = width / 2;
        self.descend(2 * node, first_leaf, half, from, size)
            .or_else(|| self.descend(2 * node + 1, first_leaf + half, half, from, size))
    }

    fn grow(&mut self) {
        let leaves = self.nodes[self.leaf_count..].to_vec();
        self.leaf_count *= 2;
        self.nodes = vec![Size::ZERO; 2 * self.leaf_count];
        self.nodes[self.leaf_count..self.leaf_count + leaves.len()].copy_from_slice(&leaves);
        for node in (1..self.leaf_count).rev() {
            self.nodes[node] = self.nodes[2 * node].max(self.nodes[2 * node + 1]);
        }
    }
}
