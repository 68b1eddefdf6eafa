"""Environment of a soak: real hosts with stand-ins and links."""

import logging
import pathlib
import random
import socket
import typing

import anyio
from anyio import abc

from wisteriawood.jobs import queues
from wisteriawood.links import https
from wisteriawood.links import runners
from wisteriawood.links import stores as store_links
from wisteriawood.platform import directory
from wisteriawood.platform import odd_entries
from wisteriawood.platform import standins
from wisteriawood.soak import callers
from wisteriawood.soak import checks
from wisteriawood.soak import faults
from wisteriawood.soak import freshness
from wisteriawood.soak import holder_faults
from wisteriawood.soak import hosts
from wisteriawood.soak import lives
from wisteriawood.soak import losses
from wisteriawood.soak import proxies
from wisteriawood.soak import records
from wisteriawood.soak import shapes
from wisteriawood.soak import standing
from wisteriawood.standins import stores

# In soaks with silences: time between two faults, and share of silences.
CALM_RANGE_S = (0.5, 5.0)
SILENCE_SHARE = 0.5
CALLERS = 3
SERVICE = "shop"
# Ports for servers, below the range for outgoing connections.
PORT_RANGE = (20000, 32000)
HEARTBEAT_PERIOD_S = 0.5
# Another writer changes entries of this many workers that do not exist.
ODD_WORKERS = 4
ODD_PERIOD_S = 0.7
WATCH_PERIOD_S = 0.1
# Time for the hosts to start before the first request.
STARTUP_S = 4.0
# Time after the last fault within which all accepted jobs must complete.
FINISH_TIMEOUT_S = 25.0
# The same with wide jobs, of which a worker runs few tasks at a time, and
# with long tasks.
FINISH_WIDE_TIMEOUT_S = 60.0
# The same with full cells, whose queue is long when the load ends.
FINISH_FULL_TIMEOUT_S = 90.0
# Share of wide jobs in soaks with such jobs.
WIDE_SHARE = 0.3


