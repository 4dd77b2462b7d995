use model::HostStrength;

/// What the host of a process lets it use, as the settings say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLimits {
    /// Processor, in cores.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Bandwidth of its link, in megabits a second.
    pub link_mbps: f64,
}

/// What an owner of a few hundred targets uses at its busiest; more helps it little.
const FULL_STRENGTH: HostLimits = HostLimits {
    cores: 0.5,
    memory_mb: 256.0,
    link_mbps: 100.0,
};

impl Default for HostLimits {
    fn default() -> Self {
        FULL_STRENGTH
    }
}

/// Bytes a second of a link of one megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

impl HostLimits {
    /// What its link carries, in bytes a second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_mbps * BYTES_PER_MEGABIT
    }

    /// How much an owner on this host can carry, in thousandths of what it uses at its busiest.
    /// The scarcest resource decides: with a fast processor behind a narrow link an owner is slow.
    pub fn strength(&self) -> HostStrength {
        let scarcest = (self.cores / FULL_STRENGTH.cores)
            .min(self.memory_mb / FULL_STRENGTH.memory_mb)
            .min(self.link_mbps / FULL_STRENGTH.link_mbps)
            .clamp(0.0, 1.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and 1000"
        )]
        let thousandths = (scarcest * 1000.0).round() as HostStrength;
        thousandths
    }
}
