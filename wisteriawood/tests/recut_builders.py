"""Builders of worlds whose workers restart under their ids and are cut off."""

import anyio

from wisteriawood.jobs import specs
from wisteriawood.tests import builders
from wisteriawood.tests import ownership_builders

CELL = "shop@a"
HOSTS = frozenset({"host-a-0", "host-a-1", "host-a-2"})
# Time before the crash in which starts get no answer.
UNANSWERED_S = 0.3
# Number of calls to a worker that get none; the later ones find nobody.
UNANSWERED_CALLS = 3


class RecutWorld:
    """A world whose workers of one rack restart and are cut off.

    Args:
        world: The world, of one zone.
        has_proxies: Whether connections outlive the process of a worker.
        late_s: Delay after which the last starts before the crash, which get
            no answer, are carried out by the instance that is there then, in
            seconds; 0 if all starts are answered.
    """

    __slots__ = ("_late_s", "victims", "world")

    def __init__(self, *, world, has_proxies=False, late_s=0.0):
        self.world = world
        self._late_s = late_s
        self.victims = [world.workers[f"w-a-{n}"] for n in range(2)]
        for worker in self.victims:
            worker.forwards_calls = has_proxies

    async def submit(self):
        """Submit jobs of long and of standing tasks, one after the other."""
        for number in range(1, 41):
            job_id = f"{number:016x}"
            self.world.work_s[job_id] = 30.0
            step = specs.StepSpec(
                task_count=2,
                cpu_millicores=100,
                is_standing=number % 2 == 0,
            )
            await self.world.submit_to(CELL, job_id, [step])
            await anyio.sleep(0.05)

    async def lose_answers(self):
        """Let starts run late, if they do here, until just before a crash."""
        if not self._late_s:
            return
        for worker in self.victims:
            worker.keep_orders = True
            worker.lost_answers = UNANSWERED_CALLS
            worker.lost_answer_delay_s = self._late_s
        await anyio.sleep(UNANSWERED_S)

    async def play(
        self, *, dark_s, seen_s, cut_s, kills_holder=False, handover_s=None
    ):
        """Restart the workers and cut them off; wait until it is over.

        Args:
            dark_s: Time from the crash to the restart, in seconds.
            seen_s: Time from the restart to the cut, in seconds.
            cut_s: Time for which they are cut off, in seconds.
            kills_holder: Whether the holder of the cell is killed at the cut.
            handover_s: Time after the cut at which the holder releases the
                cell and its host ends, in seconds; None if it keeps it.
        """
        for worker in self.victims:
            worker.crash()
        await anyio.sleep(dark_s)
        for worker in self.victims:
            worker.restart()
            worker.lost_answers = 0
        await anyio.sleep(seen_s)
        if kills_holder:
            self.world.kill_host(self.world.holder_of(CELL))
        for worker in self.victims:
            worker.cut_from |= HOSTS
        if handover_s is not None:
            await anyio.sleep(handover_s)
            await self.hand_over()
        await anyio.sleep(cut_s - (handover_s or 0.0))
        for worker in self.victims:
            worker.cut_from.clear()

    async def hand_over(self):
        """Let the holder of the cell release it, and end its host."""
        holder = self.world.holder_of(CELL)
        await self.world.hosts[holder].drain()
        self.world.kill_host(holder)


def find_overlaps(
    *,
    longest_lease_s,
    uptime_s=3.3,
    settle_s=1.0,
    has_proxies=False,
    late_s=0.0,
    **times,
):
    """Return the tasks that run twice in a play of a new world.

    Args:
        longest_lease_s: Duration of the longest lease that workers accept.
        uptime_s: Age of the workers when starts get no more answers, in
            seconds.
        settle_s: Time to go on for after the cut, in seconds.
        has_proxies: See RecutWorld.
        late_s: See RecutWorld.
        times: See RecutWorld.play.
    """
    found = []

    async def _main(world):
        recut = RecutWorld(world=world, has_proxies=has_proxies, late_s=late_s)
        async with anyio.create_task_group() as group:
            await anyio.sleep(uptime_s - UNANSWERED_S)
            group.start_soon(recut.submit)
            await anyio.sleep(UNANSWERED_S)
            await recut.lose_answers()
            await recut.play(**times)
            await anyio.sleep(settle_s)
        found.extend(ownership_builders.find_overlaps(world))

    builders.run_job_world(
        _main,
        zones=["a"],
        hosts_per_zone=3,
        workers_per_zone=4,
        longest_lease_s=longest_lease_s,
    )
    return found