class _ReservedPorts:
    """Ports that stay this soak's own while nobody listens on them.

    They are outside the range of ephemeral ports, which outgoing connections
    take. A socket that is bound, but does not listen, keeps other soaks on
    this machine from choosing the port; a host that reuses addresses can
    still listen on it.
    """

    __slots__ = ("_rng", "_sockets")

    def __init__(self):
        # Unseeded, so that concurrent soaks choose different ports.
        self._rng = random.Random()
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that no other soak uses or has reserved."""
        while True:
            port = self._rng.randrange(*PORT_RANGE)
            if self._bind(port, reuses_address=False):
                if self._bind(port, reuses_address=True):
                    return port

    def _bind(self, port: int, *, reuses_address: bool) -> bool:
        """Bind a port and, if addresses are reused, keep it bound."""
        bound = socket.socket()
        try:
            if reuses_address:
                bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((proxies.HOST, port))
        except OSError:
            bound.close()
            return False
        if reuses_address:
            self._sockets.append(bound)
        else:
            bound.close()
        return True

    def close(self) -> None:
        """Release the ports."""
        while self._sockets:
            self._sockets.pop().close()


class SoakWorld:
    """Hosts, workers, stores, links, callers and faults of one soak.

    Args:
        seed: Seed of the load and the faults.
        folder: Folder for settings and logs.
        load_s: Duration of the load and the faults in seconds.
        is_wide: Whether some jobs are wide, with the faults that make them
            move between zones and their runs stop.
        has_silences: Whether the store falls silent, and the configuration
            is watched.
        has_losses: Whether the cells are full and workers are lost for good.
        has_lives: Whether workers restart under their ids and are cut off.
        outlives_process: Whether, in such a soak, connections to a worker and
            orders without an answer outlive its process.
        fault_names: Names of the faults to inject; empty for all.

    Attributes:
        added_queue: Queue beside the first one; None if there is none.
        checker: Checker that records breaches.
        faults: Faults to choose from, by name.
        freshness: Watches how soon a new queue is served; None without
            silences.
        holder_rng: Source of the faults of holders; of its own, so that
            seeds choose the same other faults as without these.
        hosts: Host processes, by name.
        injected_faults: Names of the injected faults, with their times.
        longest_pause_s: Longest time for which this process did not run
            although it should: the machine was busy with others.
        memory_store: Rows that all hosts share.
        shape: Zones, racks, hosts and workers.
        standing: Watches the standing tasks.
        store_links: Proxies between hosts and the store, by host.
        stores: Store interface of each host, by host.
        worker_links: Proxies between hosts and workers, by host and worker.
        workers: Workers, by id.
    """

    __slots__ = (
        "_folder",
        "_has_lives",
        "_has_losses",
        "_is_wide",
        "_load_s",
        "_odd_rng",
        "_ports",
        "_rng",
        "_stopping",
        "_version",
        "_work_s",
        "added_queue",
        "checker",
        "faults",
        "freshness",
        "holder_rng",
        "hosts",
        "injected_faults",
        "longest_pause_s",
        "memory_store",
        "queue",
        "shape",
        "standing",
        "store_links",
        "stores",
        "worker_links",
        "workers",
    )

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        load_s: float,
        is_wide: bool = False,
        has_losses: bool = False,
        has_silences: bool = False,
        has_lives: bool = False,
        outlives_process: bool = False,
        fault_names: typing.Collection[str] = (),
    ):
        self.faults = faults.choose(
            fault_names, is_wide, has_losses, has_silences, has_lives
        )
        self._folder = folder
        self._is_wide = is_wide
        self._has_losses = has_losses
        self._has_lives = has_lives
        self._load_s = load_s
        self._rng = random.Random(seed)
        self._ports = _ReservedPorts()
        self._odd_rng = random.Random(seed)
        self.holder_rng = random.Random(seed)
        self._stopping = anyio.Event()
        self._version = 0
        self._work_s: dict[str, float] = {}
        self.shape = shapes.Shape()
        if has_losses:
            self.shape = losses.make_shape(seed)
        elif has_lives:
            self.shape = lives.make_shape(seed, outlives_process)
        self.checker = checks.Checker()
        self.standing = standing.StandingWatch(checker=self.checker)
        self.queue = queues.Queue(
            name="q",
            host_name="shop.example",
            prefix="/jobs/",
            service=SERVICE,
            attempts=3,
            stretch=3.0,
            target_ms=2000,
        )
        self.added_queue: queues.Queue | None = None
        self.memory_store = stores.MemoryStore()
        self.stores: dict[str, standins.StoreApp] = {}
        self.store_links: dict[str, proxies.Proxy] = {}
        self.worker_links: dict[str, dict[str, proxies.Proxy]] = {}
        self.workers = self.checker.workers
        self.hosts: dict[str, hosts.HostProcess] = {}
        self.injected_faults: list[str] = []
        self.longest_pause_s = 0.0
        self.freshness: freshness.FreshnessWatch | None = None
        if has_silences:
            self.freshness = freshness.FreshnessWatch(world=self)

    def zones(self) -> list[str]:
        """Return the names of the zones."""
        return list(self.shape.zones)

    def links_of(self, host: str) -> list[proxies.Proxy]:
        """Return all links of a host.

        Args:
            host: Name of the host.
        """
        return [self.store_links[host], *self.worker_links[host].values()]

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._version += self._rng.randint(1, 3)
        added = [self.added_queue] if self.added_queue is not None else []
        standins.write_configuration(
            self.memory_store, self._version, self.queue, *added
        )

    async def run(self) -> None:
        """Run the soak; the checker records the breaches."""
        # The servers would log an error for each link that a fault closes.
        logging.getLogger("hypercorn.error").disabled = True
        async with anyio.create_task_group() as servers:
            async with anyio.create_task_group() as group:
                try:
                    await self._build(servers, group)
                    await self._run_load()
                finally:
                    for host in self.hosts.values():
                        host.should_run = False
                        host.kill()
                    group.cancel_scope.cancel()
            # Servers can only stop once their connections are closed.
            self._stopping.set()
        self._ports.close()

    async def _build(
        self, servers: abc.TaskGroup, group: abc.TaskGroup
    ) -> None:
        self.configure()
        for zone in self.shape.zones:
            for number in range(self.shape.workers_per_zone()):
                self._add_worker(servers, group, zone, number)
        group.start_soon(self._heartbeat)
        group.start_soon(self._write_odd_entries)
        group.start_soon(self._watch_pauses)
        group.start_soon(self._watch_standing_tasks)
        for zone in self.shape.zones:
            for number in range(self.shape.hosts_per_zone):
                name = f"host-{zone}-{number}"
                await self._add_host(servers, group, name, zone)
        group.start_soon(self._watch_hosts)

    def _serve(self, servers: abc.TaskGroup, app, port: int) -> None:
        servers.start_soon(
            https.serve_until, app, f"{proxies.HOST}:{port}", self._stopping
        )

    def _add_worker(
        self,
        servers: abc.TaskGroup,
        group: abc.TaskGroup,
        zone: str,
        number: int,
    ) -> None:
        name = f"worker-{zone}-{number}"
        port = self._ports.reserve()
        worker = checks.WatchedWorker(
            checker=self.checker,
            registration=runners.Registration(
                worker_id=name,
                service=SERVICE,
                address=f"{proxies.HOST}:{port}",
                zone=zone,
                rack=self.shape.rack_of(zone, number),
                cpu_millicores=shapes.WORKER_MILLICORES,
                memory_mb=shapes.WORKER_MEMORY_MB,
            ),
            work_s=lambda task: self._work_s.get(task.partition(".")[0], 1.0),
            longest_lease_s=self.shape.hold_max_ms / 1000,
        )
        worker.keep_orders = self.shape.outlives_process
        self.workers[name] = worker
        wire = standins.WorkerApp(worker=worker, worker_id=name)
        self._serve(servers, wire, port)
        group.start_soon(worker.run)

    async def _add_host(
        self,
        servers: abc.TaskGroup,
        group: abc.TaskGroup,
        name: str,
        zone: str,
    ) -> None:
        self.worker_links[name] = {}
        addresses = {}
        for worker_id, worker in self.workers.items():
            port = int(worker.registration.address.rpartition(":")[2])
            link = await self._add_link(group, port)
            self.worker_links[name][worker_id] = link
            addresses[worker_id] = f"{proxies.HOST}:{link.port}"
        store = standins.StoreApp(store=self.memory_store, addresses=addresses)
        store_port = self._ports.reserve()
        self._serve(servers, store, store_port)
        self.stores[name] = store
        self.store_links[name] = await self._add_link(group, store_port)
        host = hosts.HostProcess(name=name, zone=zone, folder=self._folder)
        host.internal_port = self._ports.reserve()
        host.caller_port = self._ports.reserve()
        host.ready_port = self._ports.reserve()
        host.write_settings(
            self.zones(), self.store_links[name].port, self.shape.hold_max_ms
        )
        self.hosts[name] = host

    async def _add_link(
        self, group: abc.TaskGroup, target_port: int
    ) -> proxies.Proxy:
        link = proxies.Proxy(target_port=target_port)
        await link.listen()
        group.start_soon(link.run)
        return link

    async def _heartbeat(self) -> None:
        """Write directory entries of live workers; delete the others."""
        while True:
            for name, worker in self.workers.items():
                found = worker.registration if worker.is_listed() else None
                if found is not None and self._has_lives:
                    found = lives.make_entry(worker)
                standins.write_worker(self.memory_store, found, name)
                worker.record_entry()
            await anyio.sleep(HEARTBEAT_PERIOD_S)

    async def _write_odd_entries(self) -> None:
        """Put, change and remove odd entries among those of the workers."""
        entries = list(odd_entries.odd_entries().values())
        while True:
            worker_id = f"odd-{self._odd_rng.randrange(ODD_WORKERS)}"
            value = self._odd_rng.choice([None, *entries])
            at = store_links.RowKey(
                table=directory.WORKER_TABLE, key=worker_id
            )
            self.memory_store.apply(store_links.Change(writes={at: value}))
            await anyio.sleep(ODD_PERIOD_S)

    async def _watch_pauses(self) -> None:
        while True:
            slept_at_s = anyio.current_time()
            await anyio.sleep(WATCH_PERIOD_S)
            pause_s = anyio.current_time() - slept_at_s - WATCH_PERIOD_S
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    async def _watch_standing_tasks(self) -> None:
        while True:
            self.standing.check()
            await anyio.sleep(WATCH_PERIOD_S)

    async def _watch_hosts(self) -> None:
        """Start hosts that should run; report unexpected exit codes."""
        while True:
            for host in self.hosts.values():
                code = host.exit_code()
                if code is not None and code > 0:
                    self.checker.record_breach(
                        "exit", f"{host.name}: code {code}"
                    )
                is_due = anyio.current_time() >= host.away_until_s
                if host.should_run and is_due and not host.is_running():
                    host.start()
            await anyio.sleep(WATCH_PERIOD_S)

    async def _run_load(self) -> None:
        await anyio.sleep(STARTUP_S)
        until_s = self.checker.now_s() + self._load_s
        async with anyio.create_task_group() as group:
            if self._has_losses:
                until_s += losses.STANDING_LEAD_S
                group.start_soon(self._keep_standing_load, until_s)
                await anyio.sleep(losses.STANDING_LEAD_S)
            if self.freshness is not None:
                group.start_soon(self._watch_freshness, until_s)
            for _number in range(CALLERS):
                group.start_soon(self._make_caller().run, until_s)
            if self._has_losses:
                group.start_soon(losses.inject_series, self, until_s)
            elif self.freshness is not None:
                group.start_soon(self._inject_in_turn, until_s)
            else:
                group.start_soon(self._inject_faults, until_s)
        await self._wait_until_finished()

    async def _watch_freshness(self, until_s: float) -> None:
        with anyio.move_on_after(until_s - self.checker.now_s()):
            await self.freshness.run()

    async def _keep_standing_load(self, until_s: float) -> None:
        with anyio.move_on_after(until_s - self.checker.now_s()):
            await losses.keep_standing_load(
                self._make_caller(), self.shape, self.new_rng()
            )

    def _make_caller(self) -> callers.Caller:
        if self._has_losses:
            load = {
                "wide_share": 1.0,
                "wide_jobs": losses.FULL_JOBS,
                "work_range_s": losses.FULL_WORK_S,
                "max_open_jobs": losses.MAX_OPEN_JOBS,
            }
        elif self.shape.outlives_process:
            load = {
                "wide_share": 1.0,
                "wide_jobs": lives.KEPT_JOBS,
                "work_range_s": lives.KEPT_WORK_S,
            }
        else:
            load = {"wide_share": WIDE_SHARE if self._is_wide else 0.0}
        return callers.Caller(
            checker=self.checker,
            caller_ports={n: h.caller_port for n, h in self.hosts.items()},
            queue=self.queue,
            rng=self.new_rng(),
            work_s=self._work_s,
            **load,
        )

    def new_rng(self) -> random.Random:
        """Return a source of random choices that depends on the seed."""
        return random.Random(self._rng.getrandbits(32))

    async def inject(self, name: str, rng: random.Random) -> None:
        """Inject a fault and wait for its end.

        Args:
            name: Name of the fault.
            rng: Source of the fault's random choices.
        """
        self.injected_faults.append(f"{self.checker.now_s():.2f} {name}")
        with self.standing.disruptions.during(name):
            await self.faults[name](self, rng)

    async def disturb_holder(self, after_s: float) -> None:
        """Inject a fault of the holder of a cell that has lost a worker.

        Args:
            after_s: Time until the fault begins.
        """
        rng = random.Random(self.holder_rng.getrandbits(32))
        name = rng.choice(holder_faults.HOLDER_FAULTS.names())
        await anyio.sleep(after_s)
        host = holder_faults.find_holder(self, self.standing.lost_zone())
        if host is None:
            return
        self.injected_faults.append(f"{self.checker.now_s():.2f} {name}")
        with self.standing.disruptions.during(name):
            await holder_faults.HOLDER_FAULTS.get(name)(self, host, rng)

    async def _inject_faults(self, until_s: float) -> None:
        """Inject random faults, which may overlap."""
        async with anyio.create_task_group() as group:
            while self.checker.now_s() < until_s:
                await anyio.sleep(self._rng.uniform(0.2, 2.0))
                name = self._rng.choice(sorted(self.faults))
                group.start_soon(self.inject, name, self.new_rng())

    async def _inject_in_turn(self, until_s: float) -> None:
        """Inject a silent store or another fault, each after a calm time."""
        # The watch of the configuration draws from the world's own source.
        rng = self.new_rng()
        silences = faults.SILENCE_FAULTS.names()
        while self.checker.now_s() < until_s:
            await anyio.sleep(rng.uniform(*CALM_RANGE_S))
            is_silence = rng.random() < SILENCE_SHARE
            name = rng.choice(sorted(silences if is_silence else self.faults))
            await self.inject(name, random.Random(rng.getrandbits(32)))

    async def _wait_until_finished(self) -> None:
        """Wait until all accepted jobs are done and reported as completed."""
        timeout_s = FINISH_TIMEOUT_S
        if self._is_wide or self.shape.outlives_process:
            timeout_s = FINISH_WIDE_TIMEOUT_S
        if self._has_losses:
            timeout_s = FINISH_FULL_TIMEOUT_S
        deadline_s = self.checker.now_s() + timeout_s
        caller = self._make_caller()
        while self.checker.unfinished():
            if self.checker.now_s() > deadline_s:
                for what in self.checker.unfinished():
                    self.checker.record_breach("lost", what)
                records.write_unfinished(self, self._folder)
                return
            await caller.query_finished_jobs()
            await anyio.sleep(WATCH_PERIOD_S)
