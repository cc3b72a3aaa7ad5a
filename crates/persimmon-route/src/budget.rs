/// Limits retries to a percentage of the requests, with a small burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    burst: u32,
    balance_hundredths: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows retries for `percent` of the requests and accumulates
    /// at most `burst` of them.
    pub fn new(percent: u32, burst: u32) -> Self {
        Self {
            percent,
            burst,
            balance_hundredths: 0,
        }
    }

    /// Adds the part of a retry that one request earns.
    pub fn deposit(&mut self) {
        let balance_max = u64::from(self.burst) * 100;
        self.balance_hundredths =
            (self.balance_hundredths + u64::from(self.percent)).min(balance_max);
    }

    /// Withdraws one retry; returns `false` if the budget has less than one.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.balance_hundredths.checked_sub(100);
        self.balance_hundredths = left.unwrap_or(self.balance_hundredths);
        left.is_some()
    }
}
