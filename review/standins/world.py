"""Stand-ins for the platform, the workers and the clients of a review case.

A case starts the project's own hosts as separate processes with the command
of the deploy file. The store, the workers and the clients run in this process
and follow PROTOCOL.md. Only the standard library is used, and every address is
a loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
SERVICE = "feuchtlog"
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "hold_max_ms": 6000,
    "stop_ms": 400,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "far_x": 2,
    "checkpoint_s": 0.5,
    "restore_ms": 250,
    "notice_ms": 4500,
    "move_s": 1.5,
    "upkeep_s": 2,
    "require_fencing": True,
    "lease_ms": 3000,
    "thaw_slack_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}
HEARTBEAT_S = 1.5
# Limits of the store, as PROTOCOL.md and the settings give them.
MAX_TX_ENTRIES = 100
MAX_TX_BYTES = 1_000_000
MAX_NAME_BYTES = 200
MAX_ROW_BYTES = 65536
MAX_PAGE_ROWS = 500
CALL_S = 0.004
TX_S = 0.008
STOP_S = 0.1
STARTUP_TASK_S = 0.3
PORT_RANGE = (20000, 32000)
_KEPT_SOCKETS = []


class Record:
    """What was sent, answered and run, with times since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8", buffering=1)
        self._start_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the case, in seconds."""
        return time.monotonic() - self._start_s

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now_s():8.3f}  {text}\n")


class Dropped(Exception):
    """The call gets no answer; its connection is closed."""


class HttpServer:
    """Serves JSON calls over HTTP/1.1 with kept-alive connections."""

    def __init__(self, answer):
        self._answer = answer
        self._server = None
        self._writers = set()
        self.port = 0

    async def start(self, port=0):
        """Listen on a port; 0 for a free one."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, limit=2**21
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _version = first.split(" ")
                headers = {}
                for line in lines:
                    name, _colon, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                data = await reader.readexactly(size) if size else b""
                path, _mark, query = target.partition("?")
                params = dict(urllib.parse.parse_qsl(query))
                body = json.loads(data) if data else {}
                status, answer = await self._answer(
                    method, path, params, headers, body
                )
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Dropped):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def abort(self):
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self, in_order=False):
        """Stop listening, and close or reset all connections."""
        if self._server is not None:
            self._server.close()
        if not in_order:
            self.abort()
        for writer in list(self._writers):
            writer.close()


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self, record):
        self._record = record
        self.rows = {}
        self.ver = 1
        self._history = []
        self._changed = asyncio.Event()
        self.refused = []

    def apply(self, writes):
        """Write rows without conditions, as the operator and workers do."""
        self.ver += 1
        for at, value in writes.items():
            if value is None:
                self.rows.pop(at, None)
            else:
                self.rows[at] = (value, self.ver)
            self._history.append((self.ver, at, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.ver

    def put(self, table, key, value):
        """Write the JSON row of another writer; None removes it."""
        data = None if value is None else json.dumps(value).encode()
        self.apply({(table, "", key): data})

    @staticmethod
    def _row(at, value, ver):
        found = {"table": at[0], "part": at[1], "key": at[2], "ver": ver}
        if value is None:
            return found | {"deleted": True}
        return found | {"value": base64.b64encode(value).decode()}

    def _reason_to_refuse(self, body):
        entries = [
            *body.get("expected_rev", []),
            *body.get("set_keys", []),
            *body.get("remove", []),
        ]
        if len(entries) > MAX_TX_ENTRIES:
            return f"{len(entries)} entries"
        if len({row.get("part", "") for row in entries}) > 1:
            return "several parts"
        size = 0
        for row in entries:
            for name in ("table", "part", "key"):
                length = len(row.get(name, "").encode())
                if length > MAX_NAME_BYTES:
                    return f"a {name} of {length} bytes"
            data = base64.b64decode(row.get("value", ""))
            if len(data) > MAX_ROW_BYTES:
                return f"a row of {len(data)} bytes"
            size += len(row.get("value", ""))
        return f"{size} bytes" if size > MAX_TX_BYTES else ""

    def _commit(self, body):
        reason = self._reason_to_refuse(body)
        if reason:
            self.refused.append(reason)
            if len(self.refused) <= 5 or len(self.refused) % 50 == 0:
                self._record.write(
                    f"store answers 400 to a transaction: {reason} "
                    f"(the {len(self.refused)}. such answer)"
                )
            return 400, {"error": reason}

        def _at(row):
            return (row["table"], row.get("part", ""), row["key"])

        expected = {_at(r): r["ver"] for r in body.get("expected_rev", [])}
        writes = {
            _at(r): base64.b64decode(r["value"])
            for r in body.get("set_keys", [])
        } | {_at(r): None for r in body.get("remove", [])}
        if any(at[0] in ("op", "servers") for at in writes):
            return 403, {}
        found = {at: self.rows.get(at, (None, 0)) for at in expected}
        if any(found[at][1] != ver for at, ver in expected.items()):
            rows = [self._row(at, *row) for at, row in found.items()]
            return 412, {"rows": rows, "ver": self.ver}
        return 200, {"ver": self.apply(writes)}

    async def answer(self, path, params, body):
        """Answer one call."""
        if path == "/v1/rows-tx":
            await asyncio.sleep(TX_S)
            return self._commit(body)
        await asyncio.sleep(CALL_S)
        table = params.get("table", "")
        if path == "/v1/rows-parts":
            parts = sorted({at[1] for at in self.rows if at[0] == table})
            return 200, {"parts": parts, "ver": self.ver}
        if path == "/v1/rows-get":
            keys = sorted(
                at
                for at in self.rows
                if at[:2] == (table, params.get("part", ""))
                and at[2] >= params.get("from", "")
                and ("to" not in params or at[2] < params["to"])
            )
            limit = min(int(params.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
            rows = [self._row(at, *self.rows[at]) for at in keys[:limit]]
            more = len(keys) > limit
            return 200, {"rows": rows, "has_more": more, "ver": self.ver}
        if path == "/v1/rows-feed":
            return 200, await self._feed(
                table, int(params["after"]), int(params["wait_ms"]) / 1000
            )
        return 404, {}

    async def _feed(self, table, after, wait_s):
        until_s = time.monotonic() + wait_s
        while True:
            found = [
                entry
                for entry in self._history
                if entry[0] > after and entry[1][0] == table
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        ver = self.ver
        if len(found) > MAX_PAGE_ROWS:
            found = found[:MAX_PAGE_ROWS]
            ver = found[-1][0]
        rows = [self._row(at, value, v) for v, at, value in found]
        return {"rows": rows, "ver": ver}


class Run:
    """A run on a worker."""

    def __init__(self, task, number, began_s):
        self.task = task
        self.number = number
        self.began_s = began_s
        self.is_stopping = False


class Worker:
    """A worker without a guard of its capacity, over HTTP.

    Args:
        behave: Returns the seconds that a run works and how it ends, by the
            name of its task and the number of the run; None if it runs until
            it is stopped.
    """

    def __init__(self, world, name, zone, behave, *, cpu, memory_mb, kind):
        self._world = world
        self.name = name
        self.zone = zone
        self._behave = behave
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.kind = kind
        self.rack = f"r-{zone}"
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self._barred = {}
        self._ends = []
        self._end_number = 0
        self._ended = asyncio.Event()
        self.is_up = True
        self.state = "ready"
        self._sequence = 0
        # One server for the hosts of each zone, so that a zone can be cut off.
        self.servers = {}

    def clock_ms(self):
        """Return the worker's own steady clock."""
        return int((time.monotonic() - self._born_s) * 1000) + 1000

    async def start(self):
        """Serve and write heartbeats."""
        for zone in self._world.zones:
            server = HttpServer(self._answer_for(zone))
            await server.start()
            self.servers[zone] = server
        self._world.spawn(self._heartbeat())
        self._world.spawn(self._watch_lease())

    def _answer_for(self, zone):
        async def _answer(_method, path, _params, headers, body):
            await self._world.pass_cut(zone, self.zone)
            await asyncio.sleep(0.001)
            if headers.get("x-expect-instance", self.name) != self.name:
                return 421, {}
            status, answer = await self._call(path, body)
            if not self.is_up:
                raise Dropped()
            await self._world.pass_cut(zone, self.zone)
            return status, answer | {
                "clock_ms": self.clock_ms(),
                "born": self._born_ms,
            }

        return _answer

    async def _heartbeat(self):
        while self.is_up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Write the worker's entry, unless its zone is cut off."""
        if self.zone == self._world.cut_zone:
            return
        self._sequence += 1
        self._world.store.put(
            "servers",
            self.name,
            {
                "service": SERVICE,
                "address": f"{self.zone}/{self.name}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "capacity": {
                    "cpu": self.cpu,
                    "mem_mb": self.memory_mb,
                    "gpus": 0,
                },
                "labels": [self.kind, self.rack],
                "clock_ms": self.clock_ms(),
                "born": self._born_ms,
            },
        )

    async def _watch_lease(self):
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def _extend_lease(self, until_ms):
        latest = self.clock_ms() + BOUNDS["hold_max_ms"]
        self.lease_ms = max(self.lease_ms, min(int(until_ms), latest))

    def _check_fence(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def end(self, run, how):
        """End a run and list its end."""
        if self.runs.get(run.task) is not run or not self.is_up:
            return
        del self.runs[run.task]
        self._bar(run.task, run.number)
        self._end_number += 1
        self._ends.append([self._end_number, run.task, run.number, how, ""])
        self._ended.set()
        self._world.record.write(
            f"{self.name}: end of {run.task} run {run.number}: {how}"
        )

    def _bar(self, task, number):
        self._barred[task] = max(self._barred.get(task, 0), number)

    async def _call(self, path, body):
        if not self._check_fence(body):
            return 409, {"reason": "fence"}
        if path == "/v1/run-start":
            return self._start_run(body)
        if path == "/v1/run-stop":
            return self._stop_run(body)
        if path == "/v1/pace":
            return 200, {}
        if path != "/v1/hold":
            return 404, {}
        return await self._hold(body)

    def _stop_run(self, body):
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"]:
            if not run.is_stopping:
                run.is_stopping = True
                asyncio.get_running_loop().call_later(
                    STOP_S, self.end, run, "stopped"
                )
        elif run is None:
            self._bar(body["task"], body["run"])
        return 200, {}

    async def _hold(self, body):
        self._extend_lease(body.get("deadline_ms", 0))
        seen = body.get("last_seen", 0)
        for end in self._ends:
            if end[0] <= seen:
                self._world.record.write(
                    f"{self.name}: end of {end[1]} run {end[2]} ({end[3]}) "
                    "is taken note of"
                )
        self._ends = [end for end in self._ends if end[0] > seen]
        if not self._ends and body.get("wait_ms"):
            self._ended.clear()
            try:
                await asyncio.wait_for(
                    self._ended.wait(), body["wait_ms"] / 1000
                )
            except asyncio.TimeoutError:
                pass
        now_s = time.monotonic()
        active = [
            [
                run.task,
                run.number,
                "",
                100 if now_s - run.began_s >= STARTUP_TASK_S else 0,
                100,
            ]
            for run in self.runs.values()
        ]
        return 200, {"active": active, "finished": self._ends[:500]}

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {}
        self._extend_lease(body.get("deadline_ms", 0))
        if run is not None or number <= self._barred.get(task, 0):
            return 409, {"reason": "old"}
        if body.get("deadline_ms", 0) < self.clock_ms():
            return 409, {"reason": "late"}
        run = Run(task, number, time.monotonic())
        self.runs[task] = run
        self._world.on_start(self, run, body["fencing_token"])
        found = self._behave(task, number)
        if found is not None:
            asyncio.get_running_loop().call_later(
                found[0], self.end, run, found[1]
            )
        return 200, {}

    def crash(self):
        """Crash for good: connections end, and its entry lapses."""
        self._world.record.write(
            f"{self.name} is lost for good with {len(self.runs)} runs"
        )
        self.is_up = False
        self.runs.clear()
        for server in self.servers.values():
            server.close()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._world.store.put, "servers", self.name, None
        )

    async def leave(self, after_s):
        """Report that it drains, and end after some time, as scale_in does."""
        self.state = "draining"
        self.write_entry()
        self._world.record.write(f"{self.name} drains")
        await asyncio.sleep(after_s)
        self._world.record.write(
            f"{self.name} has left; {len(self.runs)} runs end with it"
        )
        self.is_up = False
        self.runs.clear()
        for server in self.servers.values():
            server.close(in_order=True)
        self._world.store.put("servers", self.name, None)

    def used_cpu(self, cpu_of):
        """Return the CPU of its runs, given that of each task."""
        return sum(cpu_of(task) for task in self.runs)


class Host:
    """A host of the project as a process."""

    def __init__(self, world, name, zone):
        self._world = world
        self.name = name
        self.zone = zone
        self.front = _free_port()
        self.ready = _free_port()
        self._store_server = HttpServer(self._answer_store)
        self.process = None
        self._words = []
        self._env = {}
        self._log_path = None

    async def _answer_store(self, _method, path, params, _headers, body):
        await self._world.pass_cut(self.zone, "")
        status, answer = await self._world.store.answer(path, params, body)
        await self._world.pass_cut(self.zone, "")
        if params.get("table") == "servers":
            for row in answer.get("rows", []):
                self._localize(row)
        return status, answer

    def _localize(self, row):
        """Replace a worker's address by the one for this host's zone."""
        if "value" not in row:
            return
        entry = json.loads(base64.b64decode(row["value"]))
        worker = self._world.workers[row["key"]]
        port = worker.servers[self.zone].port
        entry["address"] = f"{LOOPBACK}:{port}"
        row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()

    async def start(self, folder):
        """Write the settings and start the process."""
        await self._store_server.start()
        store = f"{LOOPBACK}:{self._store_server.port}"
        unused = f"{LOOPBACK}:{_free_port()}"
        settings = {
            "node_name": self.name,
            "role": "host",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": LOOPBACK,
            "zone": self.zone,
            "region": "at-ost",
            "zones": dict.fromkeys(self._world.zones, "at-ost"),
            "listen_addrs": {
                "front": f"{LOOPBACK}:{self.front}",
                "ready": f"{LOOPBACK}:{self.ready}",
            },
            "internal_ports": [],
            "seeds": [],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "platform",
                "advice",
                "upkeep",
                "sharing",
            ],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "request",
            "advice": unused,
            "platform": {
                "address": store,
                "form": "table",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "tx_ms": 8.0,
                "part_ops_s": 150,
                "row_bytes": MAX_ROW_BYTES,
                "across": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_bw_s": 80.0,
            },
            "cloud_api": {
                "address": unused,
                "rate_per_s": 60.0,
                "duties": [],
                "duty_per_s": 60.0,
            },
        }
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["host"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WISTERIAWOOD_SETTINGS"] = str(path)
        self._words, self._env = words, env
        self._log_path = folder / f"{self.name}.log"
        await self._launch()

    async def _launch(self):
        with open(self._log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._words, cwd=ROOT, env=self._env, stdout=log, stderr=log
            )

    async def lose_power(self, for_s):
        """Kill the process, and start it again after some time."""
        self._world.record.write(f"{self.name} loses power for {for_s} s")
        self.signal(signal.SIGKILL)
        await self.process.wait()
        await asyncio.sleep(for_s)
        await self._launch()
        self._world.record.write(f"{self.name} starts again")

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self._store_server.close()


def _free_port():
    """Return a free port outside the range of outgoing connections.

    It stays bound, so that no other case takes it before the host listens; a
    host that reuses addresses can still do so.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        try:
            with socket.socket() as probe:
                probe.bind((LOOPBACK, port))
            kept = socket.socket()
            kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            kept.bind((LOOPBACK, port))
        except OSError:
            continue
        _KEPT_SOCKETS.append(kept)
        return port


class World:
    """Hosts, workers and the store of one case.

    Attributes:
        starts: All starts, as (time in seconds, worker, task, run).
        cut_zone: Zone that is cut off from the store and the other zones;
            empty for none. Clients still reach it.
    """

    def __init__(self, record, zones):
        self.record = record
        self.zones = list(zones)
        self.store = Store(record)
        self.workers = {}
        self.hosts = {}
        self.starts = []
        self.cut_zone = ""
        self._healed = asyncio.Event()
        self._tasks = set()
        self._folder = tempfile.TemporaryDirectory()
        self.jobs = {}

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def pass_cut(self, one, other):
        """Drop a call that crosses a cut, once the cut has healed."""
        if self.cut_zone and one != other and self.cut_zone in (one, other):
            await self._healed.wait()
            raise Dropped()

    async def cut(self, zone, for_s):
        """Cut a zone off from the store and the other zones for a time."""
        self.record.write(f"zone {zone} is cut off for {for_s} s")
        self._healed = asyncio.Event()
        self.cut_zone = zone
        await asyncio.sleep(for_s)
        self.cut_zone = ""
        self._healed.set()
        self.record.write(f"zone {zone} is reachable again")
        for worker in self.workers.values():
            if worker.is_up and worker.zone == zone:
                worker.write_entry()

    def on_start(self, worker, run, token):
        """Note a start on a worker."""
        self.starts.append(
            (self.record.now_s(), worker.name, run.task, run.number)
        )
        self.record.write(
            f"{worker.name}: start of {run.task} run {run.number}, "
            f"fencing token {token}"
        )

    def configure(self, version=7):
        """Write the configuration, as the operator does."""
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": "q",
                        "hostname": HOST_NAME,
                        "prefix": PREFIX,
                        "service": SERVICE,
                        "timeout_ms": 3000,
                        "target_duration_ms": 1000,
                        "priority": 0,
                        "attempts": 4,
                        "stretch": 2.0,
                    }
                ],
                "services": [{"name": SERVICE, "rejects_overload": False}],
                "limits": {"max_body_bytes": 262144},
            },
        )

    async def start(self, workers, hosts, behave):
        """Start workers, given as (name, zone, cpu, memory, kind), and hosts.

        Returns once all hosts are ready and have known each other for some
        seconds.
        """
        self.configure()
        for name, zone, cpu, memory_mb, kind in workers:
            worker = Worker(
                self,
                name,
                zone,
                behave,
                cpu=cpu,
                memory_mb=memory_mb,
                kind=kind,
            )
            self.workers[name] = worker
            await worker.start()
        folder = pathlib.Path(self._folder.name)
        for name, zone in hosts:
            self.hosts[name] = Host(self, name, zone)
            await self.hosts[name].start(folder)
        until_s = time.monotonic() + 30
        for host in self.hosts.values():
            while True:
                status, _body = await call(host.ready, "GET", "/v1/ready")
                if status == 200:
                    break
                if time.monotonic() > until_s:
                    raise CannotRun(f"{host.name} is not ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(6.0)
        self.record.write("all hosts are ready")

    async def send(self, host, method, job_id, body=None, quiet=False):
        """Send a client's request to a host; return status and body."""
        status, answer = await call(
            host.front,
            method,
            PREFIX + job_id,
            body,
            headers={"Host": HOST_NAME, "X-Deadline-Ms": "3000"},
        )
        if not quiet:
            self.record.write(
                f"client: {method} {job_id} to {host.name} -> {status} "
                f"{json.dumps(answer)}"
            )
        return status, answer

    async def submit(self, host, job_id, steps):
        """Submit a job; return whether it was accepted."""
        self.jobs[job_id] = steps
        status, _answer = await self.send(
            host, "POST", job_id, {"task_spec": "text", "steps": steps}
        )
        return status == 200

    def cpu_of(self, task):
        """Return the CPU that a task requests."""
        job_id, _occurrence, step, _index = task.split(".")
        return self.jobs[job_id][int(step)]["cpu"]

    def running(self, job_id):
        """Return the runs of a job, as (worker, run)."""
        return [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(job_id + ".")
        ]

    def free_cpus(self):
        """Return the free CPU of each worker that is up."""
        return [
            worker.cpu - worker.used_cpu(self.cpu_of)
            for worker in self.workers.values()
            if worker.is_up
        ]

    def used_share(self):
        """Return the share of the service's CPU that is in use."""
        up = [worker for worker in self.workers.values() if worker.is_up]
        used = sum(worker.used_cpu(self.cpu_of) for worker in up)
        return used / sum(worker.cpu for worker in up)

    async def close(self):
        """End all processes and servers of the case."""
        for host in self.hosts.values():
            await host.stop()
        for worker in self.workers.values():
            for server in worker.servers.values():
                server.close()
        for task in list(self._tasks):
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(self._folder.name).iterdir():
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()


class CannotRun(Exception):
    """The case could not be brought about."""


async def call(port, method, path, body=None, headers=None, timeout_s=4.0):
    """Make one HTTP call on a new connection.

    Returns:
        Status and body; status 0 if there was no answer.
    """
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": LOOPBACK} | (headers or {})
    fields |= {"Content-Length": str(len(data)), "Connection": "close"}
    if data:
        fields["Content-Type"] = "application/json"
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(head.encode() + b"\r\n" + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    first, _mark, content = answer.partition(b"\r\n\r\n")
    if not first:
        return 0, {}
    status = int(first.split(b" ")[1])
    try:
        return status, json.loads(content) if content else {}
    except ValueError:
        return status, {}


def new_id():
    """Return a random job id."""
    return f"{random.getrandbits(64):016x}"


def main(case, folder):
    """Run a case and exit with its verdict.

    Args:
        case: Coroutine function of the record and of whether the disruption
            is to happen; returns the breaches as a list of texts.
        folder: Folder for the record.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {pathlib.Path(folder).name}, trouble: {has_trouble}")
    try:
        breaches = asyncio.run(
            asyncio.wait_for(case(record, has_trouble), 115)
        )
    except (CannotRun, TimeoutError, OSError) as exc:
        record.write(f"the case could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    for breach in breaches:
        record.write(f"BROKEN: {breach}")
        print(breach)
    record.write("the rule was broken" if breaches else "the rule held")
    print("broken" if breaches else "held")
    sys.exit(1 if breaches else 0)
