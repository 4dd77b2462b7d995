/// Processors, memory and accelerators, of a host or of what runs on it.
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
    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory_mb: self.memory_mb + other.memory_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// The larger of both, of each resource by itself.
    #[must_use]
    pub fn max_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// The smaller of both, of each resource by itself.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpu: self.gpu.min(other.gpu),
        }
    }

    /// What may still be taken where `used` of this limit is; zero parts of the limit mean none.
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

    /// What is left of this without `other`; never below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// This, `count` times.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self {
            cpu: self.cpu * count,
            memory_mb: self.memory_mb * count,
            gpu: self.gpu * count,
        }
    }

    /// True if it goes into `room`.
    pub fn fits_in(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory_mb <= room.memory_mb && self.gpu <= room.gpu
    }
}
