//! The SplitMix64 generator and its finalizer, for sampling and random numbers that must repeat (Steele et
//! al., "Fast splittable pseudorandom number generators", 2014).

/// Increment of the generator's state.
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the 64-bit hash of a number, by the finalizer of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Advances the state of a generator and returns its next number.
pub fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(INCREMENT);
    mix(*state)
}
