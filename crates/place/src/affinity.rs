//! Rendezvous hashing, which ranks the members for a key.

/// Length of the prompt prefix that selects the preferred prefill runner, in bytes.
const PREFIX_BYTES: usize = 256;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of the start of a prompt.
pub fn prefix_key(prompt: &[u8]) -> u64 {
    fnv(FNV_OFFSET, &prompt[..prompt.len().min(PREFIX_BYTES)])
}

/// Rendezvous score of a member for a key; the member with the highest score is preferred.
pub fn score(key: u64, member: &str) -> u64 {
    mix(fnv(FNV_OFFSET ^ mix(key), member.as_bytes()))
}

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Finalizer of SplitMix64; FNV alone leaves the high bits of short keys nearly equal.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
