"""In-memory platform for tests of the adapter and the soak tests.

ASGI applications serve the HTTP APIs of the platform's store and of a worker;
the in-memory objects of wisteriawood.standins hold the data. Functions make
the rows, files and bodies that the operator, the workers and callers write on
the real platform.
"""

import base64
import contextlib
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

# Period at which a waiting call checks for ended runs.
END_POLL_PERIOD_S = 0.02
# Time after which the connection of an unanswered order is closed.
UNANSWERED_S = 5.0

_REFUSAL_REASONS = {
    runners.StartResult.FENCED: "fence",
    runners.StartResult.OLD_RUN: "old",
    runners.StartResult.TOO_LATE: "late",
    runners.StartResult.NO_CAPACITY: "room",
}


class StatusError(errors.WisteriawoodError):
    """The call is answered with an HTTP status other than 200.

    Args:
        status: HTTP status of the answer.
        body: Body of the answer; None for an empty object.
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


async def _wait_for_disconnect(receive) -> None:
    """Leave a call without an answer until its client closes."""
    while (await receive())["type"] != "http.disconnect":
        pass


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
    fields = {
        "table": row.at.table,
        "part": row.at.part,
        "key": row.at.key,
        "ver": row.version,
    }
    if row.value is None:
        return fields | {"deleted": True}
    return fields | {"value": base64.b64encode(row.value).decode()}


class StoreApp:
    """ASGI application that serves the store's HTTP API to one host.

    Args:
        store: Holds the rows.
        addresses: Addresses at which the host reaches the workers, by
            worker id; other workers keep the address in their entry.

    Attributes:
        status: Status with which every call is refused; 0 to answer calls
            normally.
        is_silent: Whether calls that arrive, and answers that are due, are
            lost while the connections stay open.
        silent_tables: Tables for which it is silent all the same.
        is_resetting: Whether connections are reset when a call arrives.
        read_delay_s: Delay of the answers to reads and polls.
        lost_answers: Number of next changes that are committed without an
            answer to the host.
        lost_answer_delay_s: Delay before such a change is committed.
        slow_parts: Partitions to which the delays apply.
        delay_s: Delay before a change of these partitions is committed.
        answer_delay_s: Delay of the answer after such a change is committed.
    """

    __slots__ = (
        "_addresses",
        "_store",
        "answer_delay_s",
        "delay_s",
        "is_resetting",
        "is_silent",
        "lost_answer_delay_s",
        "lost_answers",
        "read_delay_s",
        "silent_tables",
        "slow_parts",
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
        self.is_silent = False
        self.silent_tables: typing.Collection[str] = ()
        self.is_resetting = False
        self.read_delay_s = 0.0
        self.lost_answers = 0
        self.lost_answer_delay_s = 0.0
        self.slow_parts: typing.Collection[str] = ()
        self.delay_s = 0.0
        self.answer_delay_s = 0.0

    async def __call__(self, scope, receive, send) -> None:
        """Answer one call."""
        if scope["type"] == "lifespan":
            await https.serve_lifespan(receive, send)
            return
        query = dict(parse.parse_qsl(scope["query_string"].decode()))
        body = await _read_body(receive)
        if self.is_resetting:
            raise errors.LinkClosedError("the connection was reset")
        table = query.get("table", "")
        if not self._is_silent(table):
            status, answer = await self._answer_call(
                scope["path"], query, body
            )
            if not self._is_silent(table):
                await _send(send, status, answer)
                return
        await _wait_for_disconnect(receive)

    async def _answer_call(
        self, path: str, query: dict, body: dict
    ) -> tuple[int, dict]:
        """Return the status and the body of an answer, with its delays."""
        if self.status:
            return self.status, {}
        try:
            if path == "/v1/rows-tx":
                return 200, await self._change(body)
            answer = await self._answer(path, query)
        except StatusError as exc:
            return exc.status, exc.body
        await anyio.sleep(self.read_delay_s)
        return 200, answer

    async def _change(self, body: dict) -> dict:
        """Commit a change, late or without an answer if so set."""
        is_dropped = self.lost_answers > 0
        if is_dropped:
            self.lost_answers -= 1
            await anyio.sleep(self.lost_answer_delay_s)
        is_slow = any(
            row["part"] in self.slow_parts
            for row in (*body["set_keys"], *body["remove"])
        )
        if is_slow:
            await anyio.sleep(self.delay_s)
        answer = self._commit(body)
        if is_dropped:
            raise errors.LinkClosedError("the answer was dropped")
        if is_slow:
            await anyio.sleep(self.answer_delay_s)
        return answer

    def _is_silent(self, table: str) -> bool:
        return self.is_silent or table in self.silent_tables

    def _encode_for_host(self, row: stores.StoredRow) -> dict:
        """Encode a row, with the worker's address as this host reaches it."""
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

    async def _answer(self, path: str, query: dict) -> dict:
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
            raise StatusError(status=404)
        rows = [
            self._encode_for_host(row)
            for at, row in sorted(
                self._store.rows.items(), key=lambda item: item[0].key
            )
            if at.table == query["table"]
            and at.part == query.get("part", "")
            and at.key >= query.get("from", "")
            and ("to" not in query or at.key < query["to"])
        ]
        limit = int(query.get("limit", 500))
        return {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self._store.version,
        }

    def _commit(self, body: dict) -> dict:
        def _decode_key(row):
            return stores.RowKey(
                table=row["table"], part=row["part"], key=row["key"]
            )

        change = stores.Change(
            expected={_decode_key(r): r["ver"] for r in body["expected_rev"]},
            writes={
                _decode_key(r): base64.b64decode(r["value"])
                for r in body["set_keys"]
            }
            | {_decode_key(r): None for r in body["remove"]},
        )
        try:
            return {
                "ver": self._store.commit(change),
                "now_ms": int(self._store.clock_ms()),
            }
        except stores.ChangeRejectedError as exc:
            raise StatusError(status=400) from exc
        except stores.ChangeConflictError as exc:
            rows = [_encode_row(row) for row in exc.rows]
            raise StatusError(status=412, body={"rows": rows}) from exc

    async def _feed(self, query: dict) -> dict:
        table, after = query["table"], int(query["after"])
        try:
            rows = self._store.changes(table, after)
            with anyio.move_on_after(int(query["wait_ms"]) / 1000):
                while not rows:
                    await self._store.wait()
                    rows = self._store.changes(table, after)
            # A change at the end of the wait belongs to the version returned.
            rows = self._store.changes(table, after)
        except stores.HistoryLostError as exc:
            raise StatusError(status=410) from exc
        version = self._store.version
        # Like the platform's store, this one does not say that rows are left.
        if len(rows) > store_standins.MAX_FEED_ROWS:
            rows = rows[: store_standins.MAX_FEED_ROWS]
            version = rows[-1].version
        return {
            "rows": [self._encode_for_host(row) for row in rows],
            "ver": version,
        }


