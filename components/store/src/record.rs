//! Encoding of records: a header with length and checksums, the body, and an end mark.
//!
//! The length has a checksum of its own, so that a damaged length is not mistaken for a torn record
//! at the end of a file. The end mark is not zero, which distinguishes a damaged record from one
//! whose end a file system had allocated but not yet written before a crash.

use std::mem;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of the header in bytes: length, checksum of the length, checksum of the body.
const HEADER_BYTES: usize = 3 * mem::size_of::<u32>();
/// Last byte of a record.
const END_MARK: u8 = 0xA5;
/// Initial value of the checksum of the length, so that a header of zeros is not valid.
const LENGTH_CHECKSUM_SEED: u32 = 0x6269_6C62;

/// Result of reading one record.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RecordRead<'a> {
    /// A complete record, and the bytes after it.
    Complete { body: &'a [u8], rest: &'a [u8] },
    /// The record was not completely written, and no data follows it.
    Torn,
    /// The record is damaged in another way.
    Corrupt { reason: &'static str },
}

/// Encodes a value as a record.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, postcard::Error> {
    let body = postcard::to_allocvec(value)?;
    let size = u32::try_from(body.len()).map_err(|_| postcard::Error::SerializeBufferFull)?;
    let length = size.to_le_bytes();
    let mut record = Vec::with_capacity(HEADER_BYTES + body.len() + 1);
    record.extend(length);
    record.extend(length_checksum(length).to_le_bytes());
    record.extend(crc32fast::hash(&body).to_le_bytes());
    record.extend(body);
    record.push(END_MARK);
    Ok(record)
}

/// Decodes the body of a record; `None` if it is not a value of this type.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(value)
}

/// Reads the first record of `bytes`.
pub(crate) fn read(bytes: &[u8]) -> RecordRead<'_> {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return RecordRead::Torn;
    };
    let word = |index: usize| {
        let start = index * mem::size_of::<u32>();
        [
            header[start],
            header[start + 1],
            header[start + 2],
            header[start + 3],
        ]
    };
    if length_checksum(word(0)) != u32::from_le_bytes(word(1)) {
        // A completely written record has a non-zero end mark, so if only zeros follow the header,
        // the write was interrupted.
        return match rest.iter().all(|byte| *byte == 0) {
            true => RecordRead::Torn,
            false => corrupt("the checksum of the record length is wrong"),
        };
    }
    let length = u32::from_le_bytes(word(0)) as usize;
    if rest.len() <= length {
        return RecordRead::Torn;
    }
    let (body, end) = rest.split_at(length);
    let (mark, rest) = (end[0], &end[1..]);
    let is_valid = crc32fast::hash(body) == u32::from_le_bytes(word(2));
    match (is_valid, mark) {
        // A zero in place of the end mark does no harm, since the checksum of the body is right.
        (true, END_MARK | 0) => RecordRead::Complete { body, rest },
        (false, 0) if rest.iter().all(|byte| *byte == 0) => RecordRead::Torn,
        (true, _) => corrupt("the end mark of the record is wrong"),
        (false, _) => corrupt("the checksum of the record body is wrong"),
    }
}

fn corrupt(reason: &'static str) -> RecordRead<'static> {
    RecordRead::Corrupt { reason }
}

fn length_checksum(length: [u8; 4]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(LENGTH_CHECKSUM_SEED);
    hasher.update(&length);
    hasher.finalize()
}
