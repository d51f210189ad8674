//! Messages of a session stream: offers and claims between an entry and an agent.

use units::{
    CostUnits, FlowWeight, Incarnation, OrganisationName, PrefixHash, RequestId, ServiceName,
    SlotCount,
};

units::data! {
    /// Key of a flow: an organisation's requests to one service.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct FlowKey {
        /// Organisation of the callers.
        pub organisation: OrganisationName,
        /// Requested service.
        pub service: ServiceName,
    }

    /// A request that is waiting for a target.
    pub struct RequestOffer {
        /// Id of the request.
        pub request: RequestId,
        /// Flow of the request.
        pub flow: FlowKey,
        /// Weight of the organisation's share.
        pub weight: FlowWeight,
        /// Estimated cost of the request.
        pub cost_estimate: CostUnits,
        /// Hash of the prompt prefix.
        pub prefix: PrefixHash,
        /// Waiting time so far, in milliseconds.
        pub waited_ms: u64,
    }

    /// Message from an entry to an agent on the session stream.
    pub enum EntryMessage {
        /// Offers a waiting request.
        Offer(RequestOffer),
        /// Withdraws an offer. A claim of it that is already in transit has no effect.
        Withdraw(RequestId),
        /// Requests an [`AgentMessage::Pong`] with the same number.
        Ping(u64),
    }

    /// Message from an agent to an entry on the session stream.
    pub enum AgentMessage {
        /// First message of each session.
        Ready {
            /// Incarnation of the agent's process.
            incarnation: Incarnation,
            /// Service of the agent's target.
            service: ServiceName,
        },
        /// Claims a request, for which the agent has reserved a slot. The entry answers with a run
        /// stream or a withdrawal.
        Claim(RequestId),
        /// The agent has free slots and no offers to fill them.
        FreeSlots {
            /// Service of the agent's target.
            service: ServiceName,
            /// Number of free slots.
            free: SlotCount,
        },
        /// The agent accepts no new work.
        Leaving,
        /// Reply to [`EntryMessage::Ping`], with the same number.
        Pong(u64),
    }
}
