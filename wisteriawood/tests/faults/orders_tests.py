"""Orders of events that hypothesis chooses, each run in one world."""

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from wisteriawood import errors
from wisteriawood.links import jobs
from wisteriawood.tests import builders
from wisteriawood.tests.faults import tasks_tests
from wisteriawood.tests import invariants

WORKERS = strategies.integers(min_value=1, max_value=4)
TASKS = strategies.integers(min_value=0, max_value=5)


class Events:
    """Carries out events in a world.

    Args:
        world: The world.
    """

    __slots__ = ("cancelled", "started", "task_ids", "world")

    def __init__(self, *, world):
        self.world = world
        self.task_ids = []
        self.cancelled = {}
        self.started = 2

    async def submit(self, number):
        """Submit a task, unless its id is taken."""
        spec = builders.make_spec(id=f"task-{number}", run_s=30.0)
        try:
            await jobs.submit(self.world.platform, [spec], zone="linz-a")
        except errors.WisteriawoodError:
            return
        self.task_ids.append(spec.id)

    async def cancel(self, number):
        """Cancel a task, if there is one."""
        task_id = f"task-{number}"
        try:
            await jobs.cancel(self.world.platform, [task_id])
        except errors.WisteriawoodError:
            return
        self.cancelled[task_id] = anyio.current_time()

    async def evict(self, number):
        """Order the eviction of a task wherever it is."""
        for scheduler in self.world.schedulers.values():
            for rack in scheduler.racks.values():
                for worker in rack.workers.values():
                    worker.request_eviction(f"task-{number}", "an order")

    async def replace_scheduler(self, number):
        """Kill a scheduler and start another."""
        names = list(self.world.schedulers)
        name = names[number % len(names)]
        self.world.processes[f"scheduler/{name}"].kill()
        self.started += 1
        name = f"linz-a-{self.started}"
        self.world.add_scheduler(builders.make_member(name=name))

    async def freeze_worker(self, number):
        """Let a worker answer no calls, or answer again."""
        faults = self.world.workers[f"worker-{number}:1"].faults
        faults.frozen = not faults.frozen

    async def restart_worker(self, number):
        """Let a worker lose all that it runs."""
        self.world.workers[f"worker-{number}:1"].forget_attempts()

    async def toggle_platform(self, _number):
        """Take the platform down, or bring it back."""
        faults = self.world.platform.faults
        faults.down = not faults.down

    async def wait(self, number):
        """Let some seconds pass."""
        await anyio.sleep(4.0 * number)

    async def mend(self):
        """Bring everything back."""
        self.world.platform.faults.down = False
        for worker in self.world.workers.values():
            worker.faults.frozen = False


async def run_plan(world, plan):
    """Carry out a plan and return the breaches found."""
    tasks_tests.build(world)
    happening = Events(world=world)
    await anyio.sleep(3)
    for name, number in plan:
        await getattr(happening, name)(number)
        await anyio.sleep(0.3)
    await happening.mend()
    with anyio.move_on_after(tasks_tests.END_MAX_S):
        while invariants.find_unfinished_tasks(world, happening.task_ids):
            await anyio.sleep(1)
    await anyio.sleep(10)
    return [
        *invariants.find_all(
            world,
            task_ids=happening.task_ids,
            cancelled=happening.cancelled,
        ),
        *invariants.find_unfinished_tasks(world, happening.task_ids),
    ]


class OrderMachine(stateful.RuleBasedStateMachine):

    def __init__(self):
        super().__init__()
        self.plan = []

    @stateful.rule(number=TASKS)
    def submit(self, number):
        self.plan.append(("submit", number))

    @stateful.rule(number=TASKS)
    def cancel(self, number):
        self.plan.append(("cancel", number))

    @stateful.rule(number=TASKS)
    def evict(self, number):
        self.plan.append(("evict", number))

    @stateful.rule(number=WORKERS)
    def replace_scheduler(self, number):
        self.plan.append(("replace_scheduler", number))

    @stateful.rule(number=WORKERS)
    def freeze_worker(self, number):
        self.plan.append(("freeze_worker", number))

    @stateful.rule(number=WORKERS)
    def restart_worker(self, number):
        self.plan.append(("restart_worker", number))

    @stateful.rule(number=WORKERS)
    def toggle_platform(self, number):
        self.plan.append(("toggle_platform", number))

    @stateful.rule(number=WORKERS)
    def wait(self, number):
        self.plan.append(("wait", number))

    def teardown(self):
        found = []

        async def _check(world):
            found.extend(await run_plan(world, self.plan))

        builders.run_world(_check)
        assert found == [], (self.plan, found)


OrderTests = OrderMachine.TestCase
OrderTests.settings = hypothesis.settings(
    derandomize=True,
    max_examples=12,
    stateful_step_count=14,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
