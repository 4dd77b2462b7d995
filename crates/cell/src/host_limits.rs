use model::HostStrength;

/// What a process may use of its host, according to the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLimits {
    /// Processor, in cores.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Bandwidth of the network link, in megabits a second.
    pub link_mbps: f64,
}

/// What an owner of a few hundred targets uses at its peak; more resources make little difference.
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
    /// Bandwidth of the network link, in bytes a second.
    pub fn link_bytes_per_second(&self) -> f64 {
        self.link_mbps * BYTES_PER_MEGABIT
    }

    /// How much load an owner on this host can handle, in thousandths of its peak use. The scarcest
    /// resource decides: a fast processor does not help an owner behind a narrow link.
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
