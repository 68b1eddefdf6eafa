"""A simulated cluster for jobs: a store, workers and job hosts."""

import collections
import contextlib
import dataclasses
import functools
import typing

import anyio
from anyio import abc

from wisteriawood.cells import tables
from wisteriawood import errors
from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import channels
from wisteriawood.links import clocks
from wisteriawood.links import runners
from wisteriawood.machines import host_limits
from wisteriawood.machines import intakes
from wisteriawood.machines import job_hosts
from wisteriawood.standins import runners as run_standins
from wisteriawood.standins import stores

LEASE_S = 6.0
RETENTION_S = 120.0
SERVICE = "shop"
DEFAULT_WORK_S = 1.0
MAX_DIRECTORY_AGE_S = 1.0
MAX_CONFIGURATION_AGE_S = 2.0
MAX_CANCEL_AGE_S = 2.0
DIRECTORY_PERIOD_S = 0.4
DIRECTORY_SILENCE_S = 4.5
LIMITS = host_limits.HostLimits(
    lease_s=LEASE_S,
    longest_lease_s=run_standins.LONGEST_LEASE_S,
    retention_s=RETENTION_S,
    max_directory_age_s=MAX_DIRECTORY_AGE_S,
    directory_silence_s=DIRECTORY_SILENCE_S,
    max_configuration_age_s=MAX_CONFIGURATION_AGE_S,
    max_cancel_age_s=MAX_CANCEL_AGE_S,
)
FIRST_PORT = 10000
HOST_PORT = 7720
HOST_LINK_DELAY_S = 0.003
SUBMIT_TIMEOUT_S = 3.0


