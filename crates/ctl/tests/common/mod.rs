//! A key-value service that fails at random, from a seed.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use monsoonspread_borders::{CasOutcome, CreateOutcome, KeyValueStore, StoreError, Stored};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;

/// A write that was sent and has not taken effect.
#[derive(Clone)]
struct Write {
    key: String,
    expected_mod_revision: u64,
    value: Vec<u8>,
}

/// What becomes of a call.
enum Fate {
    Answered,
    Unreachable,
    LostAfter,
    LostBefore,
    LostAndLate,
}

struct State {
    rows: BTreeMap<String, Stored>,
    revision: u64,
    late: Vec<Write>,
    random: ChaCha8Rng,
}

/// A key-value service whose calls fail before or after their effect, or take effect late.
pub struct UnreliableStore {
    state: Mutex<State>,
}

impl UnreliableStore {
    /// An empty service whose failures follow from `seed`.
    pub fn new(seed: u64) -> Self {
        let state = State {
            rows: BTreeMap::new(),
            revision: 0,
            late: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// The rows whose key starts with `prefix`, as they stand.
    pub fn rows(&self, prefix: &str) -> Vec<Stored> {
        let state = self.state.lock().expect("no panic before");
        let rows = state.rows.values();
        rows.filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Lets other operators go on, then runs a call under a random fate.
    async fn call<T>(
        &self,
        late: Option<Write>,
        effect: impl FnOnce(&mut State) -> T,
    ) -> Result<T, StoreError> {
        tokio::task::yield_now().await;
        let mut state = self.state.lock().expect("no panic before");
        state.run_late_writes();
        let lost = || StoreError::AnswerLost("lost".to_owned());
        match state.fate() {
            Fate::Answered => Ok(effect(&mut state)),
            Fate::Unreachable => Err(StoreError::Unreachable("down".to_owned())),
            Fate::LostBefore => Err(lost()),
            Fate::LostAfter => {
                effect(&mut state);
                Err(lost())
            }
            Fate::LostAndLate => {
                state.late.extend(late);
                Err(lost())
            }
        }
    }
}

impl State {
    fn fate(&mut self) -> Fate {
        match self.random.next_u32() % 10 {
            0 => Fate::Unreachable,
            1 => Fate::LostBefore,
            2 => Fate::LostAfter,
            3 => Fate::LostAndLate,
            _ => Fate::Answered,
        }
    }

    fn run_late_writes(&mut self) {
        if !self.random.next_u32().is_multiple_of(3) {
            return;
        }
        for write in std::mem::take(&mut self.late) {
            self.swap(write);
        }
    }

    fn swap(&mut self, write: Write) -> CasOutcome {
        let current = self.rows.get(&write.key);
        if current.map_or(0, |row| row.mod_revision) != write.expected_mod_revision {
            let current = current.cloned();
            return CasOutcome::Conflict { current };
        }
        self.revision += 1;
        let mod_revision = self.revision;
        let row = Stored {
            key: write.key.clone(),
            value: write.value,
            mod_revision,
        };
        self.rows.insert(write.key, row);
        CasOutcome::Written { mod_revision }
    }
}

#[async_trait]
impl KeyValueStore for UnreliableStore {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        self.call(None, |state| state.rows.get(key).cloned()).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, StoreError> {
        Ok(self.rows(prefix))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        value: &[u8],
    ) -> Result<CasOutcome, StoreError> {
        let write = Write {
            key: key.to_owned(),
            expected_mod_revision,
            value: value.to_vec(),
        };
        self.call(Some(write.clone()), |state| state.swap(write))
            .await
    }

    async fn create_all(&self, entries: &[(String, Vec<u8>)]) -> Result<CreateOutcome, StoreError> {
        let [(key, value)] = entries else {
            return Err(StoreError::Refused("one entry at a time".to_owned()));
        };
        match self.compare_and_swap(key, 0, value).await? {
            CasOutcome::Written { .. } => Ok(CreateOutcome::Created),
            CasOutcome::Conflict { current } => Ok(CreateOutcome::Exists(vec![current])),
        }
    }

    async fn delete(&self, _key: &str, _expected: u64) -> Result<CasOutcome, StoreError> {
        Err(StoreError::Refused("nothing is deleted here".to_owned()))
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: u64,
    ) -> Result<mpsc::Receiver<Stored>, StoreError> {
        Err(StoreError::Refused("nothing is watched here".to_owned()))
    }
}
