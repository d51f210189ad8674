//! Generated histories of one response: lost connections, repeated and reordered chunks.

use agent::{BUFFER_SIZE, RunBuffer};
use entry::{ChunkSequence, ChunkVerdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 1_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

#[derive(Debug, Clone)]
enum Event {
    /// The target produces a chunk of this size.
    Produce(usize),
    /// The next chunk on the connection arrives.
    Deliver,
    /// The connection is lost; the entry resumes.
    Reconnect,
    /// The agent sends an earlier chunk again.
    Repeat(u64),
    /// The entry acknowledges what it has.
    Acknowledge,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        4 => (1usize..200_000).prop_map(Event::Produce),
        6 => Just(Event::Deliver),
        1 => Just(Event::Reconnect),
        1 => (0u64..8).prop_map(Event::Repeat),
        1 => Just(Event::Acknowledge),
    ];
    proptest::collection::vec(event, 0..120)
}

/// Response as agent, connection and entry see it.
struct Path {
    buffer: RunBuffer,
    sequence: ChunkSequence,
    sent: u64,
    produced: Vec<usize>,
    received: Vec<usize>,
}

impl Path {
    fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Produce(size) if self.buffer.has_room() => {
                self.buffer.push(&vec![0; *size]);
                self.produced.push(*size);
            }
            Event::Produce(_) => {}
            Event::Deliver => self.deliver()?,
            Event::Reconnect => self.sent = self.sequence.next_number(),
            Event::Repeat(back) => {
                let number = self.sent.saturating_sub(*back);
                if number < self.sequence.next_number() {
                    prop_assert_eq!(self.sequence.accept(number), Ok(ChunkVerdict::Repeated));
                }
            }
            Event::Acknowledge => self.buffer.acknowledge(self.sequence.next_number()),
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        let found = self.buffer.get(self.sent);
        prop_assert!(found.is_ok(), "a chunk that the entry lacks was dropped");
        let Ok(Some(chunk)) = found else {
            return Ok(());
        };
        if self.sequence.accept(chunk.number) == Ok(ChunkVerdict::Next) {
            self.received.push(chunk.bytes.len());
        }
        self.sent += 1;
        Ok(())
    }
}

/// Guards against a chunk that is lost or doubled by a resume, and against a buffer that grows
/// without bound while the entry is slow.
#[test]
fn resumed_response_is_complete_and_in_order() {
    let check = |(keeps, events): (bool, Vec<Event>)| {
        let mut path = Path {
            buffer: RunBuffer::new(keeps),
            sequence: ChunkSequence::default(),
            sent: 0,
            produced: Vec::new(),
            received: Vec::new(),
        };
        for event in &events {
            path.step(event)?;
            prop_assert!(path.buffer.size().0 < 2 * BUFFER_SIZE.0);
        }
        path.sent = path.sequence.next_number();
        while path.sequence.next_number() < path.buffer.next() {
            path.deliver()?;
        }
        prop_assert_eq!(path.sequence.check_end(path.buffer.next()), Ok(()));
        prop_assert_eq!(path.received, path.produced);
        Ok(())
    };

    runner(3).run(&(any::<bool>(), events()), check).unwrap();
}

/// Guards against a gap that is taken for the end or for the next chunk.
#[test]
fn reordered_chunks_are_passed_on_in_order_or_fail() {
    let numbers = proptest::collection::vec(0u64..6, 0..40);
    let check = |numbers: Vec<u64>| {
        let mut sequence = ChunkSequence::default();
        let mut passed = Vec::new();
        for number in numbers {
            match sequence.accept(number) {
                Ok(ChunkVerdict::Next) => passed.push(number),
                Ok(ChunkVerdict::Repeated) => prop_assert!(passed.contains(&number)),
                Err(gap) => prop_assert_eq!((gap.got, gap.needed), (number, passed.len() as u64)),
            }
        }
        let expected: Vec<u64> = (0..passed.len() as u64).collect();
        prop_assert_eq!(&passed, &expected);
        prop_assert!(sequence.check_end(passed.len() as u64 + 1).is_err());
        Ok(())
    };

    runner(4).run(&numbers, check).unwrap();
}
