//! Slots that are reserved for requests whose bodies have not arrived yet.
//!
//! A reservation holds a running slot, or a place in the queue, until the
//! request arrives or the reservation expires. A long body also holds a lease of
//! the host's link; see [`radishgauge_mesh::body_admission`].

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use radishgauge_mesh::body_admission::BodyLease;
use radishgauge_mesh::body_admission::LONG_BODY;
use radishgauge_schema::hop::HopHead;
use radishgauge_schema::hop::HopReason;

use crate::answer::NotRun;
use crate::answer_lease;
use crate::node::SidecarNode;
use crate::slot::AdmittedRequest;

/// How long a reservation waits for its request: several times the latency
/// between regions, as the sender sends the request at once.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(300);

/// A reserved slot; dropping it releases the slot.
struct SlotReservation {
    admitted: AdmittedRequest,
    lease: Option<BodyLease>,
}

/// The reservations of one owner that were not used yet.
#[derive(Default)]
pub struct SlotReservations {
    reservations: IndexMap<u64, SlotReservation>,
    /// The number of reservations so far; the latest one has this number.
    granted: u64,
}

/// A long body that is being received; dropping it ends its lease.
pub struct IncomingBody {
    node: Arc<SidecarNode>,
    lease: BodyLease,
}

impl Drop for IncomingBody {
    fn drop(&mut self) {
        self.node.body_admission().end(self.lease, self.node.now());
    }
}

/// Reserves a slot for an offered request and returns the number of the
/// reservation.
///
/// # Errors
///
/// When the request is refused. It has not run, and is not sent.
pub fn reserve(node: &Arc<SidecarNode>, head: &HopHead, body_bytes: u64) -> Result<u64, NotRun> {
    answer_lease::check(node, head)?;
    let admitted = node.owner.admit(head)?;
    let lease = match body_bytes >= LONG_BODY {
        true => Some(node.body_admission().grant(node.now()).map_err(link_full)?),
        false => None,
    };
    let number = {
        let mut reservations = node.reservations();
        reservations.granted += 1;
        let number = reservations.granted;
        let reservation = SlotReservation { admitted, lease };
        reservations.reservations.insert(number, reservation);
        number
    };
    let node = Arc::clone(node);
    tokio::spawn(async move {
        tokio::time::sleep(RESERVATION_TIMEOUT).await;
        let expired = node.reservations().reservations.swap_remove(&number);
        if expired.is_some() {
            node.metrics.count("reservations_expired");
        }
    });
    Ok(number)
}

fn link_full(retry_after: Duration) -> NotRun {
    NotRun {
        reason: HopReason::Full,
        retry_after: Some(retry_after),
        reached_target: false,
    }
}

/// What was reserved for a request that has arrived.
pub struct ClaimedSlot {
    /// The request's place at the target.
    pub admitted: AdmittedRequest,
    /// The lease of a long body.
    pub incoming_body: Option<IncomingBody>,
}

/// Returns what was reserved for an arriving request; `None` if there is no such
/// reservation, or if it has expired.
pub fn claim(node: &Arc<SidecarNode>, number: u64) -> Option<ClaimedSlot> {
    let reservation = node.reservations().reservations.swap_remove(&number);
    let SlotReservation { admitted, lease } = reservation?;
    let incoming_body = lease.map(|lease| {
        node.body_admission().begin(lease, node.now());
        IncomingBody {
            node: Arc::clone(node),
            lease,
        }
    });
    Some(ClaimedSlot {
        admitted,
        incoming_body,
    })
}
