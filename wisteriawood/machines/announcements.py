"""Announcements: how long an entry host's requests may last at a target."""

import typing

import anyio

from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood.zones import membership

# Values that are announced, so that few changes reach the table.
STEPS_S = (1.0, 2.0, 5.0, 10.0, 20.0, 30.0, requests.LONGEST_REQUEST_S)
RAISE_WAIT_S = 1.0
# Time that a request may spend between its start here and the target,
# besides the time that it announces.
SEND_MARGIN_S = 3.0


def step_s(left_s: float) -> float:
    """Return the announced value that covers a time.

    Args:
        left_s: Time in seconds.
    """
    return next((step for step in STEPS_S if step >= left_s), STEPS_S[-1])


class Announcement:
    """The longest time that requests may take, as the own row tells it.

    Once this process is dead, a grantor counts its slots as held for that
    time and no longer. So a request may take longer only once the row says
    so, and the row says less only once no longer request is left.

    Args:
        members: Membership of the entry host, whose row tells the time.
        get_usual_s: Returns the time in seconds that requests usually have.
    """

    __slots__ = ("_get_usual_s", "_members", "_until_s")

    def __init__(
        self,
        *,
        members: membership.Membership,
        get_usual_s: typing.Callable[[], float],
    ):
        self._members = members
        self._get_usual_s = get_usual_s
        self._until_s: dict[float, float] = {}
        members.own.longest_s = requests.LONGEST_REQUEST_S

    def usable_s(self) -> float:
        """Return how long a request may take, in seconds."""
        return min(self._members.own.longest_s, self._members.announced_s)

    async def allow(self, left_s: float) -> float:
        """Return how long a request may take that is about to be sent.

        It waits until a longer time is announced. Where that can't be, as
        while the platform is down, the request gets what is announced.

        Args:
            left_s: Seconds until the request's deadline.
        """
        left_s = min(left_s, requests.LONGEST_REQUEST_S)
        if left_s > self.usable_s():
            self._need(left_s)
            self.review()
            if self._members.is_reachable:
                await self._wait(left_s)
        allowed_s = min(left_s, self.usable_s())
        self._need(allowed_s)
        return allowed_s

    async def _wait(self, left_s: float) -> None:
        with anyio.move_on_after(min(RAISE_WAIT_S, left_s / 2)):
            while self.usable_s() < left_s:
                await self._members.renewed.wait()

    def _need(self, left_s: float) -> None:
        # It may leave as late as its deadline, and take as long again.
        until_s = anyio.current_time() + 2 * left_s + SEND_MARGIN_S
        step = step_s(left_s)
        self._until_s[step] = max(self._until_s.get(step, 0.0), until_s)

    def see_overrun(self) -> None:
        """Note that a target works on a request beyond its deadline."""
        self._until_s[requests.LONGEST_REQUEST_S] = max(
            self._until_s.get(requests.LONGEST_REQUEST_S, 0.0),
            anyio.current_time() + terms.DRIFT_MARGIN_S,
        )

    def review(self) -> None:
        """Announce the time that is needed now."""
        now_s = anyio.current_time()
        needed_s = step_s(self._get_usual_s())
        for step, until_s in self._until_s.items():
            if until_s > now_s:
                needed_s = max(needed_s, step)
        if needed_s != self._members.own.longest_s:
            self._members.own.longest_s = needed_s
            self._members.renew_soon()
