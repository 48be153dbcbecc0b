//! Queue of one database.

use model::{Micros, Name, RankConfig, RankMap};

/// Identifies one request at its pool owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkId(pub u64);

/// Limits of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Statements that execute at once.
    pub slots: u32,
    pub ranks: RankMap<RankConfig>,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkTicket {
    pub work: WorkId,
    pub rank: model::Rank,
    /// The caller that the fair share is counted for.
    pub caller: Name,
    /// Point in time by which the answer must be complete.
    pub deadline: Micros,
    /// Class of statements whose run times resemble each other, for the estimate of the service time.
    pub selector: Name,
    /// The request belongs to an open transaction, which already holds locks and a connection.
    pub in_transaction: bool,
}

/// Why a request was refused before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue of the rank holds its limit.
    QueueFull { limit: u32 },
    /// The expected wait is longer than the time that is left.
    DeadlineUnreachable { expected: Micros },
    /// The deadline passed while the request waited.
    DeadlinePassed,
}

/// A slot that was granted; returned with [`SlotQueue::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    pub work: WorkId,
    pub rank: model::Rank,
    /// Time between [`SlotQueue::enqueue`] and the grant.
    pub waited: Micros,
}

/// Counters of one queue, for the state dump.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStats {
    pub waiting: RankMap<u32>,
    pub running: RankMap<u32>,
    pub granted: RankMap<u64>,
    pub refused: RankMap<u64>,
    /// Slot time used, by rank.
    pub slot_time: RankMap<Micros>,
}

/// The queue of one database.
#[derive(Debug)]
pub struct SlotQueue {
    config: QueueConfig,
}

impl SlotQueue {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        SlotQueue { config }
    }

    /// Takes over new limits; work that runs or waits stays.
    pub fn reconfigure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Refuses at once when the queue is full or the deadline cannot be met.
    pub fn enqueue(&mut self, _now: Micros, _ticket: WorkTicket) -> Result<(), RefusalReason> {
        Ok(())
    }

    /// Removes a request that still waits; returns whether it did.
    pub fn cancel(&mut self, _work: WorkId) -> bool {
        false
    }

    /// Grants the next slot, if one is free and work waits. Call until it returns `None`.
    pub fn grant(&mut self, _now: Micros) -> Option<SlotGrant> {
        None
    }

    /// Returns a slot.
    pub fn finish(&mut self, _now: Micros, _work: WorkId) {}

    /// Removes the requests whose deadline can no longer be met.
    pub fn expire(&mut self, _now: Micros) -> Vec<(WorkId, RefusalReason)> {
        Vec::new()
    }

    /// Returns when [`SlotQueue::expire`] has something to do next.
    pub fn next_expiry(&self) -> Option<Micros> {
        None
    }

    /// Returns the expected wait of a request of this rank that arrives now.
    pub fn expected_wait(&self, _now: Micros, _rank: model::Rank) -> Micros {
        Micros::ZERO
    }

    /// Returns the counters.
    pub fn stats(&self) -> QueueStats {
        QueueStats::default()
    }
}
