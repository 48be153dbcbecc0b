//! The three ranks of requests.

use std::fmt;
use std::ops::{Index, IndexMut};

use serde::{Deserialize, Serialize};

/// Rank of a request, most urgent first.
///
/// ```
/// use model::Rank;
/// assert!(Rank::Urgent < Rank::Batch);
/// assert_eq!(Rank::from_name("interactive"), Some(Rank::Interactive));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    Urgent,
    #[default]
    Interactive,
    Batch,
}

impl Rank {
    /// All ranks, most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Interactive, Rank::Batch];

    /// Returns the rank's name in settings and reports.
    pub const fn name(self) -> &'static str {
        match self {
            Rank::Urgent => "urgent",
            Rank::Interactive => "interactive",
            Rank::Batch => "batch",
        }
    }

    /// Finds a rank by its name.
    pub fn from_name(name: &str) -> Option<Rank> {
        Rank::ALL.into_iter().find(|rank| rank.name() == name)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One value for each rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankMap<V>(pub [V; 3]);

impl<V> Index<Rank> for RankMap<V> {
    type Output = V;

    fn index(&self, rank: Rank) -> &V {
        &self.0[rank as usize]
    }
}

impl<V> IndexMut<Rank> for RankMap<V> {
    fn index_mut(&mut self, rank: Rank) -> &mut V {
        &mut self.0[rank as usize]
    }
}
