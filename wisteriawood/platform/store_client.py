"""Client of the platform's metadata store."""

import base64
import binascii
import dataclasses
import functools

import anyio
import httpx
import msgspec

from wisteriawood import errors
from wisteriawood.links import clients
from wisteriawood.links import clocks
from wisteriawood.links.codecs import rows
from wisteriawood.links import store_clocks
from wisteriawood.links import store_contacts
from wisteriawood.links import stores

# The timeout of a call is a multiple of the average time of earlier calls,
# within these bounds.
MIN_TIMEOUT_S = 0.35
MAX_TIMEOUT_S = 2.5
TIMEOUT_FACTOR = 6.0
# Longest time that a poll may take beyond its wait, and a read while the store
# is silent. What a feed shows gets older meanwhile.
MAX_POLL_MARGIN_S = 0.9
# Weight of the newest call in the exponential moving average.
NEWEST_WEIGHT = 0.2
CONNECT_TIMEOUT_S = 0.5
# Most rows of an answer.
PAGE_ROWS = 500
# Size of the values of an answer that may have been cut at the limit of 1 MB;
# keys and their encoding take the rest.
FULL_ANSWER_BYTES = 500_000
# Connections of the polls, and of all other calls.
MAX_CONNECTIONS = 16
# Statuses of a change that the store rejects for what it contains.
REJECTED_STATUSES = frozenset({400, 403, 413})


@dataclasses.dataclass(slots=True, kw_only=True)
class _Row:
    table: str = ""
    part: str = ""
    key: str = ""
    value: str = ""
    ver: int = 0
    deleted: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Answer:
    rows: list[_Row] = dataclasses.field(default_factory=list)
    parts: list[str] = dataclasses.field(default_factory=list)
    has_more: bool = False
    ver: int = 0
    # The store's steady clock.
    now_ms: int = 0


def _decode_row(row: _Row) -> stores.StoredRow:
    at = stores.RowKey(table=row.table, part=row.part, key=row.key)
    if row.deleted or row.ver == 0:
        return stores.StoredRow(at=at, value=None, version=row.ver)
    try:
        value = base64.b64decode(row.value, validate=True)
    except (binascii.Error, ValueError):
        # Treat an invalid value as empty; the readers of the row log it.
        value = b""
    return stores.StoredRow(at=at, value=value, version=row.ver)


def _encode_change(change: stores.Change) -> bytes:
    expected = [
        {"table": at.table, "part": at.part, "key": at.key, "ver": version}
        for at, version in change.expected.items()
    ]
    writes = [
        {
            "table": at.table,
            "part": at.part,
            "key": at.key,
            "value": base64.b64encode(value).decode("ascii"),
        }
        for at, value in change.writes.items()
        if value is not None
    ]
    removals = [
        {"table": at.table, "part": at.part, "key": at.key}
        for at, value in change.writes.items()
        if value is None
    ]
    return msgspec.json.encode(
        {"expected_rev": expected, "set_keys": writes, "remove": removals}
    )