class WorkerApp:
    """ASGI application that serves a worker's HTTP API.

    Args:
        worker: Runs the tasks.
        worker_id: Id that hosts must send in x-expect-instance.
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
        if self._loses_answer(scope["path"], body):
            # Longer than any host waits for the answer to an order.
            await anyio.sleep(UNANSWERED_S)
            raise errors.LinkClosedError("the order gets no answer")
        try:
            if scope["path"] == "/v1/hold":
                await self._renew_and_wait(body)
            answer = self._answer(scope["path"], body)
        except runners.FencedError:
            await _send(send, 409, {"reason": "fence"})
            return
        except StatusError as exc:
            await _send(send, exc.status, exc.body)
            return
        clock = {"clock_ms": self._worker.clock_ms()}
        await _send(send, 200, clock | answer)

    def _loses_answer(self, path: str, body: dict) -> bool:
        """Return whether an order is carried out late and gets no answer."""
        worker = self._worker
        if path not in ("/v1/run-start", "/v1/run-stop"):
            return False
        if worker.lost_answers <= 0:
            return False
        worker.lost_answers -= 1
        instance = worker.started_unix_ms
        worker.defer(lambda: self._carry_out(path, body, instance))
        return True

    def _carry_out(self, path: str, body: dict, instance: int) -> None:
        worker = self._worker
        if worker.started_unix_ms != instance and not worker.keep_orders:
            return
        with contextlib.suppress(StatusError, runners.FencedError):
            self._answer(path, body)

    async def _renew_and_wait(self, body: dict) -> None:
        """Renew the lease and wait up to wait_ms for the end of a run."""
        worker = self._worker
        worker.check_token(body.get("fencing_token", 0))
        worker.renew(body.get("deadline_ms", 0))
        worker.report(body["last_seen"])
        instance = worker.started_unix_ms
        waited_ms = 0.0
        while (
            waited_ms < body.get("wait_ms", 0)
            and not worker.has_unacknowledged_ends()
        ):
            await anyio.sleep(END_POLL_PERIOD_S)
            waited_ms += END_POLL_PERIOD_S * 1000
            if worker.is_dead or worker.started_unix_ms != instance:
                raise errors.LinkClosedError("the worker has crashed")

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
            if run is not None and run.command.run == body["run"]:
                run.percent = body["percent"]
            return {}
        if path != "/v1/hold":
            raise StatusError(status=404)
        worker.renew(body.get("deadline_ms", 0))
        report = worker.report(body["last_seen"])
        return {
            "born": report.started_unix_ms,
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
        command = runners.StartRunCommand(
            task_name=body["task"],
            run=body["run"],
            payload=body["task_spec"],
            lease_until_ms=body["deadline_ms"],
            token=body["fencing_token"],
            checkpoint=body.get("checkpoint", ""),
        )
        answer = self._worker.begin_run(command)
        if answer in _REFUSAL_REASONS:
            raise StatusError(
                status=409, body={"reason": _REFUSAL_REASONS[answer]}
            )
        return {}


def write_configuration(
    store: store_standins.MemoryStore, version: int, *found: queues.Queue
) -> None:
    """Write a configuration, as the operator does.

    Args:
        store: The store.
        version: Version of the configuration.
        *found: Queues of the configuration.
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
            for queue in found
        ],
    }
    at = stores.RowKey(
        table=directory.OPERATOR_TABLE, key=directory.CONFIGURATION_KEY
    )
    store.apply(stores.Change(writes={at: json.dumps(value).encode()}))


