"""Stand-ins of the minions: they run tasks under a lease.

What a minion does not learn from its orders, such as how long a task works
and which tasks are a gang, it knows from the image that it runs: `Work` is
that knowledge.
"""

import asyncio
import hashlib
import json
import random
import time

import web

HEARTBEAT_S = 1.5
CHECKPOINT_S = 0.5
STOP_S = 0.05
GANG_WAIT_S = 3.0
TICK_S = 0.02


def now_s():
    return time.monotonic()


class Work:
    """What the tasks of the submitted jobs do.

    Attributes:
        steps: Steps of each job, as submitted, by job id.
        work_s: Work of a task of each step in seconds, by job id and step;
            None for a task that lasts.
        runs: Record of all runs.
    """

    def __init__(self, log):
        self.steps = {}
        self.work_s = {}
        self.runs = []
        # Characters of a checkpoint.
        self.checkpoint_chars = 16
        self.minions = {}
        self.log = log

    def add(self, job_id, steps, work_s):
        self.steps[job_id] = steps
        for number, length_s in enumerate(work_s):
            self.work_s[job_id, number] = length_s

    def step_of(self, task):
        job_id, _occurrence, step, _index = task.split(".")
        return self.steps[job_id][int(step)]

    def length_s(self, task):
        job_id, _occurrence, step, _index = task.split(".")
        return self.work_s[job_id, int(step)]

    def check_start(self, run, body):
        """Look at a start; a case may replace this."""

    def members(self, run):
        """Return the active runs of the gang of a run, itself included."""
        prefix = run.task.rpartition(".")[0] + "."
        return [
            other
            for minion in self.minions.values()
            for other in minion.active.values()
            if other.task.startswith(prefix) and other.number == run.number
        ]

    def running(self, prefix):
        """Return the active runs of tasks whose names begin so."""
        return [
            run
            for minion in self.minions.values()
            if not minion.is_down
            for run in minion.active.values()
            if run.task.startswith(prefix)
        ]


class Run:
    """A run on a minion."""

    def __init__(self, task, number, minion, checkpoint):
        self.task = task
        self.number = number
        self.minion = minion
        self.began_s = now_s()
        self.works_since_s = None
        self.done_s = _worked(checkpoint)
        self.percent = 0
        self.how = ""
        self.ended_s = None
        # When the end was taken note of, if it was.
        self.noted_s = None
        self.fails_after_s = None

    def checkpoint(self, is_stopped=False):
        """Return the last checkpoint: the work done, and the name of its data.

        Args:
            is_stopped: Whether one was made just now.
        """
        work = self.minion.work
        if not work.step_of(self.task).get("checkpointing"):
            return ""
        done_s = self.progress_s()
        if not is_stopped:
            done_s -= (done_s - self.done_s) % CHECKPOINT_S
        if done_s <= 0:
            return ""
        text = f"{done_s:016.3f}"
        name = hashlib.sha256(f"{self.task} {text}".encode()).hexdigest()
        while len(text) < work.checkpoint_chars:
            text += name
        return text[: work.checkpoint_chars]

    def progress_s(self):
        if self.works_since_s is None:
            return self.done_s
        return self.done_s + now_s() - self.works_since_s


def _worked(checkpoint):
    return float(checkpoint[:16]) if checkpoint else 0.0


