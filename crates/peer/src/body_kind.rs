use wire::peer::envelope::Body;

/// What a message is about; each kind that arrives has a queue of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyKind {
    /// A heartbeat.
    Beat,
    /// What an entry host would use of a pool.
    SlotDemand,
    /// The answer of a pool's broker.
    SlotGrant,
    /// A question whether a request id may run.
    ClaimRequest,
    /// The answer to such a question.
    ClaimReply,
    /// Changes of the configuration, or a request for them.
    ChangeTail,
    /// Units of team limits on the move.
    QuotaTalk,
}

impl BodyKind {
    /// All kinds, in the order of [`BodyKind::index`].
    pub const ALL: [Self; 7] = [
        Self::Beat,
        Self::SlotDemand,
        Self::SlotGrant,
        Self::ClaimRequest,
        Self::ClaimReply,
        Self::ChangeTail,
        Self::QuotaTalk,
    ];

    /// The kind of a body.
    #[must_use]
    pub const fn of(body: &Body) -> Self {
        match body {
            Body::Beat(_) => Self::Beat,
            Body::SlotDemand(_) => Self::SlotDemand,
            Body::SlotGrant(_) => Self::SlotGrant,
            Body::ClaimRequest(_) => Self::ClaimRequest,
            Body::ClaimReply(_) => Self::ClaimReply,
            Body::ChangeTail(_) => Self::ChangeTail,
            Body::QuotaTalk(_) => Self::QuotaTalk,
        }
    }

    /// Position in [`BodyKind::ALL`].
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// The kind whose queue this one shares: a question and its answer go to the same duty,
    /// in the order in which they arrived.
    #[must_use]
    pub const fn queue_kind(self) -> Self {
        match self {
            Self::SlotGrant => Self::SlotDemand,
            Self::ClaimReply => Self::ClaimRequest,
            other => other,
        }
    }
}
