//! Stable hash, which gives the same result in every process.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a sequence of byte strings to the same value in every process and version.
///
/// The algorithm of the standard library's hasher may change between versions. During an update,
/// nodes of two versions must still choose the same control node for a flow or service.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        // Separates the parts, so that ("ab", "c") and ("a", "bc") differ.
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix_bits(hash)
}

/// Distributes the entropy over all bits (finaliser of SplitMix64).
fn mix_bits(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
