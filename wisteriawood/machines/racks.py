"""State of a rack in the scheduler that holds it."""

import anyio

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.contracts import terms
from wisteriawood.links import platforms
from wisteriawood.machines import targets
from wisteriawood.machines import workers


class Rack:
    """A rack that this scheduler holds.

    Args:
        holding: The row by which it is held.
        version: Version of that row.
        former_holder: Member row of the former holder, which may still renew
            the leases of attempts that it started; None if it is unknown or
            proved dead.
    """

    __slots__ = (
        "former_holder",
        "former_leases_until_s",
        "former_renews_until_s",
        "holding",
        "targets",
        "term_ends_s",
        "verified_term_start_s",
        "version",
        "workers",
    )

    def __init__(
        self,
        *,
        holding: holdings.RackHolding,
        version: int,
        former_holder: holdings.MemberRow | None = None,
    ):
        self.holding = holding
        self.version = version
        self.former_holder = former_holder
        # Monotonic time until which leases granted by former holders may
        # last.
        self.former_leases_until_s = 0.0
        # Monotonic time until which a former holder may renew leases.
        self.former_renews_until_s = 0.0
        # Monotonic time at which the newest term ends in which the rack was
        # certainly held.
        self.term_ends_s = 0.0
        # Monotonic start of the uninterrupted term in which the rack's row
        # was last verified.
        self.verified_term_start_s: float | None = None
        self.workers: dict[str, workers.Worker] = {}
        self.targets: dict[str, targets.TargetSlots] = {}

    def mark_former_dead(self) -> None:
        """Record that the process of the former holder is proved dead.

        Only its commands in flight can still renew leases.
        """
        self.former_holder = None
        self.former_renews_until_s = min(
            self.former_renews_until_s,
            anyio.current_time()
            + terms.COMMAND_VALIDITY_S
            + terms.DRIFT_MARGIN_S,
        )

    def lease_left_s(self) -> float:
        """Return the seconds until the last lease on the rack has expired."""
        now_s = anyio.current_time()
        ends_s = [
            max(placement.lease_ends_s, worker.unacked_ends_s)
            for worker in self.workers.values()
            for placement in worker.placements.values()
        ]
        return max(0.0, max(ends_s, default=0.0) - now_s)

    def condition(self) -> platforms.Condition:
        """Return the condition that the rack is still held."""
        return platforms.Condition(
            key=keys.rack(self.holding.zone, self.holding.rack),
            version=self.version,
        )

    def remove_missing_workers(self, listed: set[str]) -> None:
        """Remove unlisted workers that have no tasks and do not respond.

        Args:
            listed: Names of the workers in the host list.
        """
        for worker in list(self.workers.values()):
            is_unused = not worker.placements and not worker.is_connected
            if is_unused and worker.name not in listed:
                del self.workers[worker.name]

    def update_target(self, host: platforms.Host) -> None:
        """Add or update a target from the platform's host list.

        Args:
            host: Entry of the target in the list.
        """
        target = self.targets.get(host.name)
        if target is None:
            target = targets.TargetSlots(
                id=host.name,
                address=host.address,
                team=host.team,
                service=host.service,
                slots=host.slots,
            )
            self.targets[host.name] = target
        target.leaving = host.leaving
