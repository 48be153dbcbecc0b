//! Seeded random numbers.

use crate::Micros;

/// SplitMix64 generator for jitter and reproducible tests. It must not be used for secrets.
///
/// ```
/// let (mut one, mut two) = (model::SeededRandom::new(7), model::SeededRandom::new(7));
/// assert_eq!(one.next_u64(), two.next_u64());
/// assert!(one.below(10) < 10);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator; equal seeds give equal numbers.
    pub const fn new(seed: u64) -> Self {
        SeededRandom(seed)
    }

    /// Returns the next number.
    pub const fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `limit`, or zero if that is zero.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next_u64() % limit.max(1)
    }

    /// Returns a number from 0 up to but not including 1.
    pub fn unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random span between half of `span` and the whole of it.
    pub fn jitter(&mut self, span: Micros) -> Micros {
        let half = span.0 / 2;
        Micros(half + self.below(span.0 - half + 1))
    }
}
