"""Which cell a new job goes to."""

import anyio

from wisteriawood.jobs import specs

# Time until a heartbeat shows what this host has sent to a cell.
SHOWN_AFTER_S = 1.6


class Balancer:
    """Sends jobs where they find most room, on one host.

    Heartbeats tell the room of each cell late, so what this host has sent
    since then is taken off.
    """

    __slots__ = ("_sent",)

    def __init__(self):
        self._sent: list[tuple[float, str, int, int]] = []

    def choose(
        self, cells: list[str], loads: dict[str, dict], spec: specs.JobSpec
    ) -> str:
        """Return the cell of a job.

        Args:
            cells: Cells to choose from, the preferred one first.
            loads: What their holders last told, by cell.
            spec: The job.
        """
        now_s = anyio.current_time()
        self._sent = [
            sent for sent in self._sent if now_s - sent[0] < SHOWN_AFTER_S
        ]
        reserved, fillers = _demand(spec)
        best = max(
            cells,
            key=lambda cell: self._room(cell, loads[cell], reserved, fillers),
        )
        self._sent.append((now_s, best, reserved, fillers))
        return best

    def _room(
        self, cell: str, load: dict, reserved: int, fillers: int
    ) -> float:
        """Return the share of a cell that stays free with a job in it."""
        capacity = max(1, load.get("capacity", 1))
        free = load.get("free", 0)
        left = load.get("left", 0)
        for _at_s, to, sent_reserved, sent_fillers in self._sent:
            if to == cell:
                free -= sent_reserved
                left -= sent_reserved + sent_fillers
        if reserved >= fillers:
            return (free - reserved) / capacity
        return (left - fillers) / capacity


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
