use persimmon_types::Size;

/// A tree over the workers' rooms whose nodes hold the largest room in each dimension below them.
///
/// Finds a worker with enough room in logarithmic time when the dimensions go together; a node
/// whose maxima come from different workers costs a step back.
#[derive(Debug, Clone)]
pub(crate) struct RoomIndex {
    leaves: usize,
    nodes: Vec<Size>,
}

impl RoomIndex {
    pub(crate) fn new() -> Self {
        Self {
            leaves: 1,
            nodes: vec![Size::ZERO; 2],
        }
    }

    pub(crate) fn set(&mut self, position: usize, room: Size) {
        while position >= self.leaves {
            self.grow();
        }
        let mut node = self.leaves + position;
        self.nodes[node] = room;
        while node > 1 {
            node /= 2;
            let larger = self.nodes[2 * node].max(self.nodes[2 * node + 1]);
            if self.nodes[node] == larger {
                return;
            }
            self.nodes[node] = larger;
        }
    }

    /// The first position at or after `from` whose room fits `size`.
    pub(crate) fn next_fit(&self, from: usize, size: Size) -> Option<usize> {
        self.descend(1, 0, self.leaves, from, size)
    }

    fn descend(
        &self,
        node: usize,
        low: usize,
        width: usize,
        from: usize,
        size: Size,
    ) -> Option<usize> {
        if low + width <= from || !size.fits(self.nodes[node]) {
            return None;
        }
        if width == 1 {
            return Some(low);
        }
        let half = width / 2;
        self.descend(2 * node, low, half, from, size)
            .or_else(|| self.descend(2 * node + 1, low + half, half, from, size))
    }

    fn grow(&mut self) {
        let old = self.nodes[self.leaves..].to_vec();
        self.leaves *= 2;
        self.nodes = vec![Size::ZERO; 2 * self.leaves];
        self.nodes[self.leaves..self.leaves + old.len()].copy_from_slice(&old);
        for node in (1..self.leaves).rev() {
            self.nodes[node] = self.nodes[2 * node].max(self.nodes[2 * node + 1]);
        }
    }
}
