"""Link to the platform's table, object store and host list."""

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
READ_BACK_DELAY_S = 0.05
READ_BACK_MAX_DELAY_S = 1.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Row:
    """A row of the table.

    Attributes:
        key: Key of the row.
        value: JSON value.
        version: Changes with every write and never comes back.
    """

    key: str
    value: typing.Any
    version: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Condition:
    """What must hold for a transaction to be committed.

    Attributes:
        key: Key of a row.
        version: Version that it must have; 0 if it must not exist.
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
    """Writes that are committed together or not at all.

    The table commits an id once; sent again, it gives the first outcome.

    Attributes:
        conditions: What must hold.
        writes: What is written.
        id: Own id of the transaction.
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
        conflicts: Keys whose conditions did not hold.
    """

    committed: bool
    version: int = 0
    conflicts: list[str] = dataclasses.field(default_factory=list)


class HostKind(enum.StrEnum):
    """Kinds of machines in the platform's host list."""

    WORKER = "worker"
    TARGET = "target"


@dataclasses.dataclass(slots=True, kw_only=True)
class Host:
    """A machine in the platform's host list, which lags.

    Attributes:
        name: Name of the host.
        kind: Worker, or target that serves one service.
        zone: Its availability zone.
        rack: Its rack.
        address: Address of its interface, as host:port.
        capacity: What a worker can hold.
        leaving: Whether it will go away soon.
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
    """What the platform gives; the users' bench can stand in here.

    Every call raises PlatformUnavailableError if it surely had no effect
    and TransactionUnknownError if a commit may have had one.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Return rows in the order of keys.

        Args:
            prefix: Start of their keys.
            after: Only keys greater than this one.
            limit: Most rows to return.
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
    """The platform over HTTP with JSON.

    Args:
        url: Base address of the platform.
        timeout_s: Seconds after which a call is given up.
    """

    __slots__ = ("_client",)

    def __init__(self, *, url: str, timeout_s: float = CALL_TIMEOUT_S):
        self._client = clients.Client(url=url, timeout_s=timeout_s)

    async def _call(self, method: str, path: str, **options) -> httpx.Response:
        try:
            response = await self._client.request(method, path, **options)
        except httpx.HTTPError as exc:
            raise errors.PlatformUnavailableError(
                f"the platform does not answer: {exc!r}"
            ) from exc
        if response.status_code >= 500:
            raise errors.PlatformUnavailableError(
                f"the platform answers {response.status_code}"
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
        """Return rows in the order of keys."""
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
                "the platform refuses connections"
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.TransactionUnknownError(
                f"a commit was not acknowledged: {exc!r}"
            ) from exc
        if response.status_code == 503:
            raise errors.PlatformUnavailableError("the platform is down")
        if response.status_code >= 500:
            raise errors.TransactionUnknownError(
                f"the platform answers {response.status_code}"
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


async def commit_settled(
    platform: Platform, transaction: Transaction
) -> Result:
    """Commit a transaction and settle a lost acknowledgement.

    A commit whose outcome is unknown is read back by its own id; where
    the table does not know the id, the same transaction is sent again,
    which the table commits once at most.

    Args:
        platform: Link to the platform.
        transaction: What to commit.

    Raises:
        PlatformUnavailableError: The first send surely had no effect.
    """
    try:
        return await platform.commit(transaction)
    except errors.TransactionUnknownError:
        pass
    delay_s = READ_BACK_DELAY_S
    while True:
        try:
            result = await platform.outcome(transaction.id)
            if result is None:
                result = await platform.commit(transaction)
            return result
        except errors.PlatformError:
            await anyio.sleep(delay_s)
            delay_s = min(2 * delay_s, READ_BACK_MAX_DELAY_S)


async def scan_all(platform: Platform, prefix: str) -> list[Row]:
    """Return all rows of a prefix, page after page.

    Args:
        platform: Link to the platform.
        prefix: Start of their keys.
    """
    found: list[Row] = []
    after = ""
    while True:
        page = await platform.scan(prefix, after=after)
        found.extend(page)
        if len(page) < SCAN_LIMIT:
            return found
        after = page[-1].key
