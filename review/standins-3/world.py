"""A small deployment: hosts as processes, all else stand-ins."""

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import minions
import store as stores
import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = "feuchtlog"
HOST_NAME = "shop.example"
PREFIX = "/jobs/"
ZONES = ["linz-a", "wien-b", "graz-c"]
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_stretch_ms": 5000, "recovery_s": 12, "hold_max_ms": 6000,
    "stop_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "far_x": 2, "checkpoint_s": 0.5, "restore_ms": 250, "notice_ms": 4500,
    "move_s": 1.5, "upkeep_s": 2, "require_fencing": True, "lease_ms": 3000,
    "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}  # fmt: skip
# Ports of the hosts: below the range for outgoing connections.
PORTS = iter(range(20000 + os.getpid() * 397 % 9000, 32000))


def free_port(count=1):
    """Return the first of some consecutive free ports."""
    while True:
        first = next(PORTS)
        found = [first] + [next(PORTS) for _ in range(count - 1)]
        try:
            for port in found:
                with socket.socket() as bound:
                    bound.bind((web.HOST, port))
            return first
        except OSError:
            continue


class Host:
    """A host of the system, as a process with the deploy file's command."""

    def __init__(self, name, zone, folder, store_address):
        self.name = name
        self.zone = zone
        self.process = None
        self.front = free_port()
        ready, control, internal = free_port(), free_port(), free_port(16)
        self._folder = folder
        settings = {
            "node_name": name,
            "role": "host",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": web.HOST,
            "zone": zone,
            "region": "at-ost",
            "zones": dict.fromkeys(ZONES, "at-ost"),
            "listen_addrs": {
                "front": f"{web.HOST}:{self.front}",
                "ready": f"{web.HOST}:{ready}",
                "control": f"{web.HOST}:{control}",
            },
            "internal_ports": [internal, internal + 15],
            "seeds": [],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {
                "cpu_share": 0.43, "cores": 1, "memory_mb": 300,
                "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
            },  # fmt: skip
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover"]
            + ["sched", "platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "request",
            "advice": "",
            "platform": {
                "address": store_address, "form": "table",
                "writes_per_s": 600, "reads_per_s": 2000, "tx_ms": 8.0,
                "part_ops_s": 150, "row_bytes": 65536, "across": False,
                "history_s": 20,
            },  # fmt: skip
        }
        self._settings = folder / f"{name}.json"
        self._settings.write_text(json.dumps(settings))

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["host"]["run"])
        words[0] = sys.executable if words[0] == "python3" else words[0]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WISTERIAWOOD_SETTINGS"] = str(self._settings)
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)