class JobWorld:
    """Job hosts, workers and a store that run in one process.

    Args:
        group: Task group that runs the hosts and workers.
        zones: Names of the availability zones.
        hosts_per_zone: Number of job hosts in each zone.
        workers_per_zone: Number of workers in each zone.
        has_host_links: Whether hosts reach each other directly.
        longest_lease_s: Duration of the longest lease that workers accept.
        limits: Time limits of the hosts; None for LIMITS.

    Attributes:
        cut_links: Pairs of hosts that don't reach each other directly.
        work_s: Run time at full speed, in seconds, of a task by its name or
            of the tasks of a job by its id; DEFAULT_WORK_S for others.
        failing_workers: Names of workers on which every run fails.
        outdated_hosts: Names of hosts that do not read the directory.
    """

    __slots__ = (
        "_group",
        "_has_host_links",
        "_host_addresses",
        "_limits",
        "_longest_lease_s",
        "_lost_workers",
        "_scopes",
        "cut_links",
        "failing_workers",
        "hosts",
        "outdated_hosts",
        "queue",
        "store",
        "work_s",
        "workers",
        "zones",
    )

    def __init__(
        self,
        *,
        group: abc.TaskGroup,
        zones: typing.Sequence[str] = ("a", "b"),
        hosts_per_zone: int = 2,
        workers_per_zone: int = 3,
        has_host_links: bool = False,
        longest_lease_s: float = run_standins.LONGEST_LEASE_S,
        limits: host_limits.HostLimits | None = None,
    ):
        self._group = group
        self._limits = limits
        self._longest_lease_s = longest_lease_s
        self._has_host_links = has_host_links
        self._host_addresses: dict[str, str] = {}
        self.cut_links: set[frozenset[str]] = set()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._lost_workers: set[str] = set()
        self.zones = list(zones)
        self.store = stores.MemoryStore()
        self.work_s: dict[str, float] = {}
        self.failing_workers: set[str] = set()
        self.outdated_hosts: set[str] = set()
        self.queue = queues.Queue(
            name="q", host_name="h", service=SERVICE, attempts=2, stretch=2.0
        )
        self.workers: dict[str, run_standins.MemoryWorker] = {}
        self.hosts: dict[str, job_hosts.JobHost] = {}
        for zone in self.zones:
            for number in range(workers_per_zone):
                self.add_worker(f"w-{zone}-{number}", zone)
        for zone in self.zones:
            for number in range(hosts_per_zone):
                self.start_host(f"host-{zone}-{number}", zone)
        group.start_soon(self._read_directories)

    async def _read_directories(self) -> None:
        while True:
            await anyio.sleep(DIRECTORY_PERIOD_S)
            self.confirm_directory()

    def confirm_directory(self) -> None:
        """Confirm the known directory to all hosts that read it."""
        for name, host in self.hosts.items():
            if name not in self.outdated_hosts:
                host.directory.confirm(clocks.elapsed_s())

    def drain_worker(self, name: str) -> float:
        """Make a worker drain; return when its entry says so, in seconds.

        Args:
            name: Id of the worker.
        """
        worker = self.workers[name]
        worker.registration = dataclasses.replace(
            worker.registration, is_draining=True
        )
        self.publish_directory()
        return anyio.current_time()

    def add_worker(self, name: str, zone: str, **fields) -> None:
        """Add a worker and publish the directory.

        Args:
            name: Id of the worker.
            zone: Availability zone of the worker.
            **fields: Other fields of its entry in the directory.
        """
        values = {
            "cpu_millicores": 16000,
            "memory_mb": 64000,
            "rack": f"rack-{zone}",
        }
        worker = run_standins.MemoryWorker(
            registration=runners.Registration(
                worker_id=name,
                service=SERVICE,
                address=f"10.0.0.1:{FIRST_PORT + len(self.workers)}",
                zone=zone,
                **(values | fields),
            ),
            work_s=self._work_s,
            longest_lease_s=self._longest_lease_s,
            outcome_of=lambda _task, _run: (
                tasks.Outcome.FAILED
                if name in self.failing_workers
                else tasks.Outcome.DONE
            ),
        )
        self.workers[name] = worker
        self._group.start_soon(worker.run)
        self.publish_directory()

    def _work_s(self, task_name: str) -> float:
        job_id = task_name.partition(".")[0]
        by_job_s = self.work_s.get(job_id, DEFAULT_WORK_S)
        return self.work_s.get(task_name, by_job_s)

    def publish_directory(
        self, *, missing: typing.Collection[str] = ()
    ) -> None:
        """Pass the current directory of workers to all hosts.

        Args:
            missing: Workers to leave out of the directory.
        """
        fleet = {
            name: worker.registration
            for name, worker in self.workers.items()
            if name not in missing and name not in self._lost_workers
        }
        for name, host in self.hosts.items():
            if name not in self.outdated_hosts:
                host.update_fleet(fleet)
        self.confirm_directory()

    def start_host(self, name: str, zone: str, cores: float = 1.0) -> None:
        """Start a job host.

        Args:
            name: Name of the host.
            zone: Availability zone of the host.
            cores: Number of CPU cores that the host may use.
        """

        def _dial(found: runners.Registration) -> runners.RunLink:
            return run_standins.MemoryRunLink(
                worker=self.workers[found.worker_id], host=name
            )

        host = job_hosts.JobHost(
            name=name,
            zone=zone,
            zones=self.zones,
            store=self.store.link(name),
            dial=_dial,
            limits=dataclasses.replace(
                self._limits or LIMITS,
                longest_lease_s=self._longest_lease_s,
            ),
            cores=cores,
            dial_host=functools.partial(self._dial_host, name),
        )
        if self._has_host_links:
            host.members.address = self._address_of(name)
        host.adopt_queues(queues.QueueTable(version=1, queues=[self.queue]))
        self.hosts[name] = host
        self._scopes[name] = anyio.CancelScope()
        self._group.start_soon(self._run_host, name, host)
        self.publish_directory()

    def _address_of(self, name: str) -> str:
        address = f"10.1.0.{1 + len(self._host_addresses)}:{HOST_PORT}"
        return self._host_addresses.setdefault(name, address)

    @contextlib.asynccontextmanager
    async def _dial_host(
        self, dialler: str, address: str
    ) -> typing.AsyncIterator[channels.Channel]:
        """Connect a host to the one at an address, and yield the channel."""
        await anyio.sleep(HOST_LINK_DELAY_S)
        found = [n for n, a in self._host_addresses.items() if a == address]
        if frozenset((dialler, *found)) in self.cut_links:
            await anyio.sleep_forever()
        if not found or found[0] not in self.hosts:
            raise errors.LinkClosedError("refused")
        near, far = channels.memory_pair()
        self._group.start_soon(self._serve_link, self.hosts[found[0]], far)
        try:
            yield near
        finally:
            await near.aclose()

    async def _serve_link(
        self, host: job_hosts.JobHost, channel: channels.Channel
    ) -> None:
        with contextlib.suppress(errors.LinkError, errors.MessageError):
            await host.hold_answers.serve(channel)

    def cut_host_links(self, name: str) -> None:
        """Cut a host off from all other hosts, but from nothing else.

        Args:
            name: Name of the host.
        """
        self.cut_links.update(
            frozenset((name, other)) for other in self.hosts if other != name
        )

    async def _run_host(self, name: str, host: job_hosts.JobHost) -> None:
        with self._scopes[name]:
            await host.run()

    def kill_host(self, name: str) -> None:
        """Stop a host immediately, without a graceful shutdown.

        Args:
            name: Name of the host.
        """
        self._scopes[name].cancel()
        del self.hosts[name]

    def intake(self, host: str = "") -> intakes.Intake:
        """Return an intake of a host.

        Args:
            host: Name of the host; empty for the first by name.
        """
        name = host or min(self.hosts)
        return intakes.Intake(host=self.hosts[name])

    async def submit_to(
        self, cell: str, job_id: str, steps: list[specs.StepSpec]
    ) -> None:
        """Submit a job to a given cell.

        Args:
            cell: Name of the cell.
            job_id: Id of the job.
            steps: Steps of the job.
        """
        spec = specs.JobSpec(
            id=job_id,
            queue=self.queue,
            steps=steps,
            accepted_unix_ms=next(iter(self.hosts.values())).now_unix_ms(),
        )
        bucket = tables.bucket_of(job_id, self.zones)
        give_up_at_s = anyio.current_time() + SUBMIT_TIMEOUT_S
        await self.intake()._store_job(spec, cell, bucket, give_up_at_s)

    def running(self, zone: str = "") -> dict[str, str]:
        """Return the worker of each running task, by the task's name.

        Args:
            zone: Availability zone to look at; empty for all.
        """
        return {
            task: name
            for name, worker in self.workers.items()
            if zone in ("", worker.registration.zone)
            for task in worker.runs
        }

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from the others and from the store.

        Args:
            zone: Its name.
        """
        inside = {n for n, host in self.hosts.items() if host.zone == zone}
        self.store.cut_hosts |= inside
        self.cut_links.update(
            frozenset((name, other))
            for name in inside
            for other in self.hosts.keys() - inside
        )
        for worker in self.workers.values():
            is_inside = worker.registration.zone == zone
            worker.cut_from |= (
                self.hosts.keys() - inside if is_inside else inside
            )

    def heal(self) -> None:
        """End all cuts."""
        self.store.cut_hosts.clear()
        self.cut_links.clear()
        for worker in self.workers.values():
            worker.cut_from.clear()

    def lose_worker(self, name: str, *, is_refusing: bool = False) -> None:
        """Let a worker crash for good; its entry is removed later.

        Args:
            name: Id of the worker.
            is_refusing: Whether calls end at once, as only its process has
                ended; they get no answer otherwise.
        """
        if is_refusing:
            self.workers[name].end_process()
        else:
            self.workers[name].crash()
        self._group.start_soon(self._remove_entry, name)

    async def _remove_entry(self, name: str) -> None:
        await anyio.sleep(DIRECTORY_SILENCE_S)
        self._lost_workers.add(name)
        self.publish_directory()

    def holder_of(self, cell: str) -> str:
        """Return the host that holds a cell; empty for none.

        Args:
            cell: Name of the cell.
        """
        for name, host in self.hosts.items():
            if cell in host.open_cells():
                return name
        return ""

    async def submit(
        self, job_id: str, steps: list[specs.StepSpec], host: str = ""
    ) -> None:
        """Submit a job.

        Args:
            job_id: Id of the job.
            steps: Steps of the job.
            host: Host that accepts the job; empty for the first by name.
        """
        spec = specs.JobSpec(id=job_id, queue=self.queue, steps=steps)
        await self.intake(host).submit(spec, 3.0)

    async def wait_for(
        self,
        job_id: str,
        state: jobs.JobState,
        timeout_s: float = 60.0,
        host: str = "",
    ) -> float:
        """Wait until a job is in a state; return the wait in seconds.

        Args:
            job_id: Id of the job.
            state: State to wait for.
            timeout_s: Longest wait in seconds.
            host: Host to query; empty for the first by name.

        Raises:
            TimeoutError: The job was not in that state in time.
        """
        began_at_s = anyio.current_time()
        with anyio.fail_after(timeout_s):
            while await self.intake(host).state(job_id) is not state:
                await anyio.sleep(0.05)
        return anyio.current_time() - began_at_s

    def starts(self) -> dict[str, list[tuple[int, float, str]]]:
        """Return all runs that were started, by task.

        Each is a tuple of run number, start time in seconds and worker id.
        """
        found = collections.defaultdict(list)
        for worker in self.workers.values():
            for name, run, at_s in worker.starts:
                found[name].append((run, at_s, worker.registration.worker_id))
        return dict(found)

    def ends(self) -> dict[str, list[tuple[int, str, float]]]:
        """Return all ends of runs, by task.

        Each is a tuple of run number, outcome and end time in seconds.
        """
        found = collections.defaultdict(list)
        for worker in self.workers.values():
            for name, run, outcome, at_s in worker.ends:
                found[name].append((run, outcome, at_s))
        return dict(found)
