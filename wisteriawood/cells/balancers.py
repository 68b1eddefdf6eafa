"""Which cell a new job goes to."""

import anyio

from wisteriawood.jobs import specs
from wisteriawood.policies.admission import base

# Time until a heartbeat shows what this host has sent to a cell.
SHOWN_AFTER_S = 1.6


class Balancer:
    """Sends jobs where they find most room, on one host.

    Heartbeats tell the room of each cell late, so what this host has sent
    since then is taken off.
    """

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent: list[tuple[float, str, specs.JobSpec]] = []

    def choose(
        self, cells: list[str], loads: dict[str, dict], spec: specs.JobSpec
    ) -> tuple[str, base.CellView]:
        """Return the cell with most room for a job, and how it stands.

        Args:
            cells: Cells to choose from, the preferred one first.
            loads: What their holders last told, by cell.
            spec: The job.
        """
        now_s = anyio.current_time()
        self._sent = [
            sent for sent in self._sent if now_s - sent[0] < SHOWN_AFTER_S
        ]
        views = {cell: self._view(cell, loads[cell]) for cell in cells}
        reserved, fillers = _demand(spec)

        def _room(cell: str) -> float:
            view = views[cell]
            if reserved >= fillers:
                left = view.free_millicores - reserved
            else:
                left = view.left_millicores - fillers
            return left / view.capacity_millicores

        best = max(cells, key=_room)
        return best, views[best]

    def note_sent(self, cell: str, spec: specs.JobSpec) -> None:
        """Count a job against its cell until a heartbeat shows it.

        Args:
            cell: The cell.
            spec: The job.
        """
        self._sent.append((anyio.current_time(), cell, spec))

    def _view(self, cell: str, load: dict) -> base.CellView:
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
                view.free_millicores -= reserved
                view.left_millicores -= reserved + fillers
                view.backlog_millicore_s += specs.filler_millicore_s(spec)
        return view


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
