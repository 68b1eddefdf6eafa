"""Builders of worlds in which orders to a worker are overtaken or late."""

import anyio

from wisteriawood import errors
from wisteriawood.jobs import specs
from wisteriawood.links import runners
from wisteriawood.standins import runners as run_standins

CELL = "shop@a"
HOSTS = frozenset({"host-a-0", "host-a-1"})
BATCH_JOB = f"{1:016x}"
STANDING_JOB = f"{2:016x}"
WORKER = "w-a-0"


class LostStartsLink(run_standins.MemoryRunLink):
    """Link on which the first start of each task gets no answer.

    Args:
        is_carried_out: Whether such a start is carried out at once; it is
            kept for later if not.
    """

    __slots__ = ("_is_carried_out", "_seen", "kept")

    def __init__(self, *, is_carried_out, **fields):
        super().__init__(**fields)
        self._is_carried_out = is_carried_out
        self._seen = set()
        self.kept = []

    async def start(self, command):
        if command.task_name in self._seen:
            return await super().start(command)
        self._seen.add(command.task_name)
        if self._is_carried_out:
            await super().start(command)
        else:
            self.kept.append(command)
        await anyio.sleep(0.3)
        raise errors.LinkClosedError("no answer")

    def carry_out(self):
        """Carry out what was kept, on the instance that is there now."""
        for command in self.kept:
            self._worker.begin_run(command)


class OvertakenLink(run_standins.MemoryRunLink):
    """Link on which one hold is overtaken, and one start shows a restart.

    The hold is the one right before the first standing task is started.
    """

    __slots__ = ("_is_odd", "_is_slow")

    def __init__(self, **fields):
        super().__init__(**fields)
        self._is_slow = self._is_odd = True

    async def renew(self, **fields):
        is_question = fields["started_unix_ms"] and not fields["wait_ms"]
        if self._is_slow and is_question and not fields["lease_until_ms"]:
            self._is_slow = False
            await anyio.sleep(0.06)
        return await super().renew(**fields)

    async def start(self, command):
        if self._is_odd:
            self._is_odd = False
            raise runners.RestartedError("the worker has restarted")
        return await super().start(command)


class StalledHoldLink(run_standins.MemoryRunLink):
    """Link on which the first hold with a token is delayed.

    Args:
        token: The token.
        delay_s: The delay, in seconds.
    """

    __slots__ = ("_delay_s", "_token")

    def __init__(self, *, token, delay_s, **fields):
        super().__init__(**fields)
        self._token = token
        self._delay_s = delay_s

    async def renew(self, **fields):
        if fields["token"] == self._token:
            self._token = -1
            await anyio.sleep(self._delay_s)
        return await super().renew(**fields)


async def submit(world, *, tasks=6, is_standing=False):
    """Submit a job of long tasks and return its id."""
    job_id = STANDING_JOB if is_standing else BATCH_JOB
    world.work_s[job_id] = 200.0
    step = specs.StepSpec(
        task_count=tasks, cpu_millicores=100, is_standing=is_standing
    )
    await world.submit_to(CELL, job_id, [step])
    return job_id


def find_cell(world):
    """Return the held cell."""
    return world.hosts[world.holder_of(CELL)]._holders[CELL].cell


def use_link(world, link_type, **fields):
    """Let the holder use a link of a type to the worker; return it."""
    link = link_type(
        worker=world.workers[WORKER], host=world.holder_of(CELL), **fields
    )
    find_cell(world).fleet[WORKER].link = link
    return link
