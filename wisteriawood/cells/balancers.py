"""Which cell a new job goes to."""

import hashlib
import math

import anyio

from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base

# Time until a heartbeat shows what this host has sent to a cell.
SHOWN_AFTER_S = 1.6
# Share of a cell that counts as its room when it is full; keeps the choice
# among full cells in order.
MIN_ROOM = 0.001
# Power of a cell's room in its chance to get a job.
ROOM_POWER = 2


class Balancer:
    """Sends jobs where they find most room, on one host.

    Heartbeats tell the room of each cell late, so what this host has sent
    since then is taken off. What other hosts sent is not known: if all sent
    jobs to the cell with most room, it would be full before a heartbeat
    says so. So the id of a job draws the cell, and room only sets the odds.
    """

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent: list[tuple[float, str, specs.JobSpec]] = []

    def choose(
        self,
        cells: list[str],
        loads: dict[str, dict],
        spec: specs.JobSpec,
        hosts: int = 1,
    ) -> tuple[str, base.CellView]:
        """Return the cell that a job goes to, and how it stands.

        Args:
            cells: Cells to choose from, the preferred one first.
            loads: What their holders last told, by cell.
            spec: The job.
            hosts: Hosts that take jobs in, this one among them.
        """
        now_s = anyio.current_time()
        self._sent = [
            sent for sent in self._sent if now_s - sent[0] < SHOWN_AFTER_S
        ]
        views = {cell: self._view(cell, loads[cell], hosts) for cell in cells}
        reserved, fillers = _demand(spec)

        def _room(cell: str) -> float:
            view = views[cell]
            if reserved >= fillers:
                left = view.free_millicores - reserved
            else:
                left = view.left_millicores - fillers
            return left / view.capacity_millicores

        def _order(cell: str) -> float:
            room = max(_room(cell), 0.0) ** ROOM_POWER + MIN_ROOM
            return -math.log(_draw(cell, spec.id)) / room

        if max(map(_room, cells)) <= 0:
            best = max(cells, key=_room)
        else:
            best = min(cells, key=_order)
        return best, views[best]

    def note_sent(self, cell: str, spec: specs.JobSpec) -> None:
        """Count a job against its cell until a heartbeat shows it.

        Args:
            cell: The cell.
            spec: The job.
        """
        self._sent.append((anyio.current_time(), cell, spec))

    def _view(self, cell: str, load: dict, hosts: int) -> base.CellView:
        view = base.CellView(
            capacity_millicores=max(1, load.get("capacity", 1)),
            free_millicores=load.get("free", 0),
            left_millicores=load.get("left", 0),
            backlog_millicore_s=load.get("backlog", 0),
            rate_millicores=load.get("rate", 0),
        )
        for _at_s, to, spec in self._sent:
            if to == cell:
                reserved, fillers = _demand(spec)
                if any(step.is_standing for step in spec.steps):
                    # Callers are spread over the hosts, so the others have
                    # likely sent as much; it stays there for long.
                    reserved *= hosts
                view.free_millicores -= reserved
                view.left_millicores -= reserved + fillers
                view.backlog_millicore_s += specs.filler_millicore_s(spec)
        return view


def _draw(cell: str, job_id: str) -> float:
    """Return a number above 0 and up to 1, the same on each host."""
    data = f"{cell}/{job_id}".encode()
    digest = hashlib.blake2b(data, digest_size=4).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**32


def _demand(spec: specs.JobSpec) -> tuple[int, int]:
    """Return the processor that the widest step of a job asks for."""
    reserved = fillers = 0
    for step in spec.steps:
        wanted = step.cpu_millicores * step.task_count
        if step.is_filler:
            fillers = max(fillers, wanted)
        else:
            reserved = max(reserved, wanted)
    return reserved, fillers
