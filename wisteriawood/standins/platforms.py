"""Stand-in for the platform with fault injection."""

import dataclasses

import anyio
import sortedcontainers
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from wisteriawood import errors
from wisteriawood.links.codecs import rows
from wisteriawood.links import platforms

MAX_OUTCOMES = 100_000


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformFaults:
    """Faults to inject.

    Attributes:
        down: Whether every call fails without effect.
        objects_down: Whether calls to the object store fail.
        slow_s: Delay before each call in seconds.
        answers_lost: Number of subsequent commits that are applied but
            whose answers are lost.
        hosts_lag_s: Delay in seconds until a change of the hosts is
            visible in the host list.
    """

    down: bool = False
    objects_down: bool = False
    slow_s: float = 0.0
    answers_lost: int = 0
    hosts_lag_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class PlatformCounts:
    """Numbers of calls that the stand-in has executed.

    Attributes:
        reads: All reads, of rows, ranges, transaction outcomes and hosts.
        writes: Committed transactions.
        conflicts: Transactions rejected because a condition did not hold.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0


class MemoryPlatform:
    """The platform in memory, with the interface of the platform link."""

    __slots__ = (
        "_host_changes",
        "_outcomes",
        "_sequence",
        "counts",
        "faults",
        "objects",
        "table",
    )

    def __init__(self):
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()
        self.table = sortedcontainers.SortedDict()
        self.objects: dict[str, bytes] = {}
        self._host_changes: list[tuple[float, dict]] = []
        self._outcomes: dict[str, platforms.Result] = {}
        self._sequence = 0

    async def _apply_faults(self) -> None:
        if self.faults.slow_s:
            await anyio.sleep(self.faults.slow_s)
        if self.faults.down:
            raise errors.PlatformUnavailableError("the platform is down")

    async def read(self, key: str) -> platforms.Row | None:
        """Return a row, or None if there is none."""
        await self._apply_faults()
        self.counts.reads += 1
        return self.table.get(key)

    async def scan(
        self,
        prefix: str,
        *,
        after: str = "",
        limit: int = platforms.SCAN_LIMIT,
    ) -> list[platforms.Row]:
        """Return the rows whose keys have a prefix, in key order."""
        await self._apply_faults()
        self.counts.reads += 1
        found = []
        start = max(prefix, after)
        for key in self.table.irange(minimum=start):
            if not key.startswith(prefix) or len(found) >= limit:
                break
            if key > after:
                found.append(self.table[key])
        return found

    async def commit(
        self, transaction: platforms.Transaction
    ) -> platforms.Result:
        """Commit a transaction and return its result.

        A transaction with a known id is not applied again.
        """
        await self._apply_faults()
        result = self._outcomes.get(transaction.id)
        if result is None:
            result = self._apply(transaction)
            self._outcomes[transaction.id] = result
            if len(self._outcomes) > MAX_OUTCOMES:
                self._outcomes.pop(next(iter(self._outcomes)))
        if self.faults.answers_lost > 0:
            self.faults.answers_lost -= 1
            raise errors.TransactionUnknownError("the answer was lost")
        return result

    def _apply(self, transaction: platforms.Transaction) -> platforms.Result:
        conflicts = [
            condition.key
            for condition in transaction.conditions
            if self._version(condition.key) != condition.version
        ]
        if conflicts:
            self.counts.conflicts += 1
            return platforms.Result(committed=False, conflicts=conflicts)
        self.counts.writes += 1
        self._sequence += 1
        for write in transaction.writes:
            if write.value is None:
                self.table.pop(write.key, None)
                continue
            self.table[write.key] = platforms.Row(
                key=write.key, value=write.value, version=self._sequence
            )
        return platforms.Result(committed=True, version=self._sequence)

    def _version(self, key: str) -> int:
        row = self.table.get(key)
        return row.version if row else 0

    async def outcome(self, transaction_id: str) -> platforms.Result | None:
        """Return the result of a transaction, or None if it is unknown."""
        await self._apply_faults()
        self.counts.reads += 1
        return self._outcomes.get(transaction_id)

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        await self._apply_faults()
        self._apply_object_faults()
        self.objects[key] = data

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if there is none."""
        await self._apply_faults()
        self._apply_object_faults()
        return self.objects.get(key)

    def _apply_object_faults(self) -> None:
        if self.faults.objects_down:
            raise errors.PlatformUnavailableError("the object store is down")

    def put_host(self, host: platforms.Host) -> None:
        """Add or update a host; visible in the list after hosts_lag_s."""
        self._change_hosts({host.name: host})

    def remove_host(self, name: str) -> None:
        """Remove a host; visible in the list after hosts_lag_s."""
        self._change_hosts({name: None})

    def _change_hosts(self, change: dict) -> None:
        visible_at_s = anyio.current_time() + self.faults.hosts_lag_s
        self._host_changes.append((visible_at_s, change))

    async def hosts(self) -> list[platforms.Host]:
        """Return the host list, without changes that are not yet visible."""
        await self._apply_faults()
        self.counts.reads += 1
        now_s = anyio.current_time()
        visible: dict[str, platforms.Host | None] = {}
        for visible_at_s, change in self._host_changes:
            if visible_at_s <= now_s:
                visible.update(change)
        return [host for host in visible.values() if host is not None]


