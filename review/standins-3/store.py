"""Stand-in of the platform's store, in memory."""

import asyncio
import base64
import random
import time

import web

PAGE_ROWS = 500
TX_S = 0.008
ANSWER_S = 0.004


class Store:
    """Rows with versions from one counter; calls as PROTOCOL.md has them."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._changes = []
        self._changed = asyncio.Event()
        self._parts = {}
        # Share of the writes that are done and not answered; whether they are
        # done seconds later.
        self.lost_share = 0.0
        self.is_late = False
        # Times as long as usual that answers take.
        self.slow_x = 1.0
        # "", "silent" or "busy".
        self.fault = ""
        self._random = random.Random(1)
        self.server = web.Server(self._handle)

    def put(self, table, key, value, part=""):
        """Write a row, as the operator or a minion does; None removes it."""
        self._apply({(table, part, key): value})

    def get(self, table, key, part=""):
        """Return the value of a row; None if it does not exist."""
        return self.rows.get((table, part, key), (None, 0))[0]

    def _apply(self, writes):
        self.version += 1
        for at, value in writes.items():
            if value is None:
                self.rows.pop(at, None)
            else:
                self.rows[at] = (value, self.version)
            self._changes.append((self.version, at, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(ANSWER_S * self.slow_x)
        if self.fault == "busy":
            return 503, {}
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if path == "/v1/rows-tx":
            if self._random.random() < self.lost_share:
                if self.is_late:
                    await asyncio.sleep(self._random.uniform(1, 6))
                await self._change(body)
                await asyncio.sleep(5)
                raise web.NoAnswer
            return await self._change(body)
        if path == "/v1/rows-get":
            return 200, self._read(query)
        if path == "/v1/rows-parts":
            parts = {at[1] for at in self.rows if at[0] == query["table"]}
            return 200, self._stamp({"parts": sorted(parts)})
        if path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _stamp(self, answer, version=None):
        answer["ver"] = self.version if version is None else version
        answer["now_ms"] = int(time.monotonic() * 1000)
        return answer

    async def _change(self, body):
        expected = {_at(row): row["ver"] for row in body["expected_rev"]}
        writes = {
            _at(row): base64.b64decode(row["value"])
            for row in body["set_keys"]
        }
        writes |= {_at(row): None for row in body["remove"]}
        parts = {at[1] for at in (*expected, *writes)}
        too_long = any(len(value or b"") > 65536 for value in writes.values())
        if len(parts) > 1 or len(expected) + len(writes) > 100 or too_long:
            return 400, {}
        if any(at[0] in ("op", "servers") for at in writes):
            return 403, {}
        # A part handles its transactions one after the other.
        lock = self._parts.setdefault(min(parts), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            found = {at: self.rows.get(at, (None, 0)) for at in expected}
            if any(found[at][1] != expected[at] for at in expected):
                rows = [_encode(at, *row) for at, row in found.items()]
                return 412, self._stamp({"rows": rows})
            self._apply(writes)
            return 200, self._stamp({})

    def _read(self, query):
        table, part = query["table"], query.get("part", "")
        found = [
            _encode(at, *row)
            for at, row in sorted(self.rows.items())
            if at[0] == table
            and at[1] == part
            and at[2] >= query.get("from", "")
            and ("to" not in query or at[2] < query["to"])
        ]
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        return self._stamp(
            {"rows": found[:limit], "has_more": len(found) > limit}
        )

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            found = {}
            for version, at, value in reversed(self._changes):
                if version <= after:
                    break
                if at[0] == table and at not in found:
                    found[at] = (version, value)
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        rows = sorted((v, at, value) for at, (v, value) in found.items())
        version = self.version
        if len(rows) > PAGE_ROWS:
            rows = rows[:PAGE_ROWS]
            version = rows[-1][0]
        return self._stamp(
            {"rows": [_encode(at, value, v) for v, at, value in rows]},
            version,
        )


def _at(row):
    return row["table"], row["part"], row["key"]


def _encode(at, value, version):
    row = {"table": at[0], "part": at[1], "key": at[2], "ver": version}
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}
