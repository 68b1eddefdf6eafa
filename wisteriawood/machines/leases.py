"""Leases of the attempts on a worker, as the holder of its rack knows them."""

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
    """Renew leases in place, in one command.

    With authority they get the short lease. Without, they get one up to
    the horizon after the last term in which the rack was surely held: no
    longer, since a successor waits just as long.

    Args:
        scheduler: The scheduler that holds the rack.
        rack: The rack.
        worker: The worker.
        running: Tasks whose attempts run there.

    Raises:
        LinkError: The worker does not answer.
    """
    sent_at_s = anyio.current_time()
    not_after_s = sent_at_s + terms.COMMAND_LIFE_S
    lease_s = rack.term_ends_s + terms.HORIZON_S - not_after_s
    if scheduler.has_authority(rack):
        rack.term_ends_s = scheduler.membership.term.ends_at_s()
        not_after_s = min(not_after_s, rack.term_ends_s)
        lease_s = terms.LEASE_S
    if not running or lease_s <= 0:
        return
    before = worker.count_unacked(not_after_s, not_after_s + lease_s)
    await worker.link.renew(
        worker_links.RenewCommand(
            attempts={p.task.spec.id: p.task.attempt for p in running},
            lease_s=lease_s,
            not_after_s=not_after_s + worker.to_worker_s,
        )
    )
    worker.unacked_not_after_s, worker.unacked_ends_s = before
    _take_in(
        rack,
        worker,
        running,
        sent_at_s=sent_at_s,
        ends_at_s=anyio.current_time() + lease_s,
    )


def _take_in(
    rack: racks.Rack,
    worker: workers.Worker,
    running: list[workers.Placement],
    *,
    sent_at_s: float,
    ends_at_s: float,
) -> None:
    if sent_at_s > worker.unacked_not_after_s:
        # No earlier one is under way any more, and this one overrode it.
        worker.unacked_ends_s = 0.0
    for placement in running:
        if placement.is_adopted and sent_at_s <= rack.rival_until_s:
            # The former holder may renew it again after us.
            placement.lease_ends_s = max(ends_at_s, placement.lease_ends_s)
        else:
            placement.lease_ends_s = ends_at_s


def is_lapsed(worker: workers.Worker, placement: workers.Placement) -> bool:
    """Tell whether a task's attempt has surely stopped with its lease.

    Args:
        worker: The worker.
        placement: The task on it.
    """
    ends_s = max(
        placement.lease_ends_s, worker.unacked_ends_s, placement.not_after_s
    )
    return anyio.current_time() > ends_s + terms.DRIFT_MARGIN_S
