//! Memory for what sessions keep: values, prepared statements, keys and the first statement of a transaction.

use model::{MemoryBudget, MemoryCharge};

use crate::Gate;
use crate::event::SessionId;
use crate::statement::ErrorCode;

/// What a session may always keep, also when the memory for all sessions is used up. Ordinary sessions keep some hundred
/// bytes.
const FREE_SESSION_BYTES: usize = 4 * 1024;

/// Limits on what sessions keep.
#[derive(Clone, Debug)]
pub struct SessionMemory {
    /// For all sessions.
    pub budget: MemoryBudget,
    /// For one session, in bytes.
    pub session_limit: usize,
}

impl Default for SessionMemory {
    /// No limits.
    fn default() -> SessionMemory {
        SessionMemory { budget: MemoryBudget::new(usize::MAX), session_limit: usize::MAX }
    }
}

impl SessionMemory {
    /// Changes what a session keeps from `old` to `new` bytes for a part of it, or returns why it may not.
    pub(crate) fn replace(
        &self,
        charge: &mut MemoryCharge,
        old: usize,
        new: usize,
    ) -> Result<(), (ErrorCode, String)> {
        let kept = charge.bytes().saturating_sub(old) + new;
        let is_growing = kept > charge.bytes() && kept > FREE_SESSION_BYTES;
        if is_growing && kept > self.session_limit {
            let limit = self.session_limit;
            let text = format!(
                "not run, the session would keep {kept} bytes, above its limit of {limit} \
                 (client-limits.session-kb)"
            );
            return Err((ErrorCode::TooBig, text));
        }
        let others = self.budget.held().saturating_sub(charge.bytes());
        if is_growing && others.saturating_add(kept) > self.budget.limit() {
            let limit = self.budget.limit();
            let text = format!(
                "not run, the sessions of this node keep almost {limit} bytes, a quarter of the memory for \
                 requests (limits.memory-mb), retry after 1000 ms"
            );
            return Err((ErrorCode::Busy, text));
        }
        charge.resize(kept);
        Ok(())
    }
}

impl Gate {
    /// Limits what sessions keep. Without a call there is no limit.
    pub fn limit_sessions(&mut self, memory: SessionMemory) {
        self.session_memory = memory;
    }

    /// Returns what a session keeps, in bytes.
    pub fn session_bytes(&self, session: SessionId) -> usize {
        self.sessions.get(&session).map_or(0, |session| session.charge.bytes())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against sessions that together keep more than their part, and against a limit that ordinary sessions meet.
    #[test]
    fn small_sessions_are_not_limited() {
        let memory = SessionMemory { budget: MemoryBudget::new(10_000), session_limit: 8_000 };
        let mut first = memory.budget.charge();
        assert!(memory.replace(&mut first, 0, 7_000).is_ok());
        let (code, text) = memory.replace(&mut first, 0, 1_500).unwrap_err();
        assert!(code == ErrorCode::TooBig && text.contains("session-kb"), "{text}");
        let mut second = memory.budget.charge();
        let (code, text) = memory.replace(&mut second, 0, 5_000).unwrap_err();
        assert!(code == ErrorCode::Busy && text.contains("memory-mb"), "{text}");
        assert!(memory.replace(&mut second, 0, 4_000).is_ok());
        assert!(memory.replace(&mut first, 7_000, 100).is_ok(), "a smaller value was refused");
        assert_eq!(memory.budget.held(), 4_100);
        drop((first, second));
        assert_eq!(memory.budget.held(), 0);
    }
}
