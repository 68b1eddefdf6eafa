"""Announcement of the longest request time of an entry host."""

import typing

import anyio

from wisteriawood.contracts import requests
from wisteriawood.contracts import terms
from wisteriawood.zones import membership

# Only these values are announced, which limits writes of the member row.
ANNOUNCED_STEPS_S = (
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
    30.0,
    requests.MAX_REQUEST_S,
)
ANNOUNCE_TIMEOUT_S = 1.0
# Margin for the delay between this process and the target; an announced time
# stays required for this much longer than the request may take.
SEND_MARGIN_S = 3.0


def round_up_s(left_s: float) -> float:
    """Return the smallest announced value that is not below a time.

    Args:
        left_s: Time in seconds. Above the largest value, that value is
            returned.
    """
    return next(
        (step for step in ANNOUNCED_STEPS_S if step >= left_s),
        ANNOUNCED_STEPS_S[-1],
    )


class RequestTimeAnnouncement:
    """The longest time that requests may take, announced in the member row.

    Once this process has died, a grantor counts its slots as held for that
    time and no longer. Therefore a longer request is sent only after a
    longer time has been announced, and a shorter time is announced only
    when no request that needs the longer one can be running.

    Args:
        members: Membership of the entry host; its row contains the time.
        get_longest_deadline_s: Returns the longest deadline in seconds
            that the configuration gives.
    """

    __slots__ = ("_get_longest_deadline_s", "_members", "_required_until_s")

    def __init__(
        self,
        *,
        members: membership.Membership,
        get_longest_deadline_s: typing.Callable[[], float],
    ):
        self._members = members
        self._get_longest_deadline_s = get_longest_deadline_s
        # Monotonic time until which each announced value is required.
        self._required_until_s: dict[float, float] = {}
        members.own.longest_s = requests.MAX_REQUEST_S

    def max_request_s(self) -> float:
        """Return the longest time that a request may take, in seconds."""
        return min(
            self._members.own.longest_s, self._members.announced_longest_s
        )

    async def allow(self, left_s: float) -> float:
        """Return the time that a request about to be sent may take.

        Waits up to ANNOUNCE_TIMEOUT_S until a longer time is announced if
        the request needs one. If that fails, for example because the
        platform is unreachable, the request gets the announced time.

        Args:
            left_s: Seconds until the request's deadline.
        """
        left_s = min(left_s, requests.MAX_REQUEST_S)
        if left_s > self.max_request_s():
            self._require(left_s)
            self.review()
            if self._members.is_reachable:
                await self._wait(left_s)
        allowed_s = min(left_s, self.max_request_s())
        self._require(allowed_s)
        return allowed_s

    async def _wait(self, left_s: float) -> None:
        with anyio.move_on_after(min(ANNOUNCE_TIMEOUT_S, left_s / 2)):
            while self.max_request_s() < left_s:
                await self._members.renewed.wait()

    def _require(self, left_s: float) -> None:
        # The request may be sent as late as its deadline, and then take
        # the same time again.
        until_s = anyio.current_time() + 2 * left_s + SEND_MARGIN_S
        step = round_up_s(left_s)
        self._required_until_s[step] = max(
            self._required_until_s.get(step, 0.0), until_s
        )

    def record_overrun(self) -> None:
        """Record that a target works on a request past its deadline."""
        self._required_until_s[requests.MAX_REQUEST_S] = max(
            self._required_until_s.get(requests.MAX_REQUEST_S, 0.0),
            anyio.current_time() + terms.DRIFT_MARGIN_S,
        )

    def review(self) -> None:
        """Announce the time that is required now, if it has changed."""
        now_s = anyio.current_time()
        needed_s = round_up_s(self._get_longest_deadline_s())
        for step, until_s in self._required_until_s.items():
            if until_s > now_s:
                needed_s = max(needed_s, step)
        if needed_s != self._members.own.longest_s:
            self._members.own.longest_s = needed_s
            self._members.request_renewal()
