"""Checks that hosts serve the newest configuration in time."""

import typing

import anyio
import httpx

from wisteriawood.jobs import queues

if typing.TYPE_CHECKING:
    from wisteriawood.soak import hosts
    from wisteriawood.soak import worlds

# Time after a change, and after the end of the last disruption of the host,
# from which the change must be in force.
MAX_LAG_S = 1.0
# Age from which a process has read its first configuration.
MIN_PROCESS_AGE_S = 6.0
CHANGE_PERIOD_RANGE_S = (0.3, 2.0)
# Time for which the hosts are asked for a new queue.
WATCH_S = 6.0
CALL_PERIOD_S = 0.1
CALL_TIMEOUT_S = 1.0


class FreshnessWatch:
    """Adds a queue again and again, and asks each host for it.

    Args:
        world: The soak.

    Attributes:
        changes: Number of queues that were added.
        late_s: Longest time for which a host did not serve a new queue,
            counted from the change or from the end of the last disruption.
    """

    __slots__ = (
        "_client",
        "_rng",
        "_seen_running",
        "_world",
        "changes",
        "late_s",
    )

    def __init__(self, *, world: "worlds.SoakWorld"):
        self._world = world
        self._rng = world.new_rng()
        self._client = httpx.AsyncClient(timeout=CALL_TIMEOUT_S)
        self.changes = 0
        # Start number of each host's process, and since when it runs.
        self._seen_running: dict[str, tuple[int, float]] = {}
        self.late_s = 0.0

    async def run(self) -> None:
        """Change the configuration and check the hosts until cancelled."""
        async with self._client:
            while True:
                await anyio.sleep(self._rng.uniform(*CHANGE_PERIOD_RANGE_S))
                self.changes += 1
                queue = queues.Queue(
                    name=f"added-{self.changes}",
                    host_name=self._world.queue.host_name,
                    prefix=f"/added-{self.changes}/",
                    service=self._world.queue.service,
                )
                self._world.added_queue = queue
                self._world.configure()
                await self._check_hosts(queue, self._world.checker.now_s())

    async def _check_hosts(
        self, queue: queues.Queue, changed_at_s: float
    ) -> None:
        waiting = set(self._world.hosts)
        with anyio.move_on_after(WATCH_S):
            while waiting:
                for name in sorted(waiting):
                    if await self._serves(self._world.hosts[name], queue):
                        waiting.discard(name)
                        continue
                    self.judge(self._world.hosts[name], changed_at_s)
                await anyio.sleep(CALL_PERIOD_S)

    async def _serves(
        self, host: "hosts.HostProcess", queue: queues.Queue
    ) -> bool:
        """Return whether a host serves a queue."""
        try:
            response = await self._client.get(
                f"http://127.0.0.1:{host.caller_port}{queue.prefix}",
                headers={"host": queue.host_name},
            )
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    def judge(self, host: "hosts.HostProcess", changed_at_s: float) -> None:
        """Record that a host does not serve a queue yet.

        Args:
            host: The host.
            changed_at_s: Time of the change, in seconds since the start of
                the soak.
        """
        now_s = self._world.checker.now_s()
        calm_s = min(
            self._world.standing.disruptions.calm_s(),
            self._process_age_s(host) - MIN_PROCESS_AGE_S,
        )
        changed_s = now_s - changed_at_s
        self.late_s = max(self.late_s, min(calm_s, changed_s))
        if min(calm_s, changed_s) < MAX_LAG_S:
            return
        self._world.checker.record_breach(
            "config",
            f"{host.name} does not serve a queue that was added "
            f"{changed_s:.2f} s ago, undisturbed for {calm_s:.2f} s",
        )

    def _process_age_s(self, host: "hosts.HostProcess") -> float:
        now_s = self._world.checker.now_s()
        if not host.is_running():
            self._seen_running.pop(host.name, None)
            return 0.0
        starts, since_s = self._seen_running.get(host.name, (0, now_s))
        if starts != host.starts:
            since_s = now_s
        self._seen_running[host.name] = (host.starts, since_s)
        return now_s - since_s
