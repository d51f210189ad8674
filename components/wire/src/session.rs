//! Offers and claims between an entry and an agent.

use units::{
    CostUnits, FlowWeight, Incarnation, OrganisationName, PrefixHash, RequestId, ServiceName,
    SlotCount,
};

units::data! {
    /// Organisation and service: what fair shares are kept for.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct FlowKey {
        /// The organisation that asks.
        pub organisation: OrganisationName,
        /// The service that is asked.
        pub service: ServiceName,
    }

    /// A request that waits for a target.
    pub struct RequestOffer {
        /// The request.
        pub request: RequestId,
        /// The flow that it belongs to.
        pub flow: FlowKey,
        /// Share of the organisation.
        pub weight: FlowWeight,
        /// Rough cost of the request.
        pub cost_estimate: CostUnits,
        /// Hash of the start of the prompt.
        pub prefix: PrefixHash,
        /// How long the request has waited, in milliseconds.
        pub waited_ms: u64,
    }

    /// Message of an entry to an agent on the session stream.
    pub enum EntryMessage {
        /// A request waits.
        Offer(RequestOffer),
        /// A request is no longer to be had; a claim of it is void.
        Withdraw(RequestId),
        /// Asks for a [`AgentMessage::Pong`] with the same number.
        Ping(u64),
    }

    /// Message of an agent to an entry on the session stream.
    pub enum AgentMessage {
        /// First message of each session.
        Ready {
            /// Start of the agent's process.
            incarnation: Incarnation,
            /// The service of the target.
            service: ServiceName,
        },
        /// The agent has reserved a slot for the request. The entry answers with a run stream or a
        /// withdrawal.
        Claim(RequestId),
        /// The agent has free slots and no offers.
        FreeSlots {
            /// The service of the target.
            service: ServiceName,
            /// Free slots.
            free: SlotCount,
        },
        /// The agent takes no new work any more.
        Leaving,
        /// Answer to [`EntryMessage::Ping`].
        Pong(u64),
    }
}
