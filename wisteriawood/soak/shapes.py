"""Zones, racks, hosts and workers of a soak."""

import typing

WORKER_MILLICORES = 16000
WORKER_MEMORY_MB = 64000


class Shape:
    """Number and arrangement of the hosts and the workers.

    Args:
        zones: Names of the zones.
        racks_per_zone: Number of racks in each zone.
        workers_per_rack: Number of workers on each rack.
        hosts_per_zone: Number of hosts in each zone.
        hold_max_ms: Longest lease of a worker.
        outlives_process: Whether connections to a worker, and the orders that
            it leaves without an answer, outlive its process.

    Attributes:
        losses_left: Number of workers that may still be lost for good.
    """

    __slots__ = (
        "hold_max_ms",
        "hosts_per_zone",
        "losses_left",
        "outlives_process",
        "racks_per_zone",
        "workers_per_rack",
        "zones",
    )

    def __init__(
        self,
        *,
        zones: typing.Sequence[str] = ("a", "b"),
        racks_per_zone: int = 1,
        workers_per_rack: int = 3,
        hosts_per_zone: int = 2,
        hold_max_ms: int = 3000,
        outlives_process: bool = False,
    ):
        self.zones = zones
        self.racks_per_zone = racks_per_zone
        self.workers_per_rack = workers_per_rack
        self.hosts_per_zone = hosts_per_zone
        self.hold_max_ms = hold_max_ms
        self.outlives_process = outlives_process
        self.losses_left = 0

    def workers_per_zone(self) -> int:
        """Return the number of workers in each zone."""
        return self.racks_per_zone * self.workers_per_rack

    def rack_of(self, zone: str, number: int) -> str:
        """Return the name of a worker's rack.

        Args:
            zone: Zone of the worker.
            number: Number of the worker in its zone.
        """
        if self.racks_per_zone == 1:
            return f"rack-{zone}"
        return f"rack-{zone}-{number // self.workers_per_rack}"
