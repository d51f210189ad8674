//! Memory that the running requests of an entry need at one target.

use std::collections::HashMap;

/// Percentage of the expected output for which memory is reserved. The hint of a caller is the median,
/// and outputs vary widely above it.
const OUTPUT_RESERVE_PERCENT: u64 = 150;

/// Memory that one request needs while it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMemory {
    /// Tokens that no other request shares.
    pub own_tokens: u64,
    /// Id and size of the last shared part, which the requests of a session have in common.
    pub session: Option<(u64, u64)>,
    /// Id and size of each part before it, which requests of several sessions have in common.
    pub common: Vec<(u64, u64)>,
}

impl RequestMemory {
    /// Memory of a request with a prompt of `prompt_tokens` and these shared parts, in order. Without a
    /// hint, half of the maximum output is expected.
    pub fn new(
        prompt_tokens: u64,
        shared: impl IntoIterator<Item = (u64, u64)>,
        output_hint: Option<u64>,
        max_output: u64,
    ) -> Self {
        let mut common: Vec<(u64, u64)> = shared.into_iter().collect();
        let session = common.pop();
        let shared_tokens = common
            .iter()
            .chain(&session)
            .fold(0_u64, |sum, (_, tokens)| sum.saturating_add(*tokens));
        let expected = output_hint.unwrap_or(max_output / 2);
        let reserved = expected.saturating_mul(OUTPUT_RESERVE_PERCENT) / 100;
        Self {
            own_tokens: prompt_tokens
                .saturating_sub(shared_tokens)
                .saturating_add(reserved.min(max_output)),
            session,
            common,
        }
    }
}

/// Shared parts of running requests, each counted once.
#[derive(Debug, Clone, Default)]
struct PartLedger {
    tokens: u64,
    /// Size of each part, and the number of running requests that have it.
    parts: HashMap<u64, (u64, u32)>,
}

impl PartLedger {
    fn add(&mut self, (id, tokens): (u64, u64)) {
        let (size, users) = self.parts.entry(id).or_insert((tokens, 0));
        if *users == 0 {
            self.tokens = self.tokens.saturating_add(*size);
        }
        *users += 1;
    }

    fn remove(&mut self, id: u64) {
        let Some((size, users)) = self.parts.get_mut(&id) else {
            return;
        };
        *users -= 1;
        if *users == 0 {
            self.tokens = self.tokens.saturating_sub(*size);
            self.parts.remove(&id);
        }
    }

    /// Tokens by which a part would raise the sum.
    fn needed(&self, (id, tokens): (u64, u64)) -> u64 {
        match self.parts.contains_key(&id) {
            true => 0,
            false => tokens,
        }
    }
}

/// Sum of the memory of the requests of an entry that run at one target.
#[derive(Debug, Clone, Default)]
pub struct MemoryLedger {
    own_tokens: u64,
    sessions: PartLedger,
    common: PartLedger,
}

impl MemoryLedger {
    /// Tokens held by the running requests, without common parts.
    pub fn held_tokens(&self) -> u64 {
        self.own_tokens.saturating_add(self.sessions.tokens)
    }

    /// Tokens of the common parts.
    pub fn common_tokens(&self) -> u64 {
        self.common.tokens
    }

    /// Tokens by which a request would raise the sum, and those of common parts.
    pub fn needed(&self, memory: &RequestMemory) -> (u64, u64) {
        let session = memory.session.iter();
        let session = session.map(|part| self.sessions.needed(*part));
        let common = memory.common.iter().map(|part| self.common.needed(*part));
        (
            session.fold(memory.own_tokens, u64::saturating_add),
            common.fold(0, u64::saturating_add),
        )
    }

    /// Adds a request that starts to run.
    pub fn add(&mut self, memory: &RequestMemory) {
        self.own_tokens = self.own_tokens.saturating_add(memory.own_tokens);
        memory
            .session
            .iter()
            .for_each(|part| self.sessions.add(*part));
        memory.common.iter().for_each(|part| self.common.add(*part));
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, memory: &RequestMemory) {
        self.own_tokens = self.own_tokens.saturating_sub(memory.own_tokens);
        memory
            .session
            .iter()
            .for_each(|(id, _)| self.sessions.remove(*id));
        memory
            .common
            .iter()
            .for_each(|(id, _)| self.common.remove(*id));
    }
}
