"""A world in memory for jobs: a store, workers and job hosts."""

import collections
import typing

import anyio
from anyio import abc

from wisteriawood.jobs import jobs
from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.jobs import tasks
from wisteriawood.links import runners
from wisteriawood.machines import intakes
from wisteriawood.machines import job_hosts
from wisteriawood.standins import runners as run_standins
from wisteriawood.standins import stores

LEASE_S = 6.0
RETENTION_S = 120.0
SERVICE = "shop"
DEFAULT_WORK_S = 1.0


class JobWorld:
    """Hosts, workers and a store in one process.

    Args:
        group: Runs all of them.
        zones: Names of the availability zones.
        hosts_per_zone: Hosts in each.
        workers_per_zone: Workers in each.

    Attributes:
        work_s: Work of a task, by the start of its name.
        failing: Workers that fail all that they start.
    """

    __slots__ = (
        "_group",
        "_scopes",
        "failing",
        "hosts",
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
    ):
        self._group = group
        self._scopes: dict[str, anyio.CancelScope] = {}
        self.zones = list(zones)
        self.store = stores.MemoryStore()
        self.work_s: dict[str, float] = {}
        self.failing: set[str] = set()
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

    def add_worker(self, name: str, zone: str) -> None:
        """Add a worker.

        Args:
            name: Its id.
            zone: Its availability zone.
        """
        worker = run_standins.MemoryWorker(
            registration=runners.Registration(
                worker_id=name,
                service=SERVICE,
                address=name,
                zone=zone,
                rack=f"rack-{zone}",
                cpu_millicores=16000,
                memory_mb=64000,
            ),
            work_s=self._work_s,
            outcome_of=lambda _task, _run: (
                tasks.Outcome.FAILED
                if name in self.failing
                else tasks.Outcome.DONE
            ),
        )
        self.workers[name] = worker
        self._group.start_soon(worker.run)
        self.list_workers()

    def _work_s(self, task_name: str) -> float:
        return self.work_s.get(task_name.partition(".")[0], DEFAULT_WORK_S)

    def list_workers(self, *, missing: typing.Collection[str] = ()) -> None:
        """Have all hosts read the directory.

        Args:
            missing: Workers that it does not list.
        """
        fleet = {
            name: worker.registration
            for name, worker in self.workers.items()
            if name not in missing
        }
        for host in self.hosts.values():
            host.use_fleet(fleet)

    def start_host(self, name: str, zone: str, cores: float = 1.0) -> None:
        """Start the process of a host.

        Args:
            name: Name of the host.
            zone: Its availability zone.
            cores: Processor that it may use.
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
            lease_s=LEASE_S,
            retention_s=RETENTION_S,
            cores=cores,
        )
        host.adopt_queues(queues.QueueTable(version=1, queues=[self.queue]))
        self.hosts[name] = host
        self._scopes[name] = anyio.CancelScope()
        self._group.start_soon(self._run_host, name, host)
        self.list_workers()

    async def _run_host(self, name: str, host: job_hosts.JobHost) -> None:
        with self._scopes[name]:
            await host.run()

    def kill_host(self, name: str) -> None:
        """End the process of a host without any notice.

        Args:
            name: Name of the host.
        """
        self._scopes[name].cancel()
        del self.hosts[name]

    def intake(self, host: str = "") -> intakes.Intake:
        """Return the intake of a host.

        Args:
            host: Its name; empty for the first.
        """
        name = host or min(self.hosts)
        return intakes.Intake(host=self.hosts[name])

    def holder_of(self, cell: str) -> str:
        """Return the host that works for a cell; empty for none.

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
        """Hand a job in.

        Args:
            job_id: Its id.
            steps: Its steps.
            host: Host that takes it; empty for the first.
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
        """Wait until a job has a state; return how long it took.

        Args:
            job_id: Its id.
            state: The state.
            timeout_s: Longest wait.
            host: Host that is asked; empty for the first.

        Raises:
            TimeoutError: It did not come to that state.
        """
        began_at_s = anyio.current_time()
        with anyio.fail_after(timeout_s):
            while await self.intake(host).state(job_id) is not state:
                await anyio.sleep(0.05)
        return anyio.current_time() - began_at_s

    def starts(self) -> dict[str, list[tuple[int, float, str]]]:
        """Return all runs that ever began, by task."""
        found = collections.defaultdict(list)
        for worker in self.workers.values():
            for name, run, at_s in worker.starts:
                found[name].append((run, at_s, worker.registration.worker_id))
        return dict(found)

    def ends(self) -> dict[str, list[tuple[int, str, float]]]:
        """Return all ends of runs, by task."""
        found = collections.defaultdict(list)
        for worker in self.workers.values():
            for name, run, outcome, at_s in worker.ends:
                found[name].append((run, outcome, at_s))
        return dict(found)
