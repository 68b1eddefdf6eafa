"""Link to the table, the object store and the host list of the platform."""

import dataclasses
import enum
import typing
from urllib import parse
import uuid

import anyio
import httpx

from wisteriawood.contracts import resources
from wisteriawood import errors
from wisteriawood.links import clients
from wisteriawood.links.codecs import rows

CALL_TIMEOUT_S = 2.0
SCAN_LIMIT = 1000
READ_OUTCOME_DELAY_S = 0.05
MAX_READ_OUTCOME_DELAY_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        value: JSON value.
        version: Changes with every write and is never reused.
    """

    key: str
    value: typing.Any
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Condition:
    """Precondition of a transaction.

    Attributes:
        key: Key of the row.
        version: Version that the row must have; 0 if it must not exist.
    """

    key: str
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Write:
    """One write of a transaction.

    Attributes:
        key: Key of the row.
        value: JSON value; None deletes the row.
    """

    key: str
    value: typing.Any = None


def new_id() -> str:
    """Return a new random id."""
    return uuid.uuid4().hex


@dataclasses.dataclass(slots=True, kw_only=True)
class Transaction:
    """Writes that are committed atomically.

    The table commits each id only once; if a transaction is sent again,
    the table returns the first outcome.

    Attributes:
        conditions: Preconditions of the commit.
        writes: Writes to commit.
        id: Unique id of the transaction.
    """

    conditions: list[Condition] = dataclasses.field(default_factory=list)
    writes: list[Write] = dataclasses.field(default_factory=list)
    id: str = dataclasses.field(default_factory=new_id)


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """Outcome of a transaction.

    Attributes:
        committed: Whether it was committed.
        version: Version of all rows that it wrote.
        conflicts: Keys of the conditions that did not hold.
    """

    committed: bool
    version: int = 0
    conflicts: list[str] = dataclasses.field(default_factory=list)


class HostKind(enum.StrEnum):
    """Kind of a machine in the platform's host list."""

    WORKER = "worker"
    TARGET = "target"


@dataclasses.dataclass(slots=True, kw_only=True)
class Host:
    """A machine in the platform's host list, which may be out of date.

    Attributes:
        name: Name of the host.
        kind: Worker, or target that serves one service.
        zone: Availability zone of the host.
        rack: Rack of the host.
        address: Address that the host serves, as host:port.
        capacity: Resources of a worker.
        leaving: Whether the host is about to be removed.
        team: Team of a target.
        service: Service of a target.
        slots: Slots of a target.
    """

    name: str
    kind: HostKind = HostKind.WORKER
    zone: str
    rack: str
    address: str
    capacity: resources.Resources = resources.NOTHING
    leaving: bool = False
    team: str = ""
    service: str = ""
    slots: int = 0


class Platform(typing.Protocol):
    """Calls to the platform; a test bench may have its own implementation.

    Every call raises PlatformUnavailableError if it is known to have had
    no effect, and a commit raises TransactionUnknownError if it may have
    taken effect.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in the order of their keys.

        Args:
            prefix: Prefix of the keys.
            after: Return only keys greater than this one.
            limit: Maximum number of rows to return.
        """

    async def commit(self, transaction: Transaction) -> Result:
        """Commit a transaction and return its outcome."""

    async def outcome(self, transaction_id: str) -> Result | None:
        """Return the outcome of a transaction, or None if unknown."""

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if there is none."""

    async def hosts(self) -> list[Host]:
        """Return the host list."""


def _object_path(key: str) -> str:
    return f"/objects/{parse.quote(key)}"


class HttpPlatform:
    """The platform, called over HTTP with JSON bodies.

    Args:
        url: Base URL of the platform.
        timeout_s: Timeout of a call, in seconds.
    """

    __slots__ = ("_client",)

    def __init__(self, *, url: str, timeout_s: float = CALL_TIMEOUT_S):
        self._client = clients.Client(url=url, timeout_s=timeout_s)

    async def _call(self, method: str, path: str, **options) -> httpx.Response:
        try:
            response = await self._client.request(method, path, **options)
        except httpx.HTTPError as exc:
            raise errors.PlatformUnavailableError(
                f"the call to the platform failed: {exc!r}"
            ) from exc
        if response.status_code >= 500:
            raise errors.PlatformUnavailableError(
                f"the platform answered with status {response.status_code}"
            )
        return response

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        response = await self._call("GET", "/rows", params={"key": key})
        if response.status_code == 404:
            return None
        return rows.from_json(response.content, Row)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in the order of their keys."""
        response = await self._call(
            "GET",
            "/scan",
            params={"prefix": prefix, "after": after, "limit": limit},
        )
        return rows.from_json(response.content, list[Row])

    async def commit(self, transaction: Transaction) -> Result:
        """Commit a transaction and return its outcome."""
        try:
            response = await self._client.request(
                "POST", "/transactions", content=rows.to_json(transaction)
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.PlatformUnavailableError(
                "the platform refused the connection"
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.TransactionUnknownError(
                f"the commit was not acknowledged: {exc!r}"
            ) from exc
        if response.status_code == 503:
            raise errors.PlatformUnavailableError(
                "the platform is unavailable"
            )
        if response.status_code >= 500:
            raise errors.TransactionUnknownError(
                f"the platform answered with status {response.status_code}"
            )
        return rows.from_json(response.content, Result)

    async def outcome(self, transaction_id: str) -> Result | None:
        """Return the outcome of a transaction, or None if unknown."""
        response = await self._call("GET", f"/transactions/{transaction_id}")
        if response.status_code == 404:
            return None
        return rows.from_json(response.content, Result)

    async def put_object(self, key: str, data: bytes) -> None:
        """Store an object."""
        await self._call("PUT", _object_path(key), content=data)

    async def get_object(self, key: str) -> bytes | None:
        """Return an object, or None if there is none."""
        response = await self._call("GET", _object_path(key))
        return None if response.status_code == 404 else response.content

    async def hosts(self) -> list[Host]:
        """Return the host list."""
        response = await self._call("GET", "/hosts")
        return rows.from_json(response.content, list[Host])

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


async def commit_with_retry(
    platform: Platform, transaction: Transaction
) -> Result:
    """Commit a transaction, and retry until its outcome is known.

    If the acknowledgement is lost, the outcome is read by the id of the
    transaction. If the table does not know the id, the same transaction is
    sent again; the table commits it at most once.

    Args:
        platform: Link to the platform.
        transaction: The transaction to commit.

    Raises:
        PlatformUnavailableError: The first attempt failed and is known to
            have had no effect.
    """
    try:
        return await platform.commit(transaction)
    except errors.TransactionUnknownError:
        pass
    delay_s = READ_OUTCOME_DELAY_S
    while True:
        try:
            result = await platform.outcome(transaction.id)
            if result is None:
                result = await platform.commit(transaction)
            return result
        except errors.PlatformError:
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_READ_OUTCOME_DELAY_S)


async def scan_all(platform: Platform, prefix: str) -> list[Row]:
    """Return all rows whose keys have a prefix, read page by page.

    Args:
        platform: Link to the platform.
        prefix: Prefix of the keys.
    """
    found: list[Row] = []
    after = ""
    while True:
        page = await platform.scan(prefix, after=after)
        found.extend(page)
        if len(page) < SCAN_LIMIT:
            return found
        after = page[-1].key
