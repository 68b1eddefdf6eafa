"""Stand-ins of the users' platform for the scripts of the second review.

One asyncio process serves the store, the minions and a proxy between each
host and the store; the hosts are the project's own processes, started with
the command of the deploy file. Only the standard library is used. The
stand-ins do what PROTOCOL.md and DEPLOY.md say and nothing else: answers
are delayed, dropped or wrong only where a script asks for it.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib import parse

HOST = "127.0.0.1"
REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# Figures of the settings example in DEPLOY.md.
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
HISTORY_S = 20.0
ROW_BYTES = 65536
READ_S = 0.004
TX_S = 0.008
TICK_S = 0.02
MAX_ENDS = 500
ENDED_STATES = ("completed", "failed", "canceled")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the time since the start of the script, in seconds."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


def free_port():
    """Return a loopback port that is free now."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in free_port.given:
            free_port.given.add(port)
            return port


free_port.given = set()


class HttpServer:
    """HTTP/1.1 server; `answer` returns status and body, or None to close."""

    def __init__(self, answer, port):
        self._answer = answer
        self.port = port
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen on the port."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self):
        """Stop listening and close all connections, as a dead process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _version = first.split(" ")
                headers = {}
                for line in lines:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                found = await self._answer(method, target, headers, body)
                if found is None:
                    return
                status, value = found
                data = json.dumps(value).encode()
                writer.write(
                    (
                        f"HTTP/1.1 {status} X\r\n"
                        "content-type: application/json\r\n"
                        f"content-length: {len(data)}\r\n\r\n"
                    ).encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store.

    `on_tx` may be set to a coroutine function that is called with the
    decoded body of each change before it is made; if it returns True, the
    change is made but not answered, and the connection delivers no more.
    """

    def __init__(self, record):
        self._record = record
        self.rows = {}
        self.ver = 0
        self._history = []
        self._forgotten_ver = 0
        self._changed = asyncio.Event()
        self._began_s = time.monotonic() - 1000.0
        self.on_tx = None
        self.last_writer = ""
        # Times and former states of changed rows, to read what was before.
        self._former = []
        self._stale_s = 0.0
        self._deaf_until_s = 0.0

    async def compact(self, stale_s, for_s):
        """Forget the history, as `platform_compact` of the bench does.

        Feeds hear nothing for a second while changes are made, then the
        history is dropped and they are cut; reads are behind for some time.

        Args:
            stale_s: How far reads are behind.
            for_s: For how long.
        """
        self._record.write(f"store: reads are {stale_s} s behind")
        self._stale_s = stale_s
        self._deaf_until_s = time.monotonic() + 1.0
        await asyncio.sleep(1.0)
        self._record.write("store: the history is dropped")
        self._history.clear()
        self._forgotten_ver = self.ver
        self._changed.set()
        self._changed = asyncio.Event()
        await asyncio.sleep(for_s - 1.0)
        self._stale_s = 0.0
        self._record.write("store: reads are current")

    def _readable_rows(self):
        """Return the rows as reads show them now."""
        rows = dict(self.rows)
        if self._stale_s:
            since_s = time.monotonic() - self._stale_s
            for at_s, at, former in reversed(self._former):
                if at_s <= since_s:
                    break
                if former is None:
                    rows.pop(at, None)
                else:
                    rows[at] = former
        return rows

    def now_ms(self):
        """Return the store's steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    def put(self, table, key, value):
        """Write a row of the operator or of a minion; None removes it."""
        at = (table, "", key)
        if value is None:
            if at in self.rows:
                self._apply({}, [at])
            return
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._apply({at: base64.b64encode(data).decode()}, [])

    def _apply(self, written, removed):
        self.ver += 1
        now_s = time.monotonic()
        for at in (*written, *removed):
            self._former.append((now_s, at, self.rows.get(at)))
        while now_s - self._former[0][0] > HISTORY_S:
            self._former.pop(0)
        for at, value in written.items():
            self.rows[at] = (value, self.ver)
            self._history.append((now_s, self.ver, at, value))
        for at in removed:
            self.rows.pop(at, None)
            self._history.append((now_s, self.ver, at, None))
        while self._history and now_s - self._history[0][0] > HISTORY_S:
            self._forgotten_ver = self._history.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _encode(at, value, ver):
        row = {"table": at[0], "part": at[1], "key": at[2], "ver": ver}
        if value is None:
            return row | {"deleted": True}
        return row | {"value": value}

    async def answer(self, method, target, _headers, body, host):
        """Answer one call of a host."""
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/v1/rows-tx":
            return await self._change(json.loads(body), host)
        await asyncio.sleep(READ_S)
        if url.path == "/v1/rows-get":
            return 200, self._get(query)
        if url.path == "/v1/rows-parts":
            after = query.get("after")
            parts = {
                part
                for table, part, _key in self._readable_rows()
                if table == query["table"] and (after is None or part > after)
            }
            found = {
                "parts": sorted(parts)[:1000],
                "has_more": len(parts) > 1000,
            }
            return 200, found | self._stamp()
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _stamp(self):
        return {"ver": self.ver, "now_ms": self.now_ms()}

    def _get(self, query):
        rows = [
            self._encode(at, value, ver)
            for at, (value, ver) in sorted(self._readable_rows().items())
            if at[0] == query["table"]
            and at[1] == query.get("part", "")
            and at[2] >= query.get("from", "")
            and ("to" not in query or at[2] < query["to"])
        ]
        limit = min(500, int(query.get("limit", 500)))
        found, size = [], 0
        for row in rows[:limit]:
            size += len(row["value"])
            if found and size > 1_000_000:
                break
            found.append(row)
        return {
            "rows": found,
            "has_more": len(found) < len(rows),
        } | self._stamp()

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + min(30000, int(query["wait_ms"])) / 1000
        while True:
            if after < self._forgotten_ver:
                return 410, {}
            newest = {}
            now_s = time.monotonic()
            if now_s >= self._deaf_until_s:
                for _at_s, ver, at, value in self._history:
                    if ver > after and at[0] == table:
                        newest[at] = (ver, value)
            left_s = until_s - now_s
            if newest or left_s <= 0:
                break
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        rows = sorted(
            (
                self._encode(at, value, ver)
                for at, (ver, value) in newest.items()
            ),
            key=lambda row: row["ver"],
        )
        stamp = self._stamp()
        if time.monotonic() < self._deaf_until_s:
            stamp["ver"] = after
        if len(rows) > 500:
            rows = rows[:500]
            stamp["ver"] = rows[-1]["ver"]
        return 200, {"rows": rows} | stamp

    async def _change(self, body, host):
        is_unanswered = False
        if self.on_tx is not None:
            is_unanswered = await self.on_tx(body)
        await asyncio.sleep(TX_S)
        found = self._commit(body)
        if found[0] == 200 and body.get("expected_rev"):
            self.last_writer = host
        return None if is_unanswered else found

    def _commit(self, body):
        def _at(row):
            return (row["table"], row.get("part", ""), row["key"])

        expected = {_at(r): r["ver"] for r in body.get("expected_rev", [])}
        written = {_at(r): r["value"] for r in body.get("set_keys", [])}
        removed = [_at(r) for r in body.get("remove", [])]
        touched = {*expected, *written, *removed}
        if any(at[0] in ("op", "servers") for at in (*written, *removed)):
            return 403, {}
        sizes = [len(base64.b64decode(value)) for value in written.values()]
        if (
            len(expected) + len(written) + len(removed) > 100
            or len({at[1] for at in touched}) > 1
            or max(sizes, default=0) > ROW_BYTES
        ):
            self._record.write(
                f"store: 400 for a change of {sorted(touched)[:3]}, largest "
                f"row {max(sizes, default=0)} bytes"
            )
            return 400, {}
        if any(
            self.rows.get(at, ("", 0))[1] != ver
            for at, ver in expected.items()
        ):
            rows = [
                (
                    self._encode(at, *self.rows[at])
                    if at in self.rows
                    else self._encode(at, None, 0)
                )
                for at in expected
            ]
            return 412, {"rows": rows} | self._stamp()
        self._apply(written, removed)
        return 200, self._stamp()


class Task:
    """A run on a minion."""

    def __init__(self, name, run, checkpoint, work_s):
        self.name = name
        self.run = run
        self.checkpoint = checkpoint
        self.work_s = work_s
        self.percent = 100
        self.at_work = True
        self.began_s = time.monotonic()
        self.gang = None
        self.stop_at_s = None


class Gangs:
    """The members of each run of a gang that are present."""

    def __init__(self):
        self.sizes = {}
        self.members = {}

    def key_of(self, name, run):
        """Return the key of a member; None if the task is of no gang."""
        step = name.rpartition(".")[0]
        return (step, run) if step in self.sizes else None


class Minion:
    """A minion of one life.

    Args:
        world: The world.
        service: Its service, as the configuration names it.
        zone: Its zone.
        number: Distinguishes it from the others of the zone.
        cpu: Its CPU in thousandths of a core.
        mem_mb: Its memory.
        labels: Its kind and its rack.
    """

    def __init__(self, world, *, service, zone, number, cpu, mem_mb, labels):
        self.world = world
        self.id = f"i-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.labels = labels
        self.port = free_port()
        self.server = HttpServer(self._answer, self.port)
        self.born = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.tasks = {}
        self.barred = {}
        self.ends = []
        self.all_ends = []
        self.last_seen = 0
        # Numbers of the ends that were listed when the lease lapsed.
        self.lapsed_ends = set()
        self.end_number = 0
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.on_call = None
        self._ended = asyncio.Event()

    def noted(self, job_id):
        """Return whether the end of a task of a job was taken note of."""
        return any(
            end[0] <= self.last_seen and end[1].startswith(job_id)
            for end in self.all_ends
        )

    def clock_ms(self):
        """Return the minion's steady clock."""
        return 1 + int((time.monotonic() - self._born_s) * 1000)

    def entry(self):
        """Return the minion's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def run(self):
        """Advance the runs and write the entry until the minion is lost."""
        await self.server.start()
        beat_at_s = 0.0
        while self.is_up:
            now_s = time.monotonic()
            if now_s >= beat_at_s:
                beat_at_s = now_s + HEARTBEAT_S
                self.world.store.put("servers", self.id, self.entry())
            self._advance()
            await asyncio.sleep(TICK_S)

    def lose(self):
        """End the process for good: all that runs here ends with it."""
        self.is_up = False
        self.server.stop()
        for task in self.tasks.values():
            self.world.note(self, task, "lost with its minion")
            self._leave_gang(task)
        gangs = {task.gang for task in self.tasks.values() if task.gang}
        self.tasks.clear()
        for gang in gangs:
            self.world.break_gang(gang)

        async def _expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            self.world.store.put("servers", self.id, None)

        self.world.spawn(_expire())

    def _leave_gang(self, task):
        if task.gang:
            self.world.gangs.members.get(task.gang, {}).pop(task.name, None)

    def _advance(self):
        now_s = time.monotonic()
        if self.tasks and self.clock_ms() > self.deadline_ms:
            for task in list(self.tasks.values()):
                self.end(task, "lapsed")
        for task in list(self.tasks.values()):
            if self.tasks.get(task.name) is not task:
                continue
            if task.stop_at_s is not None and now_s >= task.stop_at_s:
                self.end(task, "stopped")
                continue
            if task.gang and not task.at_work:
                size = self.world.gangs.sizes[task.gang[0]]
                if len(self.world.gangs.members[task.gang]) >= size:
                    task.at_work = True
                elif now_s - task.began_s > BOUNDS["gang_wait_ms"] / 1000:
                    self.end(task, "alone")
                continue
            task.work_s -= TICK_S * task.percent / 100
            if task.work_s <= 0:
                self.end(task, "done")

    def end(self, task, how):
        """End a run and list its end."""
        del self.tasks[task.name]
        self.barred[task.name] = max(self.barred.get(task.name, 0), task.run)
        self.end_number += 1
        self.ends.append(
            [self.end_number, task.name, task.run, how, task.checkpoint]
        )
        self.all_ends.append(self.ends[-1])
        self._ended.set()
        self._ended = asyncio.Event()
        self.world.note(self, task, how)
        self._leave_gang(task)
        if task.gang:
            if how == "done":
                self.world.finish_gang(task.gang)
            else:
                self.world.break_gang(task.gang)

    async def _answer(self, _method, target, headers, body):
        path = target.partition("?")[0]
        if path == "/health":
            return 200, {}
        value = json.loads(body or b"{}")
        if self.on_call is not None:
            found = await self.on_call(path, value)
            if found == "drop":
                return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        return await self.carry_out(path, value)

    async def carry_out(self, path, value):
        """Carry out a call and return its answer."""
        token = value.get("fencing_token", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        if path == "/v1/run-start":
            return self._start(value)
        if path == "/v1/run-stop":
            return self._stop(value)
        if path == "/v1/pace":
            task = self.tasks.get(value["task"])
            if task is None or task.run != value["run"]:
                return self._refuse("old")
            task.percent = value["percent"]
            return 200, self._stamp()
        if path == "/v1/hold":
            return await self._hold(value)
        return 404, {}

    def _stamp(self):
        return {"clock_ms": self.clock_ms()}

    def _refuse(self, reason):
        return 409, self._stamp() | {"reason": reason}

    def _extend(self, value):
        until_ms = min(
            value.get("deadline_ms", 0),
            self.clock_ms() + BOUNDS["hold_max_ms"],
        )
        self.deadline_ms = max(self.deadline_ms, until_ms)

    def _start(self, value):
        if value["deadline_ms"] < self.clock_ms():
            return self._refuse("late")
        self._extend(value)
        name, run = value["task"], value["run"]
        known = self.tasks.get(name)
        if known is not None and known.run == run:
            return 200, self._stamp()
        if run <= self.barred.get(name, 0) or known is not None:
            return self._refuse("old")
        task = Task(
            name, run, value.get("checkpoint", ""), self.world.work_s(name)
        )
        task.gang = self.world.gangs.key_of(name, run)
        self.tasks[name] = task
        if task.gang:
            task.at_work = False
            self.world.gangs.members.setdefault(task.gang, {})[name] = self
        self.world.note(self, task, "start")
        return 200, self._stamp()

    def _stop(self, value):
        name, run = value["task"], value["run"]
        self.barred[name] = max(self.barred.get(name, 0), run)
        task = self.tasks.get(name)
        if task is None or task.run > run:
            return self._refuse("old")
        if task.stop_at_s is None:
            task.stop_at_s = time.monotonic() + 0.1
        return 200, self._stamp()

    async def _hold(self, value):
        if self.clock_ms() > self.deadline_ms:
            self.lapsed_ends.update(end[0] for end in self.ends)
        self._extend(value)
        seen = min(value["last_seen"], self.end_number)
        for end in self.ends:
            if end[0] <= seen:
                self.world.record.write(
                    f"minion {self.id}: end {end[0]}, {end[1]} run {end[2]} "
                    f"{end[3]}, is taken note of"
                )
        self.last_seen = max(self.last_seen, seen)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait_s = min(2000, value.get("wait_ms", 0)) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        return 200, self._stamp() | {
            "born": self.born,
            "active": [
                [t.name, t.run, t.checkpoint, t.percent if t.at_work else 0, 0]
                for t in self.tasks.values()
            ],
            "finished": self.ends[:MAX_ENDS],
        }


class Proxy:
    """Forwards the connections of one host to a server on loopback.

    While it is cut, bytes in both directions are held up; they are delivered
    later unless their sender resets the connection. A connection that is
    opened meanwhile is never established: what is sent on it is lost.
    """

    def __init__(self, target_port):
        self.port = free_port()
        self._target_port = target_port
        self._open = asyncio.Event()
        self._open.set()

    async def start(self):
        """Listen."""
        await asyncio.start_server(self._relay, HOST, self.port)

    def cut(self):
        """Hold up all bytes from now on."""
        self._open.clear()

    def heal(self):
        """Deliver what was held up, and all that follows."""
        self._open.set()

    async def _relay(self, reader, writer):
        if not self._open.is_set():
            await self._open.wait()
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self._open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        finally:
            await self._open.wait()
        writer.close()


class HostProcess:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.front_port = free_port()
        self.ready_port = free_port()
        self.internal_port = free_port()
        self.store_server = HttpServer(self._answer_store, free_port())
        self.proxy = Proxy(self.store_server.port)
        self.process = None

    async def _answer_store(self, method, target, headers, body):
        return await self.world.store.answer(
            method, target, headers, body, self.name
        )

    def start(self):
        """Write the settings file and start the process."""
        world = self.world
        settings = {
            "node_name": self.name,
            "role": "host",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in world.zones},
            "listen_addrs": {
                "front": f"{HOST}:{self.front_port}",
                "ready": f"{HOST}:{self.ready_port}",
            },
            "internal_ports": [self.internal_port, self.internal_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.43, "cores": 1, "memory_mb": 300},
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_S * 1000,
            "contracts": ["base", "drain", "config", "sched", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "request",
            "platform": {
                "address": f"{HOST}:{self.proxy.port}",
                "form": "table",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "tx_ms": 8.0,
                "part_ops_s": 150,
                "row_bytes": ROW_BYTES,
                "across": False,
                "history_s": HISTORY_S,
            },
        }
        path = world.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads(
            (REPOSITORY / "deploy" / "system.toml").read_text()
        )
        words = deploy["roles"]["host"]["run"].split()
        log = open(world.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words,
            cwd=REPOSITORY,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/tmp"),
                "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                "WISTERIAWOOD_SETTINGS": str(path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        world.record.write(f"host {self.name}: started")

    def kill(self):
        """Send SIGKILL."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.world.record.write(f"host {self.name}: killed")


