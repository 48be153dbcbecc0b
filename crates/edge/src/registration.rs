//! The thread that keeps this node registered in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use gate::{GateEvent, NodeRole};
use model::{FastMap, Name};
use relay::ChangeRelay;
use stakker::sync::Channel;

use crate::clock;
use crate::logging::event_line;
use crate::store::{ConditionalWrite, StoreClient, StoreError, StoreLease, log_failure};
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

/// Maximum number of times that a registration is written in a row while its revision is not the known one.
const MAX_WRITE_TRIES: usize = 3;

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

/// A lease for this node's registration in a role.
struct RegistrationLease {
    role: NodeRole,
    lease: StoreLease,
    /// The registration is in the store under this lease. While a write of it has not been answered, it may not be.
    stored: bool,
}

/// Publishes this node's registration and renews the lease under which it is stored. At an owner, that lease is
/// also its read lease.
///
/// A renewal says that the lease is valid, and not that the registration depends on it. Therefore each write requires
/// the revision that the registration had, so that a write whose answer was lost cannot replace a newer one later.
pub(crate) struct RegistrationKeeper<S> {
    client: S,
    node: Name,
    commands: Receiver<PublishCommand>,
    events: Channel<GateEvent>,
    status: Arc<StandbyStatus>,
    /// Told of each answer of the store.
    relay: Option<ChangeRelay>,
    held: Option<RegistrationLease>,
    /// Lease of the former role, which is ended once the registration in the new role is stored.
    former: Option<RegistrationLease>,
    /// Last known revision of the registration in each role.
    revisions: FastMap<NodeRole, u64>,
    latest: Option<RegistrationUpdate>,
    unpublished: bool,
    renew_at: Instant,
    /// Era of the store in which the leases were opened and the revisions were assigned.
    era: u64,
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
            held: None,
            former: None,
            revisions: FastMap::default(),
            latest: None,
            unpublished: false,
            renew_at: Instant::now(),
            era: 0,
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
                    for lease in [self.held.take(), self.former.take()].into_iter().flatten() {
                        self.end_lease(&lease);
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

    /// Writes the registration if it has changed or is not stored yet, or renews its lease otherwise.
    fn update_store(&mut self) {
        self.forget_former_era();
        let Some(update) = &self.latest else { return };
        let (role, role_changes) = (update.role, update.role_changes);
        let (sent, sent_at) = (Instant::now(), clock::now());
        let held = self.held.as_ref().filter(|held| held.role == role && held.stored);
        let result = match held {
            Some(held) if !self.unpublished => self.client.renew_lease(held.lease).map(|()| true),
            _ => self.write_registration(sent).map(|()| false),
        };
        match result {
            Ok(renewed) => {
                if let Some(relay) = &self.relay {
                    relay.confirm_contact(sent_at);
                }
                // Writing the registration does not renew its lease.
                if renewed {
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
                    self.lease_ended(role);
                }
            }
        }
    }

    /// Writes the newest registration, under a new lease if none is held for its role.
    fn write_registration(&mut self, sent: Instant) -> Result<(), StoreError> {
        let Some(update) = &self.latest else { return Ok(()) };
        let role = update.role;
        if let Some(held) = self.held.take_if(|held| held.role != role)
            && let Some(former) = self.former.replace(held)
        {
            self.end_lease(&former);
        }
        if self.held.is_none() {
            self.held = Some(open_lease(&self.client, role)?);
        }
        self.store_registration(sent)?;
        if let Some(former) = self.former.take() {
            self.end_lease(&former);
        }
        Ok(())
    }

    /// Writes the newest registration under the held lease.
    fn store_registration(&mut self, sent: Instant) -> Result<(), StoreError> {
        let (Some(update), Some(held)) = (&self.latest, &mut self.held) else { return Ok(()) };
        let (role, role_changes, lease) = (update.role, update.role_changes, held.lease);
        for _ in 0..MAX_WRITE_TRIES {
            let expected = self.revisions.get(&role).copied().unwrap_or_default();
            let sent_at = clock::now();
            let write =
                self.client.write_registration(role, &self.node, &update.bytes, lease, expected)?;
            match write {
                ConditionalWrite::Written { revision } => {
                    self.revisions.insert(role, revision);
                    self.unpublished = false;
                    if !std::mem::replace(&mut held.stored, true) {
                        // The read lease starts with the first renewal sent after the registration is stored.
                        self.renew_at = sent;
                    }
                    let fields = vec![
                        ("owner", (role == NodeRole::Owner).into()),
                        ("lease", lease.number.into()),
                        ("revision", revision.into()),
                    ];
                    log::info!("{}", event_line("registration_written", fields));
                    let sent = sent_at;
                    self.events.send(GateEvent::RegistrationStored {
                        role_changes,
                        revision,
                        sent,
                    });
                    return Ok(());
                }
                ConditionalWrite::Conflict { current } => {
                    self.revisions.insert(role, current);
                    let fields = vec![
                        ("owner", (role == NodeRole::Owner).into()),
                        ("lease", lease.number.into()),
                        ("expected", expected.into()),
                        ("current", current.into()),
                    ];
                    log::warn!("{}", event_line("registration_conflict", fields));
                }
            }
        }
        Ok(())
    }

    /// Forgets the leases and revisions of a former era. The store may know a lease without the registration
    /// that was written under it, or may have assigned its number again.
    fn forget_former_era(&mut self) {
        let era = self.client.era();
        if std::mem::replace(&mut self.era, era) == era {
            return;
        }
        self.revisions.clear();
        self.former = None;
        if self.held.take().is_some() {
            log::info!("{}", event_line("registration_era", vec![("era", era.into())]));
            self.events.send(GateEvent::RegistrationLeaseLost);
        }
    }

    /// Forgets a lease that has ended, and with it the registration.
    fn lease_ended(&mut self, role: NodeRole) {
        self.held = None;
        self.revisions.remove(&role);
        self.events.send(GateEvent::RegistrationLeaseLost);
    }

    /// Ends a lease; if that fails, it expires.
    fn end_lease(&self, lease: &RegistrationLease) {
        if let Err(error) = self.client.end_lease(lease.lease) {
            log_failure("end_lease", &error);
        }
    }
}

fn open_lease<S: StoreClient>(client: &S, role: NodeRole) -> Result<RegistrationLease, StoreError> {
    let ttl = match role {
        NodeRole::Owner => REGISTRATION_TTL,
        NodeRole::Standby => STANDBY_REGISTRATION_TTL,
    };
    Ok(RegistrationLease { role, lease: client.open_lease(ttl)?, stored: false })
}
