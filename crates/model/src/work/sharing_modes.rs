/// Which decisions weigh workspaces and pools against each other while capacity is short.
///
/// All are off by default; see `docs/design/18-competition.md`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharingModes {
    /// Whether jobs are admitted by the work that waits for their pool's cores and by the share of
    /// their workspace. Otherwise the rate of recent starts decides.
    pub work_admission: bool,
    /// Whether the workspaces of a pool take turns at starting tasks, in proportion to their
    /// weights. Otherwise the job with the earliest latest start goes first.
    pub fair_order: bool,
    /// Whether the fleet is divided by work that can still count, and busy hosts leave pools above
    /// their part. Otherwise each pool takes idle hosts until it has what it wants.
    pub fair_division: bool,
}

impl SharingModes {
    /// All decisions on.
    pub const ALL: Self = Self {
        work_admission: true,
        fair_order: true,
        fair_division: true,
    };

    /// Whether the work that callers offer has to be measured.
    pub fn needs_offers(self) -> bool {
        self.work_admission || self.fair_division
    }

    /// Whether the cores of each pool have to be known.
    pub fn needs_pool_cores(self) -> bool {
        self.work_admission || self.fair_order
    }
}
