"""Builders of jobs and workers for tests of the soak checks."""

from wisteriawood.jobs import queues
from wisteriawood.jobs import specs
from wisteriawood.links import runners
from wisteriawood.soak import checks
from wisteriawood.soak import standing

JOB = "0123456789abcdef"
OTHER_JOB = "fedcba9876543210"


class TimedChecker(checks.Checker):
    """A checker whose clock a test sets."""

    __slots__ = ("at_s",)

    def __init__(self):
        super().__init__()
        self.at_s = 0.0

    def now_s(self):
        """Return the time that the test has set."""
        return self.at_s


class StandingWorld:
    """Two workers, and a standing job whose only task was lost on a third."""

    __slots__ = ("checker", "sent", "watch")

    def __init__(self, **fields):
        self.checker = TimedChecker()
        self.watch = standing.StandingWatch(checker=self.checker)
        for name in ("w0", "w1", "w2"):
            self.checker.workers[name] = make_worker(self.checker, name)
        self.sent = self.add_job(JOB, is_standing=True, **fields)
        self.start(JOB, "w0")
        self.checker.workers["w0"].crash()

    def add_job(self, job_id, **fields):
        """Add an accepted job of one task."""
        step = {"task_count": 1, "cpu_millicores": 2000} | fields
        sent = checks.SentJob(
            spec=specs.JobSpec(
                id=job_id,
                queue=queues.Queue(name="q"),
                payload="p",
                steps=[specs.StepSpec(**step)],
            )
        )
        sent.is_accepted = True
        self.checker.sent[job_id] = sent
        return sent

    def start(self, job_id, worker, index=0):
        """Start a task of a job."""
        return self.checker.workers[worker].begin_run(
            runners.StartRunCommand(
                task_name=f"{job_id}.0.0.{index}",
                run=1,
                payload="p",
                lease_until_ms=1000,
                token=1,
            )
        )

    def fill(self, cpu_millicores, **fields):
        """Run a task of another job on each living worker."""
        step = {"task_count": 2, "cpu_millicores": cpu_millicores} | fields
        self.add_job(OTHER_JOB, **step)
        for index, worker in enumerate(("w1", "w2")):
            self.start(OTHER_JOB, worker, index)

    def check_until(self, until_s, from_s=0.0):
        """Check each tenth of a second; return the breaches."""
        for tenth in range(round(from_s * 10), round(until_s * 10) + 1):
            self.checker.at_s = tenth / 10
            self.watch.check()
        return self.checker.breaches


def make_worker(checker, name):
    """Return a worker of 4000 millicores."""
    worker = checks.WatchedWorker(
        checker=checker,
        registration=runners.Registration(
            worker_id=name,
            service="s",
            address="a",
            zone="a",
            cpu_millicores=4000,
            memory_mb=1000,
        ),
        work_s=lambda _name: 1e6,
    )
    checker.workers[name] = worker
    return worker
