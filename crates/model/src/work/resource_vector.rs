/// Amounts of processor time, memory and accelerators, of a host or of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceVector {
    /// Thousandths of a processor core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl ResourceVector {
    /// Returns the sum, component by component.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory_mb: self.memory_mb + other.memory_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn max_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Returns the minimum of each component.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// Returns what is left of this limit when `used` is in use. A component of zero in the limit
    /// means no limit.
    #[must_use]
    pub fn remaining_of_limit(self, used: Self) -> Self {
        let left = |limit: u64, used: u64| match limit {
            0 => u64::MAX,
            limit => limit.saturating_sub(used),
        };
        Self {
            cpu: left(self.cpu, used.cpu),
            memory_mb: left(self.memory_mb, used.memory_mb),
            gpu: left(self.gpu, used.gpu),
        }
    }

    /// Returns the difference, component by component; never below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns each component times `count`.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu: self.cpu * count,
            memory_mb: self.memory_mb * count,
            gpu: self.gpu * count,
        }
    }

    /// Returns how many times these amounts fit in `available`; `u64::MAX` if all are zero.
    pub fn count_in(self, available: Self) -> u64 {
        let count = |amount: u64, available: u64| available.checked_div(amount);
        let counts = [
            count(self.cpu, available.cpu),
            count(self.memory_mb, available.memory_mb),
            count(self.gpu, available.gpu),
        ];
        counts.into_iter().flatten().min().unwrap_or(u64::MAX)
    }

    /// Returns true if no component exceeds that of `available`.
    pub fn fits_in(self, available: Self) -> bool {
        self.cpu <= available.cpu
            && self.memory_mb <= available.memory_mb
            && self.gpu <= available.gpu
    }
}
