"""Simulated callers that send requests and record the answers."""

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
NO_ANSWER = "no answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """A request and its answer, as seen by the caller.

    Attributes:
        body: Body of the request; unique unless the request is a retry.
        request_id: Request id in the answer; empty if there was none.
        key: Idempotency key; empty for a repeatable request.
        outcome: Outcome header of the answer, or NO_ANSWER.
        status: HTTP status; 0 if there was no answer.
        is_echo: Whether the body of the answer equals that of the request.
        latency_s: Time until the answer, in seconds.
    """

    body: str
    request_id: str = ""
    key: str = ""
    outcome: str = NO_ANSWER
    status: int = 0
    is_echo: bool = False
    latency_s: float = 0.0


class Load:
    """Callers behind a round-robin load balancer.

    Args:
        addresses: Addresses of the entry hosts, as host:port.
        path: Path of the service.
        rng: Source of random request classes and pauses.
        run_once_share: Share of run-once requests, 0 to 1.
        pause_s: Mean pause of a caller between requests, in seconds.

    Attributes:
        sent: Records of all requests.
    """

    __slots__ = (
        "_addresses",
        "_client",
        "_next",
        "_path",
        "_pause_s",
        "_rng",
        "_run_once_share",
        "sent",
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
        self.sent: list[RequestRecord] = []

    def remove_address(self, address: str) -> None:
        """Stop sending requests to an entry host that is not ready.

        Args:
            address: Address of the entry host, as host:port.
        """
        self._addresses.remove(address)

    async def run(self, *, callers_at_once: int, seconds: float) -> None:
        """Send requests for a given time.

        Args:
            callers_at_once: Number of callers; each has at most one
                request in flight.
            seconds: Duration in seconds.
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
            record = await self.call(key=key)
            if key and record.outcome != requests.Outcome.RAN:
                # Retries with the same key to learn the outcome.
                await self.call(key=key, body=record.body)
            await anyio.sleep(self._rng.uniform(0.0, 2 * self._pause_s))

    async def call(self, *, key: str = "", body: str = "") -> RequestRecord:
        """Send one request and record the answer.

        Args:
            key: Idempotency key; empty for a repeatable request.
            body: Body of the request; empty for a new unique one.
        """
        record = RequestRecord(body=body or uuid.uuid4().hex, key=key)
        self.sent.append(record)
        headers = {callers.KEY_HEADER: key} if key else {}
        number = next(self._next) % len(self._addresses)
        started_s = anyio.current_time()
        try:
            response = await self._client.post(
                f"http://{self._addresses[number]}{self._path}",
                content=record.body,
                headers=headers,
            )
        except httpx.HTTPError:
            return record
        record.latency_s = anyio.current_time() - started_s
        record.status = response.status_code
        record.outcome = response.headers.get(
            callers.OUTCOME_HEADER, NO_ANSWER
        )
        record.request_id = response.headers.get(targets.REQUEST_ID_HEADER, "")
        record.is_echo = response.text == record.body
        return record

    def outcomes(self) -> dict[str, int]:
        """Return the number of requests by outcome."""
        counts: dict[str, int] = {}
        for record in self.sent:
            counts[record.outcome] = counts.get(record.outcome, 0) + 1
        return counts

    def quantiles_ms(self, *quantiles: float) -> list[float]:
        """Return latency quantiles, in milliseconds, of answered requests.

        Args:
            *quantiles: Quantiles, 0 to 1.
        """
        sketch = ddsketch.DDSketch(RELATIVE_ACCURACY)
        for record in self.sent:
            if record.is_echo:
                sketch.add(1000 * record.latency_s)
        return [
            sketch.get_quantile_value(quantile) or 0.0
            for quantile in quantiles
        ]

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
