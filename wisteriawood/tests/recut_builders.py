"""Builders of worlds whose workers restart under their ids and are cut off."""

import anyio

from wisteriawood.jobs import specs
from wisteriawood.standins import runners as run_standins
from wisteriawood.tests import builders

CELL = "shop@a"
HOSTS = frozenset({"host-a-0", "host-a-1", "host-a-2"})
# Time before the crash in which starts get no answer.
UNANSWERED_S = 0.3
# Number of calls to a worker that get none; the later ones find nobody.
UNANSWERED_CALLS = 3


class RecordingLink(run_standins.MemoryRunLink):
    """Link to a simulated worker that records the renewals it sends.

    Args:
        renewals: Gets each renewal, as (time in seconds, instance, fields).
    """

    __slots__ = ("_renewals",)

    def __init__(self, *, renewals, **fields):
        super().__init__(**fields)
        self._renewals = renewals

    async def renew(self, **fields):
        self._renewals.append(
            (anyio.current_time(), self._worker.started_unix_ms, fields)
        )
        return await super().renew(**fields)


class RecutWorld:
    """A world whose workers of one rack restart and are cut off.

    Args:
        world: The world, of one zone.
        has_proxies: Whether connections outlive the process of a worker.
        late_s: Delay after which the last starts before the crash, which get
            no answer, are carried out by the instance that is there then, in
            seconds; 0 if all starts are answered.
        work_s: Run time of each task, in seconds.
        has_standing: Whether every other job is of standing tasks.
    """

    __slots__ = ("_has_standing", "_late_s", "_work_s", "victims", "world")

    def __init__(
        self,
        *,
        world,
        has_proxies=False,
        late_s=0.0,
        work_s=30.0,
        has_standing=True,
    ):
        self.world = world
        self._late_s = late_s
        self._work_s = work_s
        self._has_standing = has_standing
        self.victims = [world.workers[f"w-a-{n}"] for n in range(2)]
        for worker in self.victims:
            worker.forwards_calls = has_proxies

    async def submit(self):
        """Submit jobs of batch and standing tasks, one after the other."""
        for number in range(1, 41):
            job_id = f"{number:016x}"
            self.world.work_s[job_id] = self._work_s
            step = specs.StepSpec(
                task_count=2,
                cpu_millicores=100,
                is_standing=self._has_standing and number % 2 == 0,
            )
            await self.world.submit_to(CELL, job_id, [step])
            await anyio.sleep(0.05)

    async def lose_answers(self, *, answered_s=0.0):
        """Let starts run late, if they do here, until just before a crash.

        Args:
            answered_s: Time for which starts are answered again, as their
                next tries are, in seconds.
        """
        if not self._late_s:
            return
        for worker in self.victims:
            worker.keep_orders = True
            worker.lost_answers = UNANSWERED_CALLS
            worker.lost_answer_delay_s = self._late_s
        await anyio.sleep(UNANSWERED_S)
        if answered_s:
            for worker in self.victims:
                worker.lost_answers = 0
            await anyio.sleep(answered_s)

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


def play(
    check,
    *,
    longest_lease_s,
    dark_s,
    seen_s,
    cut_s,
    uptime_s=3.3,
    settle_s=1.0,
    answered_s=0.0,
    kills_holder=False,
    handover_s=None,
    **fields,
):
    """Play a new world and return what a check of it finds.

    Args:
        check: The check, called with the world at the end.
        longest_lease_s: Duration of the longest lease that workers accept.
        dark_s: See RecutWorld.play.
        seen_s: See RecutWorld.play.
        cut_s: See RecutWorld.play.
        uptime_s: Age of the workers when starts get no more answers, in
            seconds.
        settle_s: Time to go on for after the cut, in seconds.
        answered_s: See RecutWorld.lose_answers.
        kills_holder: See RecutWorld.play.
        handover_s: See RecutWorld.play.
        fields: See RecutWorld.
    """
    found = []

    async def _main(world):
        recut = RecutWorld(world=world, **fields)
        async with anyio.create_task_group() as group:
            await anyio.sleep(uptime_s - UNANSWERED_S)
            group.start_soon(recut.submit)
            await anyio.sleep(UNANSWERED_S)
            await recut.lose_answers(answered_s=answered_s)
            await recut.play(
                dark_s=dark_s,
                seen_s=seen_s,
                cut_s=cut_s,
                kills_holder=kills_holder,
                handover_s=handover_s,
            )
            await anyio.sleep(settle_s)
        found.extend(check(world))

    builders.run_job_world(
        _main,
        zones=["a"],
        hosts_per_zone=3,
        workers_per_zone=4,
        longest_lease_s=longest_lease_s,
    )
    return found