class World:
    """Store, minions and hosts; what happens goes to record.txt.

    Args:
        folder: Folder of the case.
        hosts: Number of hosts by zone.
        fleet: Minions by zone, each a dictionary with `rack` and the amounts
            of its capacity that differ from the usual ones.
    """

    def __init__(self, folder, hosts, fleet):
        self._began_s = time.monotonic()
        self._record = open(pathlib.Path(folder) / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.work = minions.Work(self.log)
        self.store = stores.Store()
        self._hosts, self._fleet = hosts, fleet
        self.hosts = {}
        self.minions = {}

    def now_s(self):
        return time.monotonic() - self._began_s

    def log(self, text):
        if self._record.closed:
            return
        self._record.write(f"{self.now_s():8.3f} {text}\n")
        self._record.flush()

    def configure(self, version=1):
        route = {
            "name": "r-1", "hostname": HOST_NAME, "prefix": PREFIX,
            "route_type": "non_idempotent", "timeout_ms": 3000,
            "target_duration_ms": 1000, "priority": 0, "service": SERVICE,
            "attempts": 4, "stretch": 2.0,
        }  # fmt: skip
        value = {
            "version": version,
            "routes": [route],
            "services": [
                {
                    "name": SERVICE, "health_path": "/health",
                    "max_conns": 64, "protocol": "h1", "tls": False,
                    "rejects_overload": False, "standby": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }  # fmt: skip
        self.store.put("op", "config", json.dumps(value).encode())

    async def start(self):
        """Start everything, and wait until the hosts accept jobs."""
        await self.store.server.listen()
        self.configure()
        for zone, found in self._fleet.items():
            for number, amounts in enumerate(found):
                amounts = dict(amounts)
                rack = amounts.pop("rack", f"{zone}-r1")
                kind = amounts.pop("kind", "a")
                minion = minions.Minion(
                    f"i-{zone}-{number}",
                    work=self.work,
                    store=self.store,
                    service=SERVICE,
                    zone=zone,
                    labels=[kind, rack],
                    capacity={"cpu": 64000, "mem_mb": 256000, "gpus": 0}
                    | amounts,
                    hold_max_s=BOUNDS["hold_max_ms"] / 1000,
                )
                self.minions[minion.id] = minion
                await minion.start()
        for zone, count in self._hosts.items():
            for number in range(count):
                host = Host(
                    f"edge-{zone}-{number + 1}",
                    zone,
                    self.folder,
                    self.store.server.address,
                )
                self.hosts[host.name] = host
                host.start()
        await asyncio.sleep(8)
        for host in self.hosts.values():
            if not host.is_running():
                raise RuntimeError(f"{host.name} did not start")

    async def stop(self):
        """End all processes; keep their logs if LOGS names a folder."""
        for host in self.hosts.values():
            host.signal(signal.SIGKILL)
        for host in self.hosts.values():
            if host.process is not None:
                host.process.wait()
        keep = os.environ.get("LOGS")
        for path in sorted(self.folder.iterdir()):
            if keep:
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
            path.unlink()
        self.folder.rmdir()
        self._record.close()

    def live_fronts(self):
        return [h.front for h in self.hosts.values() if h.is_running()]

    async def submit(self, job_id, steps, work_s):
        """Submit a job as a client does; return whether it was accepted.

        Args:
            job_id: Its id.
            steps: Its steps, as the body has them.
            work_s: Work of a task of each step; None for one that lasts.
        """
        self.work.add(job_id, steps, work_s)
        body = {"task_spec": f"spec {job_id}", "steps": steps}
        for attempt in range(5):
            fronts = self.live_fronts()
            front = fronts[(int(job_id, 16) + attempt) % len(fronts)]
            status, _ = await self._ask("POST", front, job_id, body)
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job_id):
        """Return the state of a job as a client sees it; empty if unknown."""
        for front in self.live_fronts():
            status, answer = await self._ask("GET", front, job_id)
            if status == 200:
                return answer.get("state", "")
            if status == 410:
                return "410"
        return ""

    async def _ask(self, method, front, job_id, body=None):
        status, answer = await web.call(
            front,
            method,
            PREFIX + job_id,
            headers={
                "host": HOST_NAME,
                "content-type": "application/json",
                "x-deadline-ms": "3000",
            },
            body=body,
        )
        self.log(f"client {method} {job_id} at port {front}: {status} {answer}")
        return status, answer

    def free(self, minion):
        """Return what no run takes of a minion, as cpu and mem_mb."""
        cpu, mem = minion.capacity["cpu"], minion.capacity["mem_mb"]
        for run in minion.active.values():
            step = self.work.step_of(run.task)
            cpu -= step.get("cpu", 0)
            mem -= step.get("mem_mb", 0)
        return cpu, mem

    def room(self, step):
        """Return how many tasks of a step fit on the minions now."""
        fitting = 0
        for minion in self.minions.values():
            if minion.is_down or minion._state != "ready":
                continue
            cpu, mem = self.free(minion)
            if minion.capacity["gpus"] < step.get("gpus", 0):
                continue
            each = cpu // step["cpu"]
            each = min(each, mem // step["mem_mb"]) if step.get("mem_mb") else each
            if step.get("gpus"):
                used = sum(
                    self.work.step_of(run.task).get("gpus", 0)
                    for run in minion.active.values()
                )
                left = minion.capacity["gpus"] - used
                each = min(each, left // step["gpus"])
            if step.get("anti_affinity"):
                each = min(each, step["anti_affinity"])
            fitting += max(0, each)
        return fitting

    def used_share(self):
        """Return the share of the service's CPU that is in use."""
        total = used = 0
        for minion in self.minions.values():
            if minion.is_down:
                continue
            total += minion.capacity["cpu"]
            used += minion.capacity["cpu"] - self.free(minion)[0]
        return used / total


def play(folder, hosts, fleet, scene):
    """Play a case: exit with what its coroutine returns, 2 if it can't run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"

    async def _play():
        world = World(folder, hosts, fleet)
        try:
            await world.start()
            return await scene(world, is_troubled)
        except Exception as exc:
            world.log(f"the case could not run: {exc!r}")
            return 2
        finally:
            await world.stop()

    sys.exit(asyncio.run(_play()))
