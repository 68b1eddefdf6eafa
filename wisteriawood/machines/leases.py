"""Renews and tracks the leases of the attempts on a worker."""

import typing

import anyio

from wisteriawood.contracts import terms
from wisteriawood.links import workers as worker_links
from wisteriawood.machines import racks
from wisteriawood.machines import workers

if typing.TYPE_CHECKING:
    from wisteriawood.machines import schedulers


async def renew(
    scheduler: "schedulers.Scheduler",
    rack: racks.Rack,
    worker: workers.Worker,
    *,
    running: list[workers.Placement],
) -> None:
    """Renew the leases of running attempts with one command.

    A scheduler with authority over the rack grants leases of LEASE_S. A
    scheduler without it extends them only up to the horizon, because the
    next holder waits exactly that long. The horizon is counted from the end
    of the last term in which the rack was certainly held.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        running: Tasks whose attempts run on the worker.

    Raises:
        LinkError: The worker does not respond.
    """
    sent_at_s = anyio.current_time()
    not_after_s = sent_at_s + terms.COMMAND_VALIDITY_S
    lease_s = rack.term_ends_s + terms.HORIZON_S - not_after_s
    if scheduler.has_authority(rack):
        rack.term_ends_s = scheduler.membership.term.ends_at_s()
        not_after_s = min(not_after_s, rack.term_ends_s)
        lease_s = terms.LEASE_S
    if not running or lease_s <= 0:
        return
    before = worker.record_unacked_renewal(not_after_s, not_after_s + lease_s)
    await worker.link.renew(
        worker_links.RenewCommand(
            attempts={p.task.spec.id: p.task.attempt for p in running},
            lease_s=lease_s,
            not_after_s=not_after_s + worker.clock_offset_s,
        )
    )
    worker.unacked_not_after_s, worker.unacked_ends_s = before
    _record_renewal(
        rack,
        worker,
        running,
        sent_at_s=sent_at_s,
        ends_at_s=anyio.current_time() + lease_s,
    )


def _record_renewal(
    rack: racks.Rack,
    worker: workers.Worker,
    running: list[workers.Placement],
    *,
    sent_at_s: float,
    ends_at_s: float,
) -> None:
    if sent_at_s > worker.unacked_not_after_s:
        # No earlier renewal can still be in flight, and this one replaced
        # its lease.
        worker.unacked_ends_s = 0.0
    for placement in running:
        if placement.is_adopted and sent_at_s <= rack.former_renews_until_s:
            # The former holder may still renew the lease after this
            # renewal, so the later end counts.
            placement.lease_ends_s = max(ends_at_s, placement.lease_ends_s)
        else:
            placement.lease_ends_s = ends_at_s


def is_expired(worker: workers.Worker, placement: workers.Placement) -> bool:
    """Return whether the lease of a task's attempt has certainly expired.

    The worker stops an attempt when its lease expires.

    Args:
        worker: The worker.
        placement: The task on it.
    """
    ends_s = max(
        placement.lease_ends_s, worker.unacked_ends_s, placement.not_after_s
    )
    return anyio.current_time() > ends_s + terms.DRIFT_MARGIN_S