class Minion:
    """One minion.

    Args:
        minion_id: Its id.
        work: What its tasks do.
        store: The store in which it registers.
        service: Its service.
        zone: Its zone.
        labels: Its labels: kind and rack.
        capacity: Its `cpu`, `mem_mb` and `gpus`.
        hold_max_s: Longest lease.

    Attributes:
        is_down: Whether it has ended or crashed.
        is_dark: Whether calls to it get no answer, as without power.
    """

    def __init__(
        self, minion_id, *, work, store, service, zone, labels, capacity, hold_max_s
    ):
        self.id = minion_id
        self.work = work
        self._store = store
        self._service = service
        self.zone = zone
        self._labels = labels
        self.capacity = capacity
        self._hold_max_s = hold_max_s
        self.is_down = False
        self.is_dark = False
        self._state = "ready"
        self._remaining_ms = None
        self._sequence = 0
        self._began_s = now_s()
        self.born = int(time.time() * 1000)
        self._token = 0
        self._lease_ms = 0
        self._ended_runs = {}
        self._ends = []
        self._end_count = 0
        self._ended = asyncio.Event()
        self.active = {}
        self._unnoted = {}
        # Share of the orders that get no answer and are carried out late.
        self.late_share = 0.0
        self.late_s = (2.0, 12.0)
        self.fail_share = 0.0
        # Whether no call reaches it, and no answer leaves it.
        self.is_cut = False
        # Delays of the next orders to start a task, which get no answer, and
        # the task of the last of them.
        self.late_starts = []
        self.held_up = ""
        self.life = 1
        self._random = random.Random(minion_id)
        self.server = web.Server(self._handle)
        work.minions[minion_id] = self

    def clock_ms(self):
        return int((now_s() - self._began_s) * 1000) + 1

    async def start(self):
        await self.server.listen()
        asyncio.create_task(self._beat())
        asyncio.create_task(self._run())

    def _write_entry(self):
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self._state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self._labels,
            "clock_ms": self.clock_ms(),
            "sequence": self._sequence,
            "born": self.born,
        }
        if self._remaining_ms is not None:
            entry["remaining_ms"] = self._remaining_ms
        self._store.put("servers", self.id, json.dumps(entry).encode())

    async def _beat(self):
        life = self.life
        while not self.is_down and self.life == life:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self, stay_s):
        """Report that it drains, and leave after some time."""
        self.work.log(f"minion {self.id} drains")
        self._state = "draining"
        self._remaining_ms = int(stay_s * 1000)
        self._write_entry()
        await asyncio.sleep(stay_s)
        self.work.log(f"minion {self.id} leaves")
        self._end_all("gone")
        self.is_down = True
        self._store.put("servers", self.id, None)
        self.server.close()

    async def lose_power(self):
        """Answer nothing any more; its entry lapses."""
        self.work.log(f"minion {self.id} loses power")
        self._end_all("gone")
        self.is_down = self.is_dark = True
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.put("servers", self.id, None)

    async def cut(self, for_s, down_s):
        """Be cut off from all hosts, and crash and start again meanwhile.

        Its connections stay open until the cut ends.
        """
        self.work.log(f"minion {self.id} is cut off")
        self.is_cut = True
        await asyncio.sleep(0.2)
        self._forget()
        await asyncio.sleep(down_s)
        self._live()
        await asyncio.sleep(for_s - down_s - 0.2)
        self.is_cut = False
        self.server.drop()
        self.work.log(f"minion {self.id} is no longer cut off")

    def _forget(self):
        self.work.log(f"minion {self.id} crashes")
        self._end_all("gone")
        self.is_down = True

    def _live(self):
        """Begin a new life, under the id of the former one."""
        self.life += 1
        self._token = self._lease_ms = self._end_count = self._sequence = 0
        self._ended_runs, self._ends, self._unnoted = {}, [], {}
        self._began_s, self.born = now_s(), int(time.time() * 1000)
        self.is_down = False
        self.work.log(f"minion {self.id} starts again")
        asyncio.create_task(self._beat())
        asyncio.create_task(self._run())

    async def crash(self, down_s):
        """Crash, and start again under the same id and address."""
        port = self.server.port
        self._forget()
        self.server.close()
        await asyncio.sleep(down_s)
        if down_s > 3 * HEARTBEAT_S:
            self._store.put("servers", self.id, None)
        self.server = web.Server(self._handle)
        await self.server.listen(port)
        self._live()

    def _end_all(self, how):
        for run in list(self.active.values()):
            self._end(run, how)

    def _end(self, run, how):
        if self.active.get(run.task) is not run:
            return
        run.how, run.ended_s = how, now_s()
        saved = "" if how == "done" else run.checkpoint(how == "stopped")
        run.done_s, run.works_since_s = run.progress_s(), None
        del self.active[run.task]
        self._ended_runs[run.task] = max(
            run.number, self._ended_runs.get(run.task, 0)
        )
        if how != "gone":
            self._end_count += 1
            self._ends.append(
                [self._end_count, run.task, run.number, how, saved]
            )
            self._unnoted[self._end_count] = run
            self._ended.set()
        self.work.log(f"run {run.task} {run.number} on {self.id}: {how}")
        if self.work.step_of(run.task).get("gang") and how != "done":
            for other in self.work.members(run):
                if other is not run:
                    other.minion._end(other, "broken")

    async def _run(self):
        life = self.life
        while not self.is_down and self.life == life:
            await asyncio.sleep(TICK_S)
            if self.active and self.clock_ms() >= self._lease_ms:
                self._end_all("lapsed")
            for run in list(self.active.values()):
                if self.active.get(run.task) is run:
                    self._progress(run)

    def _progress(self, run):
        step = self.work.step_of(run.task)
        members = [run]
        if step.get("gang"):
            members = self.work.members(run)
            if len(members) < step["count"]:
                if now_s() - run.began_s > GANG_WAIT_S:
                    self._end(run, "alone")
                return
        if run.works_since_s is None:
            run.works_since_s, run.percent = now_s(), 100
        if run.fails_after_s is not None and now_s() > run.fails_after_s:
            self._end(run, "failed")
            return
        length_s = self.work.length_s(run.task)
        if length_s is not None and run.progress_s() >= length_s:
            for member in members:
                member.minion._end(member, "done")

    async def _handle(self, method, path, query, headers, body):
        if self.is_dark or self.is_cut:
            await asyncio.sleep(3600)
        if self.is_down:
            raise web.NoAnswer
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if self._random.random() < self.late_share:
            life = self.life
            await asyncio.sleep(self._random.uniform(*self.late_s))
            if self.is_down or self.life != life:
                raise web.NoAnswer
            self.work.log(f"{self.id} carries out late: {path} {body}")
            await self._carry_out(path, body | {"wait_ms": 0})
            raise web.NoAnswer
        if path == "/v1/run-start" and self.late_starts:
            # The next life takes it too: nothing tells it from a newer one.
            self.held_up = body["task"]
            self.work.log(f"{self.id} doesn't answer {path} {body}")
            await asyncio.sleep(self.late_starts.pop())
            answer = await self._carry_out(path, body)
            self.work.log(f"{self.id} carries it out late: {answer}")
            await asyncio.sleep(3600)
        answer = await self._carry_out(path, body)
        if self.is_cut:
            await asyncio.sleep(3600)
        return answer

    async def _carry_out(self, path, body):
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if path == "/v1/hold":
            return await self._hold(body)
        if path == "/v1/run-start":
            return self._start(body)
        if path == "/v1/run-stop":
            return self._stop(body)
        if path == "/v1/pace":
            return self._answer(200)
        return 404, {}

    def _answer(self, status, **fields):
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms):
        most_ms = self.clock_ms() + int(self._hold_max_s * 1000)
        self._lease_ms = max(self._lease_ms, min(deadline_ms, most_ms))

    async def _hold(self, body):
        if body.get("deadline_ms"):
            self._extend(body["deadline_ms"])
        last = body.get("last_seen", 0)
        for number in [n for n in self._unnoted if n <= last]:
            self._unnoted.pop(number).noted_s = now_s()
        self._ends = [end for end in self._ends if end[0] > last]
        if not self._ends and body.get("wait_ms"):
            self._ended.clear()
            try:
                await asyncio.wait_for(
                    self._ended.wait(), min(body["wait_ms"], 2000) / 1000
                )
            except asyncio.TimeoutError:
                pass
            if self.is_dark:
                await asyncio.sleep(3600)
            if self.is_down:
                raise web.NoAnswer
        active = [
            [run.task, run.number, run.checkpoint(), run.percent, 0]
            for run in self.active.values()
        ]
        return self._answer(200, active=active, finished=self._ends[:500])

    def _start(self, body):
        task, number = body["task"], body["run"]
        known = self.active.get(task)
        if known is not None and known.number == number:
            self._extend(body["deadline_ms"])
            return self._answer(200)
        if number <= self._ended_runs.get(task, 0) or known is not None:
            self._extend(body["deadline_ms"])
            return self._answer(409, reason="old")
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        run = Run(task, number, self, body.get("checkpoint", ""))
        if self._random.random() < self.fail_share:
            run.fails_after_s = now_s() + self._random.uniform(0.1, 1.5)
        self.work.check_start(run, body)
        self.active[task] = run
        self.work.runs.append(run)
        self.work.log(f"run {task} {number} on {self.id}: started")
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], body["run"]
        run = self.active.get(task)
        self._ended_runs[task] = max(number, self._ended_runs.get(task, 0))
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, "stopped"
            )
        return self._answer(200)
