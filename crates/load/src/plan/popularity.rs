//! Popularity of adapters.

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

/// Adapters drawn after a Zipf distribution, whose popular ones may change.
#[derive(Clone, Debug)]
pub struct Popularity {
    cumulative: Vec<f64>,
    by_rank: Vec<u32>,
}

impl Popularity {
    /// Ranks `count` adapters at random.
    pub fn new(count: u64, zipf_exponent: f64, random: &mut ChaCha8Rng) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=count)
            .map(|rank| {
                sum += (rank as f64).powf(-zipf_exponent);
                sum
            })
            .collect();
        let mut by_rank: Vec<u32> = (0..count as u32).collect();
        by_rank.shuffle(random);
        Self {
            cumulative,
            by_rank,
        }
    }

    /// Draws one adapter.
    pub fn draw(&self, random: &mut ChaCha8Rng) -> u32 {
        let total = self.cumulative.last().copied().unwrap_or_default();
        let point = random.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum < point);
        self.by_rank[rank.min(self.by_rank.len() - 1)]
    }

    /// Makes the `adapters` most popular ones change places with cold ones.
    pub fn shift(&mut self, adapters: u64, random: &mut ChaCha8Rng) {
        let (popular, cold) = self.by_rank.split_at_mut(adapters as usize);
        for place in popular {
            let other = random.random_range(0..cold.len());
            std::mem::swap(place, &mut cold[other]);
        }
    }
}
