"""The platform's wire in memory, for tests of the adapter and the soak.

Answers the calls of the store and of one worker over ASGI, in the words of
the wire, from the product's own stand-ins, and writes what the operator, the
workers and callers would.
"""

import base64
import json
import typing
from urllib import parse

import anyio

from wisteriawood import errors
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links import https
from wisteriawood.links import runners
from wisteriawood.links import stores
from wisteriawood.platform import directory
from wisteriawood.standins import runners as run_standins
from wisteriawood.standins import stores as store_standins

# Time between two looks for an end while a call waits for one.
WAIT_TICK_S = 0.02

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
    """The store's calls over ASGI, as one host sees them.

    Args:
        store: Keeps the rows.
        addresses: Addresses under which the host reaches the workers, by
            id; empty for those that they write.

    Attributes:
        status: Status of each answer; 0 for what the store says.
        lost_answers: Changes to come whose answer never leaves.
        lost_answer_delay_s: Time after which those take effect.
    """

    __slots__ = (
        "_addresses",
        "_store",
        "lost_answer_delay_s",
        "lost_answers",
        "status",
    )

    def __init__(
        self,
        *,
        store: store_standins.MemoryStore,
        addresses: dict[str, str] | None = None,
    ):
        self._store = store
        self._addresses = addresses or {}
        self.status = 0
        self.lost_answers = 0
        self.lost_answer_delay_s = 0.0

    async def __call__(self, scope, receive, send) -> None:
        """Answer one call."""
        if scope["type"] == "lifespan":
            await https.serve_lifespan(receive, send)
            return
        query = dict(parse.parse_qsl(scope["query_string"].decode()))
        body = await _read_body(receive)
        if self.status:
            await _send(send, self.status, {})
            return
        is_lost = scope["path"] == "/v1/rows-tx" and self.lost_answers > 0
        if is_lost:
            self.lost_answers -= 1
            await anyio.sleep(self.lost_answer_delay_s)
        try:
            answer = await self._answer(scope["path"], query, body)
        except WireError as exc:
            await _send(send, exc.status, exc.body)
            return
        if is_lost:
            raise errors.LinkClosedError("the answer is lost")
        await _send(send, 200, answer)

    def _encode(self, row: stores.StoredRow) -> dict:
        """Return a row with the addresses that this host may use."""
        address = self._addresses.get(row.at.key)
        if row.at.table != directory.WORKER_TABLE or not address:
            return _encode_row(row)
        if row.value is None:
            return _encode_row(row)
        value = json.loads(row.value) | {"address": address}
        return _encode_row(
            stores.StoredRow(
                at=row.at,
                value=json.dumps(value).encode(),
                version=row.version,
            )
        )

    async def _answer(self, path: str, query: dict, body: dict) -> dict:
        if path == "/v1/rows-tx":
            return self._commit(body)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-parts":
            parts = {
                at.part
                for at in self._store.rows
                if at.table == query["table"]
            }
            return {"parts": sorted(parts), "ver": self._store.version}
        if path != "/v1/rows-get":
            raise WireError(status=404)
        rows = [
            self._encode(row)
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
            "rows": [self._encode(row) for row in rows],
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
        if scope["type"] == "lifespan":
            await https.serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        if self._worker.is_dead:
            raise errors.LinkClosedError("the worker is down")
        expected = dict(scope["headers"]).get(b"x-expect-instance", b"")
        if expected.decode() != self._worker_id:
            await _send(send, 421, {})
            return
        try:
            if scope["path"] == "/v1/hold":
                await self._wait(body)
            answer = self._answer(scope["path"], body)
        except runners.FencedError:
            await _send(send, 409, {"reason": "fence"})
            return
        except WireError as exc:
            await _send(send, exc.status, exc.body)
            return
        clock = {"clock_ms": self._worker.clock_ms()}
        await _send(send, 200, clock | answer)

    async def _wait(self, body: dict) -> None:
        """Renew the lease and wait for an end as long as asked."""
        worker = self._worker
        worker.check_token(body.get("fencing_token", 0))
        worker.renew(body.get("deadline_ms", 0))
        worker.report(body["last_seen"])
        waited_ms = 0.0
        while waited_ms < body.get("wait_ms", 0) and not worker.has_ends():
            await anyio.sleep(WAIT_TICK_S)
            waited_ms += WAIT_TICK_S * 1000

    def _answer(self, path: str, body: dict) -> dict:
        worker = self._worker
        if path == "/v1/run-start":
            return self._start(body)
        worker.check_token(body.get("fencing_token", 0))
        if path == "/v1/run-stop":
            worker.stop_run(body["task"], body["run"])
            return {}
        if path == "/v1/pace":
            run = worker.runs.get(body["task"])
            if run is not None and run.order.run == body["run"]:
                run.percent = body["percent"]
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


def write_configuration(
    store: store_standins.MemoryStore, version: int, queue: queues.Queue
) -> None:
    """Write a configuration, as the operator does.

    Args:
        store: The store.
        version: Version of the configuration.
        queue: Its only queue.
    """
    value = {
        "version": version,
        "routes": [
            {
                "name": queue.name,
                "hostname": queue.host_name,
                "prefix": queue.prefix,
                "service": queue.service,
                "timeout_ms": queue.timeout_ms,
                "target_duration_ms": queue.target_ms,
                "attempts": queue.attempts,
                "stretch": queue.stretch,
            }
        ],
    }
    at = stores.RowKey(
        table=directory.OPERATOR_TABLE, key=directory.CONFIGURATION_KEY
    )
    store.apply(stores.Change(writes={at: json.dumps(value).encode()}))


def write_worker(
    store: store_standins.MemoryStore,
    found: runners.Registration | None,
    worker_id: str,
) -> None:
    """Write the entry of a worker, as it does itself.

    Args:
        store: The store.
        found: The worker; None once it has left.
        worker_id: Its id.
    """
    at = stores.RowKey(table=directory.WORKER_TABLE, key=worker_id)
    if found is None:
        store.apply(stores.Change(writes={at: None}))
        return
    value = {
        "service": found.service,
        "address": found.address,
        "zone": found.zone,
        "state": "draining" if found.is_draining else "ready",
        "labels": ["kind", found.rack],
        "capacity": {
            "cpu": found.cpu_millicores,
            "mem_mb": found.memory_mb,
            "gpus": found.accelerators,
        },
        "remaining_ms": found.remaining_ms,
    }
    store.apply(stores.Change(writes={at: json.dumps(value).encode()}))


def encode_settings(
    name: str,
    zone: str,
    zones: list[str],
    *,
    front: str,
    ready: str,
    store: str,
) -> bytes:
    """Return the settings file of a host.

    Args:
        name: Name of the host.
        zone: Its availability zone.
        zones: All availability zones.
        front: Address to listen on for callers, as host:port.
        ready: Address to listen on for the balancer.
        store: Address of the store.
    """
    value = {
        "node_name": name,
        "zone": zone,
        "zones": dict.fromkeys(zones, "region"),
        "listen_addrs": {"front": front, "ready": ready},
        "platform": {"address": store},
        "bounds": {"hold_max_ms": 3000, "status_s": 120, "grace_s": 6},
    }
    return json.dumps(value).encode()


def encode_job(spec: specs.JobSpec) -> bytes:
    """Return the body with which a caller hands a job in.

    Args:
        spec: The job.
    """
    steps = [
        {
            "count": step.task_count,
            "cpu": step.cpu_millicores,
            "mem_mb": step.memory_mb,
            "est_runtime_ms": step.expected_run_ms,
            "after": step.after,
            "long_running": step.is_standing,
        }
        for step in spec.steps
    ]
    return json.dumps({"task_spec": spec.payload, "steps": steps}).encode()
