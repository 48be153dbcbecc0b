//! Seeded random numbers.

use model::Micros;

/// SplitMix64. Only spreads retries in time, so its quality does not matter beyond that.
#[derive(Debug)]
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        SeededRandom(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }

    /// Returns between half of `span` and the whole of it.
    pub(crate) fn jitter(&mut self, span: Micros) -> Micros {
        let half = span.0 / 2;
        Micros(half + self.next() % (span.0 - half + 1))
    }
}
