use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of an instance's resources, in integers so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processors, in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// The number of whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Size {
    /// Zero in every dimension.
    pub const ZERO: Self = Self {
        cpu_millis: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Returns whether `self` fits into `available` in every dimension.
    pub fn fits(self, available: Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns how often `self` fits into `available`; [`u32::MAX`] if it is zero.
    pub fn count_in(self, available: Self) -> u32 {
        let count = |each: u32, all: u32| all.checked_div(each).unwrap_or(u32::MAX);
        count(self.cpu_millis, available.cpu_millis)
            .min(count(self.memory_mib, available.memory_mib))
            .min(count(self.accelerators, available.accelerators))
    }

    /// Adds in each dimension; `None` on overflow.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            cpu_millis: self.cpu_millis.checked_add(other.cpu_millis)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts in each dimension; `None` if any dimension would underflow.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        other.fits(self).then(|| self.saturating_sub(other))
    }

    /// Subtracts in each dimension, saturating at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger value in each dimension.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller value in each dimension.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns `percent` percent of each dimension, rounded down.
    pub fn percent(self, percent: u32) -> Self {
        let part = |amount: u32| (u64::from(amount) * u64::from(percent) / 100) as u32;
        Self {
            cpu_millis: part(self.cpu_millis),
            memory_mib: part(self.memory_mib),
            accelerators: part(self.accelerators),
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{} mcpu, {} MiB, {} acc",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}
