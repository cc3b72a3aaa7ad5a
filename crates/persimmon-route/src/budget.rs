/// Bounds retries to a part of the requests, with a small burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    burst: u32,
    hundredths: u64,
}

impl RetryBudget {
    /// Retries for `percent` of the requests, and at most `burst` saved up.
    pub fn new(percent: u32, burst: u32) -> Self {
        Self {
            percent,
            burst,
            hundredths: 0,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        let most = u64::from(self.burst) * 100;
        self.hundredths = (self.hundredths + u64::from(self.percent)).min(most);
    }

    /// Takes one retry if the budget has it.
    pub fn spend(&mut self) -> bool {
        let left = self.hundredths.checked_sub(100);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}