def _refuse(exc: errors.PlatformError) -> responses.Response:
    status = 500 if isinstance(exc, errors.TransactionUnknownError) else 503
    return responses.PlainTextResponse(str(exc) + "\n", status)


def _json(record) -> responses.Response:
    if record is None:
        return responses.PlainTextResponse("not found\n", 404)
    return responses.Response(
        rows.to_json(record), media_type="application/json"
    )


class PlatformApp:
    """HTTP interface of the platform stand-in.

    Args:
        platform: The platform in memory.
    """

    __slots__ = ("platform",)

    def __init__(self, *, platform: MemoryPlatform):
        self.platform = platform

    async def read(self, request: requests.Request) -> responses.Response:
        """Answer GET /rows."""
        return _json(await self.platform.read(request.query_params["key"]))

    async def scan(self, request: requests.Request) -> responses.Response:
        """Answer GET /scan."""
        query = request.query_params
        found = await self.platform.scan(
            query["prefix"], after=query["after"], limit=int(query["limit"])
        )
        return _json(found)

    async def commit(self, request: requests.Request) -> responses.Response:
        """Answer POST /transactions."""
        transaction = rows.from_json(
            await request.body(), platforms.Transaction
        )
        return _json(await self.platform.commit(transaction))

    async def outcome(self, request: requests.Request) -> responses.Response:
        """Answer GET /transactions/ID."""
        return _json(await self.platform.outcome(request.path_params["id"]))

    async def objects(self, request: requests.Request) -> responses.Response:
        """Answer GET and PUT /objects/KEY."""
        key = request.path_params["key"]
        if request.method == "PUT":
            await self.platform.put_object(key, await request.body())
            return responses.PlainTextResponse("stored\n")
        data = await self.platform.get_object(key)
        if data is None:
            return responses.PlainTextResponse("not found\n", 404)
        return responses.Response(data)

    async def hosts(self, request: requests.Request) -> responses.Response:
        """Answer GET, POST and DELETE /hosts."""
        if request.method == "POST":
            host = rows.from_json(await request.body(), platforms.Host)
            self.platform.put_host(host)
            return responses.PlainTextResponse("kept\n")
        if request.method == "DELETE":
            self.platform.remove_host(request.query_params["name"])
            return responses.PlainTextResponse("removed\n")
        return _json(await self.platform.hosts())

    async def faults(self, request: requests.Request) -> responses.Response:
        """Answer PUT /faults: set the faults to inject."""
        self.platform.faults = rows.from_json(
            await request.body(), PlatformFaults
        )
        return _json(self.platform.faults)

    async def counts(self, _request: requests.Request) -> responses.Response:
        """Answer GET /counts."""
        return _json(self.platform.counts)

    def make_app(self) -> applications.Starlette:
        """Return the ASGI application."""

        async def _answer_refusal(_request, exc):
            return _refuse(exc)

        async def _answer_bad_message(_request, exc):
            return responses.PlainTextResponse(str(exc) + "\n", 400)

        return applications.Starlette(
            routes=[
                routing.Route("/rows", self.read),
                routing.Route("/scan", self.scan),
                routing.Route("/transactions", self.commit, methods=["POST"]),
                routing.Route("/transactions/{id}", self.outcome),
                routing.Route(
                    "/objects/{key:path}",
                    self.objects,
                    methods=["GET", "PUT"],
                ),
                routing.Route(
                    "/hosts", self.hosts, methods=["GET", "POST", "DELETE"]
                ),
                routing.Route("/faults", self.faults, methods=["PUT"]),
                routing.Route("/counts", self.counts),
            ],
            exception_handlers={
                errors.PlatformError: _answer_refusal,
                errors.MessageError: _answer_bad_message,
            },
        )
