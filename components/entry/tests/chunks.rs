//! Generated event sequences of one response, with lost connections and with repeated and reordered
//! chunks.

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
    /// The connection is lost, and the entry resumes the response.
    Reconnect,
    /// The agent sends an earlier chunk again.
    Repeat(u64),
    /// The entry acknowledges all chunks that it has received.
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

/// State of one response at the agent, on the connection and at the entry.
struct ResponsePath {
    buffer: RunBuffer,
    sequence: ChunkSequence,
    next_to_send: u64,
    produced_sizes: Vec<usize>,
    received_sizes: Vec<usize>,
}

impl ResponsePath {
    fn step(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Produce(size) if self.buffer.has_room() => {
                self.buffer.push(&vec![0; *size]);
                self.produced_sizes.push(*size);
            }
            Event::Produce(_) => {}
            Event::Deliver => self.deliver()?,
            Event::Reconnect => self.next_to_send = self.sequence.next_number(),
            Event::Repeat(distance) => {
                let number = self.next_to_send.saturating_sub(*distance);
                if number < self.sequence.next_number() {
                    prop_assert_eq!(self.sequence.accept(number), Ok(ChunkVerdict::Repeated));
                }
            }
            Event::Acknowledge => self.buffer.acknowledge(self.sequence.next_number()),
        }
        Ok(())
    }

    fn deliver(&mut self) -> Result<(), TestCaseError> {
        let chunk = self.buffer.get(self.next_to_send);
        prop_assert!(
            chunk.is_ok(),
            "the agent discarded a chunk that the entry has not received"
        );
        let Ok(Some(chunk)) = chunk else {
            return Ok(());
        };
        if self.sequence.accept(chunk.number) == Ok(ChunkVerdict::Next) {
            self.received_sizes.push(chunk.bytes.len());
        }
        self.next_to_send += 1;
        Ok(())
    }
}

/// Guards against a chunk that is lost or duplicated when a response is resumed, and against a
/// buffer that grows without limit while the entry is slow.
#[test]
fn resumed_response_is_complete_and_in_order() {
    let check = |(keeps_chunks, events): (bool, Vec<Event>)| {
        let mut path = ResponsePath {
            buffer: RunBuffer::new(keeps_chunks),
            sequence: ChunkSequence::default(),
            next_to_send: 0,
            produced_sizes: Vec::new(),
            received_sizes: Vec::new(),
        };
        for event in &events {
            path.step(event)?;
            prop_assert!(path.buffer.size().0 < 2 * BUFFER_SIZE.0);
        }
        path.next_to_send = path.sequence.next_number();
        while path.sequence.next_number() < path.buffer.next_number() {
            path.deliver()?;
        }
        prop_assert_eq!(path.sequence.check_end(path.buffer.next_number()), Ok(()));
        prop_assert_eq!(path.received_sizes, path.produced_sizes);
        Ok(())
    };

    runner(3).run(&(any::<bool>(), events()), check).unwrap();
}

/// Guards against a gap that is accepted as the end of the response or as the next chunk.
#[test]
fn reordered_chunks_are_forwarded_in_order_or_fail() {
    let numbers = proptest::collection::vec(0u64..6, 0..40);
    let check = |numbers: Vec<u64>| {
        let mut sequence = ChunkSequence::default();
        let mut output = Vec::new();
        for number in numbers {
            match sequence.accept(number) {
                Ok(ChunkVerdict::Next) => output.push(number),
                Ok(ChunkVerdict::Repeated) => prop_assert!(output.contains(&number)),
                Err(gap) => prop_assert_eq!((gap.got, gap.needed), (number, output.len() as u64)),
            }
        }
        let expected: Vec<u64> = (0..output.len() as u64).collect();
        prop_assert_eq!(&output, &expected);
        prop_assert!(sequence.check_end(output.len() as u64 + 1).is_err());
        Ok(())
    };

    runner(4).run(&numbers, check).unwrap();
}
