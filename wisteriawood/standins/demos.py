"""The demo: a small cluster under load, with injected failures."""

import functools
import pathlib
import random
import typing

import anyio
import msgspec

from wisteriawood.config import questionnaire
from wisteriawood.contracts import resources
from wisteriawood.contracts import tasks
from wisteriawood.links import configurations
from wisteriawood.links import jobs
from wisteriawood.standins import checks
from wisteriawood.standins import clusters
from wisteriawood.standins import loads
from wisteriawood.standins import targets
from wisteriawood.standins import workers

LOAD_S = 26.0
KILL_AFTER_S = 6.0
OUTAGE_AFTER_S = 12.0
OUTAGE_S = 5.0
JOBS_TIMEOUT_S = 15.0
PROGRESS_PERIOD_S = 4.0
CALLERS = 12
JOBS_PER_ZONE = 8
SERVICES_PER_ZONE = 2
GIB = 1024**3

EXAMPLES = pathlib.Path(questionnaire.__file__).parent / "examples"

PrintLine = typing.Callable[[str], None]


class Demo:
    """Runs the demo once.

    Args:
        team: Name of the team.
        zones: Availability zones of the team.
        service: Service that receives the load.
        say: Prints one line.
        folder: Folder for settings, logs and traces.
        seed: Seed of the load and of the batch jobs.
    """

    __slots__ = (
        "_cluster",
        "_load",
        "_reruns",
        "_say",
        "_seed",
        "_service",
        "_specs",
        "_started_s",
        "_team",
        "_zones",
    )

    def __init__(
        self,
        *,
        team: str,
        zones: list[str],
        service: str,
        say: PrintLine,
        folder: pathlib.Path,
        seed: int = 1,
    ):
        self._team = team
        self._zones = zones
        self._service = service
        self._say = say
        self._seed = seed
        self._cluster = clusters.LocalCluster(folder=folder, zones=zones)
        self._load: loads.Load | None = None
        self._specs: dict[str, tasks.TaskSpec] = {}
        self._reruns = 0
        self._started_s = 0.0

    def _progress(self, text: str) -> None:
        elapsed_s = anyio.current_time() - self._started_s
        self._say(f"{elapsed_s:5.1f} s  {text}")

    async def run(self) -> list[checks.CheckResult]:
        """Run the demo and return the results of the checks."""
        self._started_s = anyio.current_time()
        try:
            return await self._run()
        finally:
            if self._load is not None:
                await self._load.aclose()
            await self._cluster.stop()

    async def _run(self) -> list[checks.CheckResult]:
        self._progress("starting the platform, workers and entry hosts")
        await self._cluster.start()
        await self._configure()
        for zone in self._zones:
            await self._submit(zone, self._make_services(zone))
        for name in self._cluster.entry_hosts:
            await self._cluster.wait_until_ready(name)
        self._progress(
            f"{len(self._cluster.entry_hosts)} entry hosts are ready"
        )
        for zone in self._zones:
            await self._submit(zone, self._make_jobs(zone))
        self._progress(f"submitted {len(self._specs)} tasks")
        self._load = loads.Load(
            addresses=[
                entry_host.caller_address
                for entry_host in self._cluster.entry_hosts.values()
            ],
            path=f"/{self._team}/{self._service}/check",
            rng=random.Random(self._seed),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._send)
            group.start_soon(self._inject_faults)
        return await self._finish()

    async def _configure(self) -> None:
        answers = questionnaire.read_file(
            file=str(EXAMPLES / f"{self._team}.json")
        )
        outcome = questionnaire.build(answers)
        document = questionnaire.merge({"teams": {}}, outcome)
        platform = self._cluster.platform()
        await configurations.apply(platform, document, base=0, author="demo")
        await platform.aclose()
        self._progress("version 1 of the configuration is committed")

    async def _send(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._show_progress)
            await self._load.run(callers_at_once=CALLERS, seconds=LOAD_S)
            group.cancel_scope.cancel()

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_PERIOD_S)
            outcomes = self._load.outcomes()
            parts = [f"{n} {name}" for name, n in sorted(outcomes.items())]
            self._progress(f"requests: {', '.join(parts)}")

    async def _inject_faults(self) -> None:
        await anyio.sleep(KILL_AFTER_S)
        name = next(iter(self._cluster.entry_hosts))
        self._cluster.kill(f"entry/{name}")
        self._cluster.kill(f"scheduler/{name}")
        self._progress(f"killed entry host {name}")
        # A load balancer detects the failure with a delay.
        await anyio.sleep(1.0)
        self._load.remove_address(
            self._cluster.entry_hosts[name].caller_address
        )
        await anyio.sleep(OUTAGE_AFTER_S - KILL_AFTER_S - 1.0)
        await self._cluster.set_platform_faults(down=True)
        self._progress("the platform is down")
        await anyio.sleep(OUTAGE_S)
        await self._cluster.set_platform_faults()
        self._progress("the platform is back")

    async def _finish(self) -> list[checks.CheckResult]:
        self._progress(f"sent {len(self._load.sent)} requests")
        batch = await self._wait_for_jobs()
        self._progress("stopping the entry hosts while requests are sent")
        results = await self._stop_and_check(batch)
        self._print(batch, results)
        return results

    async def _wait_for_jobs(self) -> list[tasks.Task]:
        ids = [
            spec.id
            for spec in self._specs.values()
            if spec.kind == tasks.TaskKind.BATCH
        ]
        platform = self._cluster.platform()
        ends_at_s = anyio.current_time() + JOBS_TIMEOUT_S
        while True:
            found = [await jobs.find(platform, task) for task in ids]
            left = [t for t in found if t.state not in tasks.ENDED_STATES]
            if not left or anyio.current_time() > ends_at_s:
                await platform.aclose()
                return found
            await anyio.sleep(0.5)

    async def _stop_and_check(
        self, batch: list[tasks.Task]
    ) -> list[checks.CheckResult]:
        cluster = self._cluster
        # _inject_faults killed the first entry host.
        alive = [name for name in cluster.entry_hosts][1:]
        unclean: list[str] = []

        async def _stop() -> None:
            names = await cluster.stop_entry_hosts()
            unclean.extend(n for n in names if n.split("/")[1] in alive)

        before = len(self._load.sent)
        async with anyio.create_task_group() as group:
            group.start_soon(
                functools.partial(
                    self._load.run, callers_at_once=CALLERS, seconds=0.5
                )
            )
            group.start_soon(_stop)
        cut = [
            s for s in self._load.sent[before:] if s.outcome == loads.NO_ANSWER
        ]
        self._progress(
            f"{len(self._load.sent) - before} more requests, {len(cut)} cut"
        )
        counts: list[targets.TargetCounts] = []
        records: dict[str, list[workers.RunRecord]] = {}
        for name, address in cluster.worker_addresses.items():
            base = f"http://{address}/standin"
            counts += msgspec.convert(
                await cluster.get(f"{base}/counts"),
                list[targets.TargetCounts],
            )
            records[name] = msgspec.convert(
                await cluster.get(f"{base}/records"),
                list[workers.RunRecord],
            )
        attempts = sum(len(found) for found in records.values())
        self._reruns = attempts - len(self._specs)
        sent = self._load.sent
        capacity = resources.Resources(
            cores=clusters.WORKER_CORES,
            memory_bytes=clusters.WORKER_MEMORY_BYTES,
        )
        return [
            checks.check_capacity(records, self._specs, capacity),
            checks.check_single_run(sum(records.values(), [])),
            checks.check_answers(sent),
            checks.check_not_run(sent, counts),
            checks.check_run_once(sent, counts),
            checks.check_slots(counts),
            checks.check_finished(batch),
            checks.check_shutdown(unclean, 2 * len(alive)),
        ]

    def _print(
        self, batch: list[tasks.Task], results: list[checks.CheckResult]
    ) -> None:
        p50_ms, p99_ms = self._load.quantiles_ms(0.5, 0.99)
        done = sum(t.state == tasks.TaskState.FINISHED for t in batch)
        self._say("")
        for outcome, number in sorted(self._load.outcomes().items()):
            self._say(f"{'requests: ' + outcome:<56}{number:>8}")
        self._say(
            f"{'latency of requests that ran, p50':<56}{p50_ms:>5.1f} ms"
        )
        self._say(
            f"{'latency of requests that ran, p99':<56}{p99_ms:>5.1f} ms"
        )
        self._say(f"{'batch jobs finished':<56}{done:>5} of {len(batch)}")
        self._say(f"{'evictions and expired leases':<56}{self._reruns:>8}")
        self._say("")
        for result in results:
            text = "holds" if result.holds() else "BROKEN"
            self._say(f"{result.name:<56}{text:>8} ({result.checked})")
            for breach in result.breaches[:3]:
                self._say(f"    {breach}")

    async def _submit(self, zone: str, specs: list[tasks.TaskSpec]) -> None:
        platform = self._cluster.platform()
        await jobs.submit(platform, specs, zone=zone)
        await platform.aclose()
        self._specs |= {spec.id: spec for spec in specs}

    def _make_services(self, zone: str) -> list[tasks.TaskSpec]:
        return [
            tasks.TaskSpec(
                id=f"{self._service}-{zone}-{number}",
                team=self._team,
                kind=tasks.TaskKind.SERVICE,
                service=self._service,
                slots=8,
                needs=resources.Resources(cores=4.0, memory_bytes=8 * GIB),
            )
            for number in range(SERVICES_PER_ZONE)
        ]

    def _make_jobs(self, zone: str) -> list[tasks.TaskSpec]:
        rng = random.Random(f"{self._seed}/{zone}")
        watcher = tasks.TaskSpec(
            id=f"watcher-{zone}",
            team=self._team,
            kind=tasks.TaskKind.WATCHER,
            needs=resources.Resources(cores=1.0, memory_bytes=GIB),
        )
        batch = [
            tasks.TaskSpec(
                id=f"batch-{zone}-{number}",
                team=self._team,
                kind=tasks.TaskKind.BATCH,
                run_s=rng.uniform(1.0, 6.0),
                needs=resources.Resources(
                    cores=float(rng.choice([4, 8, 16])),
                    memory_bytes=16 * GIB,
                ),
            )
            for number in range(JOBS_PER_ZONE)
        ]
        return [watcher, *batch]


TEAMS = {
    "vitrinenklima": (["linz-a", "wien-b", "graz-c"], "humidity"),
    "kroupa": (["brno-a", "brno-b", "zlin-c"], "shop"),
}


async def run(*, team: str, say: PrintLine, folder: pathlib.Path) -> bool:
    """Run the demo for a team.

    Args:
        team: Name of the team.
        say: Prints one line.
        folder: Folder for settings, logs and traces.

    Returns:
        Whether every invariant held.
    """
    zones, service = TEAMS[team]
    demo = Demo(
        team=team, zones=zones, service=service, say=say, folder=folder
    )
    results = await demo.run()
    return all(result.holds() for result in results)
