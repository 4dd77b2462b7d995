use wire::peer::envelope::Body;

/// Kind of a message body; received messages are queued by kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyKind {
    /// A heartbeat.
    Beat,
    /// Demand of an entry host for slots of pools.
    SlotDemand,
    /// Response of a pool's broker.
    SlotGrant,
    /// Request to claim a request id before it runs.
    ClaimRequest,
    /// Response to such a request.
    ClaimReply,
    /// Configuration changes, or a request for them.
    ChangeTail,
    /// Messages that move units of team limits between entry hosts.
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

    /// The kind whose queue this one uses. Requests and responses share a queue, so that one
    /// thread reads both in the order of arrival.
    #[must_use]
    pub const fn queue_kind(self) -> Self {
        match self {
            Self::SlotGrant => Self::SlotDemand,
            Self::ClaimReply => Self::ClaimRequest,
            other => other,
        }
    }
}