class World:
    """The store, the minions, the hosts and what was seen of them."""

    def __init__(self, case_folder, zones):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = zones
        self.store = Store(self.record)
        self.gangs = Gangs()
        self.minions = []
        self.hosts = []
        self.work = {}
        # (time, minion id, task, run, event)
        self.events = []
        self._background = set()

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def work_s(self, name):
        """Return the run time of a task."""
        return self.work.get(name.rpartition(".")[0], 1.0)

    def note(self, minion, task, event):
        """Record the start or the end of a run."""
        self.events.append(
            (self.record.now_s(), minion.id, task.name, task.run, event)
        )
        self.record.write(
            f"minion {minion.id}: {task.name} run {task.run} {event}"
        )

    def _members(self, gang):
        return list(self.gangs.members.get(gang, {}).items())

    def finish_gang(self, gang):
        """End the other members of a gang whose work is done."""
        for name, minion in self._members(gang):
            if name in minion.tasks:
                minion.end(minion.tasks[name], "done")

    def break_gang(self, gang):
        """End the other members of a gang of which one has ended."""
        for name, minion in self._members(gang):
            if name in minion.tasks:
                minion.end(minion.tasks[name], "broken")

    async def start(self, hosts, startup_s=5.0):
        """Start the store, the minions and the hosts.

        Args:
            hosts: Names and zones of the hosts.
            startup_s: Time until the first request.
        """
        for minion in self.minions:
            self.spawn(minion.run())
        await asyncio.sleep(0.2)
        for name, zone in hosts:
            host = HostProcess(self, name, zone)
            self.hosts.append(host)
            await host.store_server.start()
            await host.proxy.start()
            host.start()
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            await asyncio.sleep(0.2)
            states = [await self.ready(host) for host in self.hosts]
            if all(state == 200 for state in states):
                break
        else:
            raise RuntimeError("the hosts did not become ready")
        await asyncio.sleep(startup_s)

    async def ready(self, host):
        """Return the status of a host's readiness."""
        try:
            status, _body = await call(
                host.ready_port, "GET", "/v1/ready", "x", b"", 1.0
            )
        except (OSError, EOFError, TimeoutError):
            return 0
        return status

    def configure(self, version, routes, services):
        """Write a configuration, as the operator does.

        Args:
            version: Its version.
            routes: Name, prefix and service of each route.
            services: Names of the services.
        """
        value = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "hostname": "shop.example",
                    "prefix": prefix,
                    "route_type": "non_idempotent",
                    "timeout_ms": 3000,
                    "target_duration_ms": 1000,
                    "priority": 0,
                    "service": service,
                    "attempts": 4,
                    "stretch": 2.0,
                }
                for name, prefix, service in routes
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_conns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejects_overload": False,
                    "standby": False,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op", "config", value)
        self.record.write(
            f"operator: version {version} acknowledged, routes {routes}, "
            f"services {services}"
        )

    async def send(self, host, method, path, body=None, timeout_s=3.0):
        """Send a client's request; return the status and the answer.

        The status is 0 if there was no answer.
        """
        data = json.dumps(body).encode() if body is not None else b""
        self.record.write(f"client: {method} {path} to {host.name}")
        try:
            status, answer = await call(
                host.front_port, method, path, "shop.example", data, timeout_s
            )
        except (OSError, EOFError, TimeoutError) as exc:
            self.record.write(f"client: {method} {path}: no answer, {exc!r}")
            return 0, {}
        self.record.write(f"client: {method} {path}: {status} {answer}")
        return status, answer

    def last_writer(self):
        """Return the host that last wrote to the store under a condition."""
        return next(h for h in self.hosts if h.name == self.store.last_writer)

    def idle_s(self, prefix):
        """Return for how long no task with a prefix has run; 0 if one runs."""
        if any(
            name.startswith(prefix)
            for minion in self.minions
            for name in minion.tasks
        ):
            return 0.0
        found = [e[0] for e in self.events if e[2].startswith(prefix)]
        return self.record.now_s() - max(found, default=0.0)

    def starts(self, prefix):
        """Return the starts of tasks whose names begin with a prefix."""
        return [
            event
            for event in self.events
            if event[2].startswith(prefix) and event[4] == "start"
        ]

    def close(self):
        """End the hosts and remove the temporary folder."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for minion in self.minions:
            minion.server.stop()
        if os.environ.get("KEEP"):
            target = pathlib.Path(os.environ["KEEP"])
            shutil.copytree(self.folder, target, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(port, method, path, host_name, body, timeout_s):
    """Make one HTTP call on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(
                (
                    f"{method} {path} HTTP/1.1\r\nhost: {host_name}\r\n"
                    "content-type: application/json\r\n"
                    f"x-deadline-ms: {int(timeout_s * 1000)}\r\n"
                    f"content-length: {len(body)}\r\n\r\n"
                ).encode()
                + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            size = 0
            for line in head.split("\r\n"):
                name, _colon, value = line.partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            data = await reader.readexactly(size)
        finally:
            writer.close()
    try:
        return status, json.loads(data or b"{}")
    except ValueError:
        return status, {}


def job_id():
    """Return a new id of a job."""
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    """Return whether the script is to bring about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, case_folder):
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if unrun."""

    async def _run():
        try:
            return await asyncio.wait_for(case(), 110.0)
        except Exception as exc:
            print(f"could not run: {exc!r}", file=sys.stderr)
            return 2

    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(2))
    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(_run())
    print({0: "held", 1: "broken", 2: "not run"}[code], flush=True)
    # Connections that are still open need no orderly end.
    os._exit(code)
