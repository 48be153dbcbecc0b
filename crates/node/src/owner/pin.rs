//! Connections that are pinned for a transaction.

use admit::RequestId;
use model::Name;

use super::{PinKey, TransactionPin};
use crate::Node;
use crate::id::LaneId;
use crate::step::PendingStep;

impl Node {
    pub(crate) fn remove_pin(&mut self, key: PinKey) -> Option<TransactionPin> {
        let pin = self.owner.pins.remove(&key)?;
        if let Some(service) = self.owner.services.get_mut(&pin.database) {
            service.pins.remove(&key);
        }
        self.steps.push_back(PendingStep::ServeQueue(pin.database.clone()));
        Some(pin)
    }

    /// Ends a pinned transaction, and the statement in progress on it, by closing its connection.
    pub(crate) fn close_pin(&mut self, key: PinKey, message: &str) {
        let Some(pin) = self.remove_pin(key) else { return };
        self.count("transactions.dropped", 1);
        if let Some(id) = pin.request
            && self.owner.requests.get(&id).is_some_and(|request| request.pin == Some(key))
        {
            self.owner_request_lost(id, message);
        }
        self.close_connection(pin.connection);
    }

    /// Rolls back the transactions of a lost peer and abandons its requests.
    pub(crate) fn abandon_peer_requests(&mut self, peer: &Name) {
        let from_peer = |other: &Option<Name>| other.as_ref() == Some(peer);
        let mut requests: Vec<RequestId> = self
            .owner
            .requests
            .iter()
            .filter(|(_, request)| from_peer(&request.peer))
            .map(|(id, _)| *id)
            .collect();
        requests.sort();
        for id in requests {
            self.abandon_owner_request(id);
        }
        let pins: Vec<PinKey> = self
            .owner
            .pins
            .iter()
            .filter(|(_, pin)| from_peer(&pin.peer))
            .map(|(key, _)| *key)
            .collect();
        for key in pins {
            self.close_pin(key, "the node of the client session was lost");
        }
    }

    /// Returns the lane that the request's connection is pinned for.
    pub(super) fn lane_of(&self, id: RequestId) -> Option<LaneId> {
        let key = self.owner.requests.get(&id)?.pin?;
        match key {
            PinKey::Lane(lane) if self.owner.pins.contains_key(&key) => Some(lane),
            _ => None,
        }
    }
}
