//! Orders that wait to be sent.

use crate::RunnerIndex;
use persimmon_sched::{JobId, Order, TaskId};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Orders that were not sent yet. The jobs take turns, so that the many orders of a large one don't
/// keep those of others waiting, and so do starts and other orders.
#[derive(Debug, Default)]
pub(crate) struct OrderQueue {
    starts: Turns,
    others: Turns,
    /// Runs with a stop among the orders.
    stopped: HashSet<(TaskId, u32)>,
    /// Runs with a CPU limit among the orders, and the latest of their limits in percent.
    limits: HashMap<(TaskId, u32), u8>,
    is_start_next: bool,
}

/// Orders of one kind by job, with the jobs in the order of their turns.
#[derive(Debug, Default)]
struct Turns {
    orders: BTreeMap<JobId, VecDeque<(RunnerIndex, Order)>>,
    turns: VecDeque<JobId>,
}

impl Turns {
    fn push(&mut self, job: JobId, runner: RunnerIndex, order: Order) {
        let orders = self.orders.entry(job).or_default();
        if orders.is_empty() {
            self.turns.push_back(job);
        }
        orders.push_back((runner, order));
    }

    fn pop(&mut self) -> Option<(RunnerIndex, Order)> {
        let job = self.turns.pop_front()?;
        let orders = self.orders.get_mut(&job)?;
        let next = orders.pop_front();
        if orders.is_empty() {
            self.orders.remove(&job);
        } else {
            self.turns.push_back(job);
        }
        next
    }

    fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Removes and returns the orders for a runner.
    fn remove_runner(&mut self, runner: RunnerIndex) -> Vec<Order> {
        let mut removed = Vec::new();
        for orders in self.orders.values_mut() {
            let (of_runner, others) = std::mem::take(orders)
                .into_iter()
                .partition(|(index, _)| *index == runner);
            *orders = others;
            let of_runner: VecDeque<_> = of_runner;
            removed.extend(of_runner.into_iter().map(|(_, order)| order));
        }
        self.orders.retain(|_, orders| !orders.is_empty());
        self.turns.retain(|job| self.orders.contains_key(job));
        removed
    }
}

impl OrderQueue {
    /// Adds an order. A stop or a limit of a run takes the place of an earlier one: the engine repeats
    /// those without an answer.
    pub(crate) fn push(&mut self, runner: RunnerIndex, order: Order) {
        match order {
            Order::Start { task, .. } => self.starts.push(task.job, runner, order),
            Order::Stop { task, run, .. } => {
                if self.stopped.insert((task, run)) {
                    self.others.push(task.job, runner, order);
                }
            }
            Order::Throttle {
                task, run, percent, ..
            } => {
                if self.limits.insert((task, run), percent).is_none() {
                    self.others.push(task.job, runner, order);
                }
            }
        }
    }

    /// Returns whether there is an order to send, which is no start unless `may_start`.
    pub(crate) fn has_next(&self, may_start: bool) -> bool {
        !self.others.is_empty() || (may_start && !self.starts.is_empty())
    }

    /// Takes the next order to send, which is no start unless `may_start`.
    pub(crate) fn pop(&mut self, may_start: bool) -> Option<(RunnerIndex, Order)> {
        let has_start = may_start && !self.starts.is_empty();
        let is_start = has_start && (self.is_start_next || self.others.is_empty());
        self.is_start_next = !is_start;
        if is_start {
            return self.starts.pop();
        }
        let (runner, mut order) = self.others.pop()?;
        let latest_percent = self.forget(&order);
        if let Order::Throttle { percent, .. } = &mut order {
            *percent = latest_percent.unwrap_or(*percent);
        }
        Some((runner, order))
    }

    /// Forgets that an order is among the others; returns the latest limit of its run.
    fn forget(&mut self, order: &Order) -> Option<u8> {
        match order {
            Order::Start { .. } => None,
            Order::Stop { task, run, .. } => {
                self.stopped.remove(&(*task, *run));
                None
            }
            Order::Throttle { task, run, .. } => self.limits.remove(&(*task, *run)),
        }
    }

    /// Removes the orders for a runner; returns the starts among them.
    pub(crate) fn remove_runner(&mut self, runner: RunnerIndex) -> Vec<Order> {
        for order in self.others.remove_runner(runner) {
            self.forget(&order);
        }
        self.starts.remove_runner(runner)
    }

    /// Removes all orders; returns the starts among them.
    pub(crate) fn clear(&mut self) -> Vec<Order> {
        let removed = std::mem::take(self);
        let starts = removed.starts.orders.into_values().flatten();
        starts.map(|(_, order)| order).collect()
    }
}