def write_worker(
    store: store_standins.MemoryStore,
    registration: runners.Registration | None,
    worker_id: str,
) -> None:
    """Write the directory entry of a worker, as the worker does.

    Args:
        store: The store.
        registration: The worker; None to delete its entry.
        worker_id: Id of the worker.
    """
    at = stores.RowKey(table=directory.WORKER_TABLE, key=worker_id)
    if registration is None:
        store.apply(stores.Change(writes={at: None}))
        return
    value = {
        "service": registration.service,
        "address": registration.address,
        "zone": registration.zone,
        "state": "draining" if registration.is_draining else "ready",
        "labels": ["kind", registration.rack],
        "capacity": {
            "cpu": registration.cpu_millicores,
            "mem_mb": registration.memory_mb,
            "gpus": registration.accelerators,
        },
        "remaining_ms": registration.remaining_ms,
        "born": registration.started_unix_ms,
        "clock_ms": registration.clock_ms,
    }
    store.apply(stores.Change(writes={at: json.dumps(value).encode()}))


def encode_settings(
    name: str,
    zone: str,
    zones: list[str],
    *,
    internal_port: int = 0,
    front: str,
    ready: str,
    store: str,
    hold_max_ms: int,
) -> bytes:
    """Return the settings file of a host.

    Args:
        name: Name of the host.
        zone: Availability zone of the host.
        zones: All availability zones.
        internal_port: Port for other hosts, on the loopback interface; 0 for
            none.
        front: Address for callers' requests, as host:port.
        ready: Address for the balancer's readiness checks, as host:port.
        store: Address of the store, as host:port.
        hold_max_ms: Longest lease of a worker.
    """
    value = {
        "node_name": name,
        "zone": zone,
        "zones": dict.fromkeys(zones, "region"),
        "listen_addrs": {"front": front, "ready": ready},
        "platform": {"address": store},
        "bounds": {
            "hold_max_ms": hold_max_ms,
            "status_s": 120,
            "grace_s": 6,
        },
    }
    if internal_port:
        value["ip"] = "127.0.0.1"
        value["internal_ports"] = [internal_port, internal_port]
    return json.dumps(value).encode()


def encode_job(spec: specs.JobSpec) -> bytes:
    """Return the body with which a caller submits a job.

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
            "checkpointing": step.is_checkpointing,
            "long_running": step.is_standing,
            "image": step.image,
            "target_ms": step.tail_target_ms,
            "fills": step.is_filler,
            "anti_affinity": step.most_per_worker,
        }
        for step in spec.steps
    ]
    return json.dumps({"task_spec": spec.payload, "steps": steps}).encode()
