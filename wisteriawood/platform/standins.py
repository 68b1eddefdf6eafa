"""The platform's wire in memory, for tests of the adapter.

Answers the calls of the store and of one worker over ASGI, in the words of
the wire, from the product's own stand-ins.
"""

import base64
import json
import typing
from urllib import parse

import anyio

from wisteriawood import errors
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.standins import runners as run_standins
from wisteriawood.standins import stores as store_standins

_REASONS = {
    runners.StartAnswer.FENCED: "fence",
    runners.StartAnswer.OLD_RUN: "old",
    runners.StartAnswer.TOO_LATE: "late",
    runners.StartAnswer.NO_ROOM: "room",
}


class WireError(errors.WisteriawoodError):
    """A call ends with another status than 200.

    Args:
        status: The status.
        body: The body.
    """

    def __init__(self, *, status: int, body: dict | None = None):
        self.status = status
        self.body = body or {}
        super().__init__(f"status {status}")


async def _read_body(receive) -> typing.Any:
    data = b""
    while True:
        message = await receive()
        data += message.get("body", b"")
        if not message.get("more_body"):
            return json.loads(data) if data else {}


async def _send(send, status: int, body: dict) -> None:
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [(b"content-type", b"application/json")],
        }
    )
    await send(
        {"type": "http.response.body", "body": json.dumps(body).encode()}
    )


def _encode_row(row: stores.StoredRow) -> dict:
    found = {
        "table": row.at.table,
        "part": row.at.part,
        "key": row.at.key,
        "ver": row.version,
    }
    if row.value is None:
        return found | {"deleted": True}
    return found | {"value": base64.b64encode(row.value).decode()}


class WireStore:
    """The store's calls over ASGI.

    Args:
        store: Keeps the rows.

    Attributes:
        status: Status of each answer; 0 for what the store says.
    """

    __slots__ = ("_store", "status")

    def __init__(self, *, store: store_standins.MemoryStore):
        self._store = store
        self.status = 0

    async def __call__(self, scope, receive, send) -> None:
        """Answer one call."""
        query = dict(parse.parse_qsl(scope["query_string"].decode()))
        body = await _read_body(receive)
        if self.status:
            await _send(send, self.status, {})
            return
        try:
            answer = await self._answer(scope["path"], query, body)
        except WireError as exc:
            await _send(send, exc.status, exc.body)
            return
        await _send(send, 200, answer)

    async def _answer(self, path: str, query: dict, body: dict) -> dict:
        if path == "/v1/rows-tx":
            return self._commit(body)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-parts":
            tables = {at.part for at in self._store.rows}
            return {"parts": sorted(tables), "ver": self._store.version}
        if path != "/v1/rows-get":
            raise WireError(status=404)
        rows = [
            _encode_row(row)
            for at, row in sorted(
                self._store.rows.items(), key=lambda item: item[0].key
            )
            if at.table == query["table"]
            and at.part == query.get("part", "")
            and at.key >= query.get("from", "")
        ]
        limit = int(query.get("limit", 500))
        return {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self._store.version,
        }

    def _commit(self, body: dict) -> dict:
        def _key(row):
            return stores.RowKey(
                table=row["table"], part=row["part"], key=row["key"]
            )

        change = stores.Change(
            expected={_key(r): r["ver"] for r in body["expected_rev"]},
            writes={
                _key(r): base64.b64decode(r["value"]) for r in body["set_keys"]
            }
            | {_key(r): None for r in body["remove"]},
        )
        try:
            return {"ver": self._store.apply(change)}
        except stores.ChangeConflictError as exc:
            rows = [_encode_row(row) for row in exc.rows]
            raise WireError(status=412, body={"rows": rows}) from exc

    async def _feed(self, query: dict) -> dict:
        try:
            rows = self._store.changes(query["table"], int(query["after"]))
        except stores.HistoryLostError as exc:
            raise WireError(status=410) from exc
        if not rows:
            with anyio.move_on_after(int(query["wait_ms"]) / 1000):
                await self._store.wait()
            rows = self._store.changes(query["table"], int(query["after"]))
        return {
            "rows": [_encode_row(row) for row in rows],
            "ver": self._store.version,
        }


class WireWorker:
    """A worker's calls over ASGI.

    Args:
        worker: Runs the tasks.
        worker_id: Id that its callers must expect.
    """

    __slots__ = ("_worker", "_worker_id")

    def __init__(self, *, worker: run_standins.MemoryWorker, worker_id: str):
        self._worker = worker
        self._worker_id = worker_id

    async def __call__(self, scope, receive, send) -> None:
        """Answer one call."""
        body = await _read_body(receive)
        expected = dict(scope["headers"]).get(b"x-expect-instance", b"")
        if expected.decode() != self._worker_id:
            await _send(send, 421, {})
            return
        try:
            answer = self._answer(scope["path"], body)
        except runners.FencedError:
            await _send(send, 409, {"reason": "fence"})
            return
        except WireError as exc:
            await _send(send, exc.status, exc.body)
            return
        clock = {"clock_ms": self._worker.clock_ms()}
        await _send(send, 200, clock | answer)

    def _answer(self, path: str, body: dict) -> dict:
        worker = self._worker
        if path == "/v1/run-start":
            return self._start(body)
        worker.check_token(body.get("fencing_token", 0))
        if path == "/v1/run-stop":
            worker.stop_run(body["task"], body["run"])
            return {}
        if path == "/v1/pace":
            worker.runs[body["task"]].percent = body["percent"]
            return {}
        if path != "/v1/hold":
            raise WireError(status=404)
        worker.renew(body.get("deadline_ms", 0))
        report = worker.report(body["last_seen"])
        return {
            "born": report.born_unix_ms,
            "active": [
                [r.task_name, r.run, r.checkpoint, r.percent, r.signal]
                for r in report.active
            ],
            "finished": [
                [e.number, e.task_name, e.run, e.outcome, e.checkpoint]
                for e in report.ended
            ],
        }

    def _start(self, body: dict) -> dict:
        order = runners.StartOrder(
            task_name=body["task"],
            run=body["run"],
            payload=body["task_spec"],
            lease_until_ms=body["deadline_ms"],
            token=body["fencing_token"],
            checkpoint=body.get("checkpoint", ""),
        )
        answer = self._worker.begin_run(order)
        if answer in _REASONS:
            raise WireError(status=409, body={"reason": _REASONS[answer]})
        return {}
