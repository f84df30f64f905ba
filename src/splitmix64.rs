//! Spreading numbers over 64 bits, for samples and draws that have to repeat (the finalizer of SplitMix64, Steele et
//! al., "Fast splittable pseudorandom number generators", 2014).

/// SplitMix64's increment.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Spreads a number.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The next number of a sequence.
pub fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(INCREMENT);
    mix(*state)
}
