"""Callers that send requests and record what they saw."""

import dataclasses
import itertools
import random
import uuid

import anyio
from ddsketch import ddsketch
import httpx

from wisteriawood.contracts import requests
from wisteriawood.links import callers
from wisteriawood.links import targets

RELATIVE_ACCURACY = 0.01
PAUSE_S = 0.02
CALL_TIMEOUT_S = 8.0
LOST = "no answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class Seen:
    """What a caller saw of one request.

    Attributes:
        body: Body that it sent, unlike any other.
        request_id: Id that the answer carried; empty if there was none.
        key: Idempotency key; empty if repeatable.
        outcome: Outcome header, or that there was no answer.
        status: HTTP status; 0 if there was no answer.
        is_own: Whether the answer's body was that of the request.
        latency_s: Time until the answer.
    """

    body: str
    request_id: str = ""
    key: str = ""
    outcome: str = LOST
    status: int = 0
    is_own: bool = False
    latency_s: float = 0.0


class Load:
    """Callers behind a balancer that knows which entry hosts are ready.

    Args:
        addresses: Addresses of the entry hosts, as host:port.
        path: Path of the service.
        rng: Chooses requests.
        run_once_share: Share of run-once requests, 0 to 1.
        pause_s: Average pause of a caller between requests, in seconds.
    """

    __slots__ = (
        "_addresses",
        "_client",
        "_next",
        "_path",
        "_pause_s",
        "_rng",
        "_run_once_share",
        "seen",
    )

    def __init__(
        self,
        *,
        addresses: list[str],
        path: str,
        rng: random.Random,
        run_once_share: float = 0.2,
        pause_s: float = PAUSE_S,
    ):
        self._addresses = list(addresses)
        self._next = itertools.count()
        self._path = path
        self._pause_s = pause_s
        self._rng = rng
        self._run_once_share = run_once_share
        self._client = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=200),
        )
        self.seen: list[Seen] = []

    def drop(self, address: str) -> None:
        """Stop sending to an entry host, as a balancer would.

        Args:
            address: Its address, as host:port.
        """
        self._addresses.remove(address)

    async def run(self, *, callers_at_once: int, seconds: float) -> None:
        """Send requests for some time.

        Args:
            callers_at_once: Callers, each with one request at a time.
            seconds: How long they go on.
        """
        ends_at_s = anyio.current_time() + seconds
        async with anyio.create_task_group() as group:
            for _number in range(callers_at_once):
                group.start_soon(self._call_until, ends_at_s)

    async def _call_until(self, ends_at_s: float) -> None:
        while anyio.current_time() < ends_at_s:
            key = ""
            if self._rng.random() < self._run_once_share:
                key = uuid.uuid4().hex
            seen = await self.call(key=key)
            if key and seen.outcome != requests.Outcome.RAN:
                # A caller who must know tries the same key again.
                await self.call(key=key, body=seen.body)
            await anyio.sleep(self._rng.uniform(0.0, 2 * self._pause_s))

    async def call(self, *, key: str = "", body: str = "") -> Seen:
        """Send one request and record what comes back.

        Args:
            key: Idempotency key; empty if repeatable.
            body: Body; empty for a new one.
        """
        seen = Seen(body=body or uuid.uuid4().hex, key=key)
        self.seen.append(seen)
        headers = {callers.KEY_HEADER: key} if key else {}
        number = next(self._next) % len(self._addresses)
        started_s = anyio.current_time()
        try:
            response = await self._client.post(
                f"http://{self._addresses[number]}{self._path}",
                content=seen.body,
                headers=headers,
            )
        except httpx.HTTPError:
            return seen
        seen.latency_s = anyio.current_time() - started_s
        seen.status = response.status_code
        seen.outcome = response.headers.get(callers.OUTCOME_HEADER, LOST)
        seen.request_id = response.headers.get(targets.REQUEST_ID_HEADER, "")
        seen.is_own = response.text == seen.body
        return seen

    def outcomes(self) -> dict[str, int]:
        """Return the number of requests of each outcome."""
        counts: dict[str, int] = {}
        for seen in self.seen:
            counts[seen.outcome] = counts.get(seen.outcome, 0) + 1
        return counts

    def quantiles_ms(self, *quantiles: float) -> list[float]:
        """Return quantiles of the latency of requests that were answered.

        Args:
            *quantiles: Quantiles, 0 to 1.
        """
        sketch = ddsketch.DDSketch(RELATIVE_ACCURACY)
        for seen in self.seen:
            if seen.is_own:
                sketch.add(1000 * seen.latency_s)
        return [
            sketch.get_quantile_value(quantile) or 0.0
            for quantile in quantiles
        ]

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