def _after_prefix(prefix: str) -> str:
    """Return the first key after all that have an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _make_client(
    address: str, transport: httpx.AsyncBaseTransport | None
) -> clients.Client:
    return clients.Client(
        url=f"http://{address}",
        timeout_s=MAX_TIMEOUT_S,
        connections=MAX_CONNECTIONS,
        transport=transport,
        is_light=True,
    )


class TableStore:
    """Client of the store over HTTP; implements links.stores.Store.

    Args:
        address: Address of the store, as host:port.
        transport: HTTP transport; None for the default.

    Attributes:
        clock: The store's clock.
        contact: Shared by all that uses this client.
    """

    __slots__ = (
        "_average_s",
        "_client",
        "_newest_version",
        "_poll_client",
        "clock",
        "contact",
    )

    def __init__(
        self,
        *,
        address: str,
        transport: httpx.AsyncBaseTransport | None = None,
    ):
        # Polls have connections of their own, so that none waits for calls
        # that a silent store leaves unanswered.
        self._client = _make_client(address, transport)
        self._poll_client = _make_client(address, transport)
        self._average_s = MIN_TIMEOUT_S / TIMEOUT_FACTOR
        self._newest_version = 0
        self.clock = store_clocks.StoreClock()
        self.contact = store_contacts.StoreContact()

    def _timeout_s(self) -> float:
        return min(
            max(TIMEOUT_FACTOR * self._average_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S
        )

    async def _call(
        self,
        method: str,
        path: str,
        *,
        params: dict | None = None,
        content: bytes = b"",
        wait_s: float | None = None,
    ) -> clients.Response:
        """Make a call.

        Args:
            method: HTTP method.
            path: Path.
            params: Query parameters.
            content: Body.
            wait_s: For how long the store may wait before it answers a poll;
                None for other calls.
        """
        timeout_s = self._timeout_s()
        client = self._client
        if wait_s is not None:
            client = self._poll_client
            timeout_s = wait_s + min(timeout_s, MAX_POLL_MARGIN_S)
        elif method == "GET" and self.contact.is_silent():
            # The timeouts have grown as if the store were slow.
            timeout_s = min(timeout_s, MAX_POLL_MARGIN_S)
        started_at_s = anyio.current_time()
        try:
            response = await client.request(
                method,
                path,
                params=params,
                content=content,
                timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            )
        except httpx.TimeoutException:
            # Double the timeout of the next call.
            self._average_s = min(
                2 * self._average_s, MAX_TIMEOUT_S / TIMEOUT_FACTOR
            )
            raise
        if not wait_s:
            duration_s = anyio.current_time() - started_at_s
            self._average_s += NEWEST_WEIGHT * (duration_s - self._average_s)
        return response

    async def commit(self, change: stores.Change) -> int:
        """Commit a change and return the new version of its rows."""
        return await self.contact.make_call(
            functools.partial(self._commit, change),
            lost=errors.TransactionUnknownError,
        )

    async def _commit(self, change: stores.Change) -> int:
        sent_at_s = clocks.elapsed_s()
        try:
            response = await self._call(
                "POST", "/v1/rows-tx", content=_encode_change(change)
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise errors.PlatformUnavailableError(
                f"the store can't be reached: {exc!r}"
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.TransactionUnknownError(
                f"the store did not answer a change: {exc!r}"
            ) from exc
        if response.status_code == 412:
            answer = self._decode(response)
            raise stores.ChangeConflictError(
                rows=[_decode_row(row) for row in answer.rows]
            )
        if response.status_code in (429, 503):
            raise errors.PlatformUnavailableError(
                f"the store refused a change with {response.status_code}"
            )
        if response.status_code in REJECTED_STATUSES:
            raise stores.ChangeRejectedError(
                f"the store rejected a change with {response.status_code}: "
                f"{response.text[:200]}"
            )
        if response.status_code != 200:
            raise errors.TransactionUnknownError(
                f"the store answered a change with {response.status_code}: "
                f"{response.text[:200]}"
            )
        answer = self._decode(response)
        self.clock.record(
            store_ms=answer.now_ms,
            sent_at_s=sent_at_s,
            answered_at_s=clocks.elapsed_s(),
        )
        return answer.ver

    def _decode(self, response: clients.Response) -> _Answer:
        try:
            answer = rows.from_json(response.content, _Answer)
        except errors.MessageError as exc:
            raise errors.TransactionUnknownError(
                f"the store's answer can't be read: {exc}"
            ) from exc
        self._newest_version = max(self._newest_version, answer.ver)
        return answer

    async def _get(
        self, path: str, params: dict, *, wait_s: float | None = None
    ) -> _Answer:
        return await self.contact.make_call(
            functools.partial(self._get_once, path, params, wait_s),
            wait_s=wait_s or 0.0,
            lost=errors.PlatformUnavailableError,
        )

    async def _get_once(
        self, path: str, params: dict, wait_s: float | None
    ) -> _Answer:
        try:
            response = await self._call(
                "GET", path, params=params, wait_s=wait_s
            )
        except httpx.HTTPError as exc:
            raise errors.PlatformUnavailableError(
                f"the store does not answer: {exc!r}"
            ) from exc
        if response.status_code == 410:
            raise stores.HistoryLostError(
                "the store no longer has the changes after this version"
            )
        if response.status_code != 200:
            raise errors.PlatformUnavailableError(
                f"the store answered {response.status_code}"
            )
        return self._decode(response)

    async def read(
        self, table: str, part: str, *, key: str = "", prefix: str = ""
    ) -> stores.Page:
        """Return the rows of a partition, by key or prefix if given."""
        params = {"table": table, "part": part}
        if prefix:
            params |= {"from": prefix, "to": _after_prefix(prefix)}
        if key:
            answer = await self._get(
                "/v1/rows-get", params | {"from": key, "limit": 1}
            )
            found_rows = [
                _decode_row(row) for row in answer.rows if row.key == key
            ]
            return stores.Page(rows=found_rows, version=answer.ver)
        found: dict[str, stores.StoredRow] = {}
        version = 0
        while True:
            answer = await self._get(
                "/v1/rows-get", params | {"limit": PAGE_ROWS}
            )
            # Later pages may be newer. A feed that continues from the version
            # of the first page misses no change.
            version = version or answer.ver
            found.update({row.key: _decode_row(row) for row in answer.rows})
            if not answer.has_more or not answer.rows:
                return stores.Page(rows=list(found.values()), version=version)
            # "from" is inclusive: the next page repeats this row.
            params["from"] = answer.rows[-1].key

    async def parts(self, table: str) -> list[str]:
        """Return the partitions of a table."""
        found: list[str] = []
        params = {"table": table}
        while True:
            answer = await self._get("/v1/rows-parts", params)
            found.extend(answer.parts)
            if not answer.has_more or not answer.parts:
                return found
            params["after"] = answer.parts[-1]

    async def feed(self, table: str, after: int, wait_s: float) -> stores.Page:
        """Return the rows that changed after a version."""
        known_version = self._newest_version
        answer = await self._get(
            "/v1/rows-feed",
            {"table": table, "after": after, "wait_ms": int(wait_s * 1000)},
            wait_s=wait_s,
        )
        # A full answer does not say whether it is complete. One that ends
        # before a version that this host knows is not.
        is_complete = not answer.rows or (
            len(answer.rows) < PAGE_ROWS
            and sum(len(row.value) for row in answer.rows) < FULL_ANSWER_BYTES
            and answer.ver >= known_version
        )
        return stores.Page(
            rows=[_decode_row(row) for row in answer.rows],
            version=answer.ver,
            is_complete=is_complete,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()
        await self._poll_client.aclose()
