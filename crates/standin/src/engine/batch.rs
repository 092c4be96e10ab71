//! The waiting queue and the batch.

use std::collections::{BTreeMap, HashSet};

use super::sequence::Sequence;

/// Place in the waiting queue: priority, then order of arrival.
type Turn = (i64, u64);

/// Requests that wait and requests that run.
#[derive(Debug, Default)]
pub(super) struct Batch {
    waiting: BTreeMap<Turn, Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
}

impl Batch {
    pub(super) fn waiting(&self) -> impl ExactSizeIterator<Item = &Sequence> {
        self.waiting.values()
    }

    pub(super) fn running(&self) -> &[Sequence] {
        &self.running
    }

    /// Adapters in the batch.
    pub(super) fn adapters(&self) -> usize {
        let models = self.running.iter().map(|sequence| sequence.model.as_str());
        models.collect::<HashSet<_>>().len()
    }

    /// Lets a request wait; a lower priority goes first, then the earlier arrival.
    pub(super) fn push(&mut self, priority: i64, sequence: Sequence) {
        self.arrivals += 1;
        self.waiting.insert((priority, self.arrivals), sequence);
    }

    /// Takes the requests out that fill the batch up to `places`, of those that are ready.
    pub(super) fn take_ready(
        &mut self,
        places: usize,
        is_ready: impl Fn(&str) -> bool,
    ) -> Vec<Sequence> {
        let free = places.saturating_sub(self.running.len());
        let turns = self
            .waiting
            .iter()
            .filter(|(_, sequence)| is_ready(&sequence.model))
            .map(|(turn, _)| *turn)
            .take(free)
            .collect::<Vec<_>>();
        turns
            .iter()
            .filter_map(|turn| self.waiting.remove(turn))
            .collect()
    }

    /// Puts a request into the batch.
    pub(super) fn enter(&mut self, sequence: Sequence) {
        self.running.push(sequence);
    }

    /// Generates one token for each request and takes those out that end.
    pub(super) fn generate(&mut self, tokens_per_chunk: u32) -> Vec<Sequence> {
        for sequence in &mut self.running {
            sequence.generate(tokens_per_chunk);
        }
        let ended = self.running.extract_if(.., |sequence| sequence.ends());
        ended.collect()
    }

    /// Takes every request out that nobody waits for any more.
    pub(super) fn take_cancelled(&mut self) -> Vec<Sequence> {
        self.take(Sequence::is_cancelled)
    }

    /// Takes every request for a copy out.
    pub(super) fn take_copy(&mut self, copy: &str) -> Vec<Sequence> {
        self.take(|sequence| sequence.model == copy)
    }

    /// Takes every request out.
    pub(super) fn take_all(&mut self) -> Vec<Sequence> {
        self.take(|_| true)
    }

    fn take(&mut self, is_taken: impl Fn(&Sequence) -> bool) -> Vec<Sequence> {
        let waiting = self
            .waiting
            .extract_if(.., |_, sequence| is_taken(sequence));
        let waiting = waiting.map(|(_, sequence)| sequence);
        let running = self.running.extract_if(.., |sequence| is_taken(sequence));
        waiting.chain(running).collect()
    }
}
