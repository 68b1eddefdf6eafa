"""Racks of workers, as the scheduler that holds them sees them."""

from wisteriawood.contracts import holdings
from wisteriawood.contracts import keys
from wisteriawood.links import platforms
from wisteriawood.machines import targets
from wisteriawood.machines import workers


class Rack:
    """A rack that this scheduler holds.

    Args:
        holding: The row by which it is held.
        version: Version of that row.
    """

    __slots__ = ("holding", "orphans", "targets", "version", "workers")

    def __init__(self, *, holding: holdings.RackHolding, version: int):
        self.holding = holding
        self.version = version
        self.workers: dict[str, workers.Worker] = {}
        self.targets: dict[str, targets.TargetSlots] = {}
        self.orphans: dict[str, list[workers.Placement]] = {}

    def condition(self) -> platforms.Condition:
        """Return the condition that the rack is still held."""
        return platforms.Condition(
            key=keys.rack(self.holding.zone, self.holding.rack),
            version=self.version,
        )

    def see_target(self, host: platforms.Host) -> None:
        """Keep a target of the platform's host list.

        Args:
            host: The target's entry in the list.
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
