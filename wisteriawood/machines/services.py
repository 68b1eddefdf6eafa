"""Services: the targets of one service and the requests that wait."""

import math

import anyio

from wisteriawood.contracts import requests
from wisteriawood import errors
from wisteriawood.machines import targets
from wisteriawood.policies.routing import base

MAX_WAITING = 1000


class Service:
    """A service as one entry host sees it.

    Args:
        team: Team that owns it.
        name: Name of the service.
        policy: Chooses among the targets with a free slot.
    """

    __slots__ = ("_freed", "name", "policy", "targets", "team", "waiting")

    def __init__(self, *, team: str, name: str, policy: base.RoutingPolicy):
        self.team = team
        self.name = name
        self.policy = policy
        self.targets: dict[str, targets.Target] = {}
        self.waiting = 0
        self._freed = anyio.Event()

    def wake(self) -> None:
        """Wake the requests that wait for a slot."""
        self._freed.set()
        self._freed = anyio.Event()

    async def acquire(self, request: requests.Request) -> targets.Target:
        """Wait for a slot and take it.

        Args:
            request: The request that will fill the slot.

        Raises:
            RequestNotRunError: There was no slot before the deadline.
        """
        if self.waiting >= MAX_WAITING:
            raise errors.RequestNotRunError(reason="too many wait")
        self.waiting += 1
        try:
            return await self._wait_for_slot(request)
        finally:
            self.waiting -= 1

    async def _wait_for_slot(
        self, request: requests.Request
    ) -> targets.Target:
        left_s = request.deadline_s - anyio.current_time()
        with anyio.move_on_after(max(0.0, left_s)):
            while True:
                free = [t for t in self.targets.values() if t.has_free_slot()]
                if free:
                    target = self.policy.choose(free)
                    target.take()
                    return target
                await self._freed.wait()
        raise errors.RequestNotRunError(
            reason="no slot was free before the deadline"
        )

    def release(
        self,
        target: targets.Target,
        *,
        latency_s: float,
        is_done: bool,
        until_s: float,
    ) -> None:
        """Give a slot back.

        Args:
            target: Target whose slot it is.
            latency_s: Time that the request took; NaN if not known.
            is_done: Whether the target surely works on it no more.
            until_s: Monotonic deadline of the request.
        """
        target.give_back(is_done=is_done, until_s=until_s)
        if not math.isnan(latency_s):
            self.policy.observe(target, latency_s=latency_s)
        self.wake()
