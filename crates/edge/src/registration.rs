//! The thread that keeps this node registered in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use gate::{GateEvent, NodeRole};
use model::Name;
use relay::ChangeRelay;
use stakker::sync::Channel;

use crate::clock;
use crate::store::{StoreClient, StoreError, log_failure};
use crate::watch::StandbyStatus;

/// Time to live of an owner's registration.
const REGISTRATION_TTL: Duration = Duration::from_millis(3_000);

/// Interval between renewals at an owner: two renewals fit in the duration of a read lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(330);

/// Time to live of a standby's registration. Nothing waits for a standby that is gone; while the standbys of a lost
/// data centre are listed, new owners are chosen among them later than without.
const STANDBY_REGISTRATION_TTL: Duration = Duration::from_millis(9_000);

/// Interval between renewals at a standby that follows a relay: two renewals fit in the time to live.
const FOLLOWER_RENEWAL_INTERVAL: Duration = Duration::from_millis(3_000);

/// Interval between renewals at a standby without a relay, which notices lost contact with the store by them.
const STANDBY_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// A registration that the gate asked to publish.
pub(crate) struct RegistrationUpdate {
    pub(crate) role: NodeRole,
    pub(crate) role_changes: u64,
    pub(crate) bytes: Vec<u8>,
}

pub(crate) enum PublishCommand {
    Publish(RegistrationUpdate),
    End,
}

/// The registration that is in the store.
struct StoredRegistration {
    role: NodeRole,
    lease: u64,
}

/// Publishes this node's registration and renews the lease under which it is stored. At an owner, that lease is
/// also its read lease.
pub(crate) struct RegistrationKeeper<S> {
    client: S,
    node: Name,
    commands: Receiver<PublishCommand>,
    events: Channel<GateEvent>,
    status: Arc<StandbyStatus>,
    /// Told of each answer of the store.
    relay: Option<ChangeRelay>,
    stored: Option<StoredRegistration>,
    latest: Option<RegistrationUpdate>,
    unpublished: bool,
    renew_at: Instant,
}

impl<S: StoreClient> RegistrationKeeper<S> {
    pub(crate) fn new(
        client: S,
        node: Name,
        commands: Receiver<PublishCommand>,
        events: Channel<GateEvent>,
        status: Arc<StandbyStatus>,
        relay: Option<ChangeRelay>,
    ) -> Self {
        RegistrationKeeper {
            client,
            node,
            commands,
            events,
            status,
            relay,
            stored: None,
            latest: None,
            unpublished: false,
            renew_at: Instant::now(),
        }
    }

    /// Executes commands and renewals until the registration is to end.
    pub(crate) fn run(&mut self) {
        loop {
            let wait = self.renew_at.saturating_duration_since(Instant::now());
            match self.commands.recv_timeout(wait) {
                Ok(PublishCommand::Publish(update)) => {
                    self.latest = Some(update);
                    self.unpublished = true;
                }
                Ok(PublishCommand::End) => {
                    if let Some(stored) = self.stored.take() {
                        self.end_registration(&stored);
                    }
                    return;
                }
                Err(RecvTimeoutError::Timeout) => {
                    self.renew_at = Instant::now() + self.renewal_interval();
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.update_store();
        }
    }

    fn renewal_interval(&self) -> Duration {
        match self.latest.as_ref().map(|update| update.role) {
            Some(NodeRole::Standby) if self.status.following.load(Ordering::Relaxed) => {
                FOLLOWER_RENEWAL_INTERVAL
            }
            Some(NodeRole::Standby) => STANDBY_RENEWAL_INTERVAL,
            Some(NodeRole::Owner) | None => RENEWAL_INTERVAL,
        }
    }

    /// Publishes a new registration, or renews the lease of the present one.
    fn update_store(&mut self) {
        let Some(update) = &self.latest else { return };
        let (role, role_changes) = (update.role, update.role_changes);
        let (sent, sent_at) = (Instant::now(), clock::now());
        let result = match &self.stored {
            Some(stored) if stored.role == role && self.unpublished => {
                self.client.write_registration(role, &self.node, &update.bytes, stored.lease)
            }
            Some(stored) if stored.role == role => self.client.renew_lease(stored.lease),
            _ => {
                self.unpublished = true;
                open_registration(&self.client, &self.node, update).map(|opened| {
                    if let Some(former) = self.stored.replace(opened) {
                        self.end_registration(&former);
                    }
                    // The read lease starts with the first renewal sent after the registration is stored.
                    self.renew_at = sent;
                })
            }
        };
        match result {
            Ok(()) => {
                if let Some(relay) = &self.relay {
                    relay.confirm_contact(sent_at);
                }
                // Writing the registration does not renew its lease.
                if !std::mem::take(&mut self.unpublished) {
                    self.events.send(match role {
                        NodeRole::Owner => {
                            GateEvent::ReadLeaseRenewed { sent: sent_at, role_changes }
                        }
                        NodeRole::Standby => GateEvent::StoreContactRenewed { sent: sent_at },
                    });
                }
            }
            Err(error) => {
                log_failure("registration", &error);
                if error == StoreError::LeaseEnded {
                    self.stored = None;
                    self.unpublished = true;
                    self.events.send(GateEvent::RegistrationLeaseLost);
                }
            }
        }
    }

    fn end_registration(&self, stored: &StoredRegistration) {
        if let Err(error) = self.client.end_lease(stored.lease) {
            log_failure("end_lease", &error);
        }
    }
}

fn open_registration<S: StoreClient>(
    client: &S,
    node: &Name,
    update: &RegistrationUpdate,
) -> Result<StoredRegistration, StoreError> {
    let ttl = match update.role {
        NodeRole::Owner => REGISTRATION_TTL,
        NodeRole::Standby => STANDBY_REGISTRATION_TTL,
    };
    let lease = client.open_lease(ttl)?;
    client.write_registration(update.role, node, &update.bytes, lease)?;
    Ok(StoredRegistration { role: update.role, lease })
}
