"""Runs the soak for some seeds."""

import argparse
import pathlib
import signal
import subprocess
import sys
import tempfile

import anyio

from wisteriawood.soak import cases
from wisteriawood.soak import worlds

DEFAULT_LOAD_S = 14.0


async def _play(seed: int, folder: pathlib.Path, load_s: float) -> int:
    world = worlds.SoakWorld(seed=seed, folder=folder, load_s=load_s)
    await world.run()
    checker = world.checker
    accepted = sum(sent.is_accepted for sent in checker.sent.values())
    done = sum(
        len(sent.done) == len(sent.names()) for sent in checker.sent.values()
    )
    verdict = "broken" if checker.breaches else "held"
    print(
        f"seed {seed}: {verdict}; {len(checker.sent)} jobs, {accepted} "
        f"accepted, {done} done, {checker.starts} runs, "
        f"{len(world.struck)} faults, {checker.now_s():.0f} s"
    )
    if checker.breaches:
        print("  faults: " + ", ".join(world.struck))
        for breach in checker.breaches[:10]:
            print("  " + breach)
        print(f"  logs: {folder}")
    return 1 if checker.breaches else 0


def _run_seed(seed: int, load_s: float, keep: str) -> int:
    """Run one seed; logs are kept where a promise was broken."""
    parent = pathlib.Path(keep) if keep else None
    if parent is not None:
        parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="soak-") as found:
        folder = parent / f"seed-{seed}" if parent else pathlib.Path(found)
        folder.mkdir(exist_ok=True)
        return anyio.run(_play, seed, folder, load_s)


def _run_many(seeds: list[int], jobs: int, load_s: float, keep: str) -> int:
    """Run seeds, some at a time, each in a process of its own."""
    waiting = list(reversed(seeds))
    running: list[subprocess.Popen] = []
    failed = 0
    try:
        failed = _run_waiting(waiting, running, jobs, load_s, keep)
    finally:
        for process in running:
            process.terminate()
    print(f"{len(seeds)} seeds, {failed} broken")
    return 1 if failed else 0


def _run_waiting(
    waiting: list[int],
    running: list[subprocess.Popen],
    jobs: int,
    load_s: float,
    keep: str,
) -> int:
    """Run the seeds that wait; return how many broke a promise."""
    failed = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            arguments = ["--seed", str(waiting.pop()), "--load", str(load_s)]
            if keep:
                arguments += ["--keep", keep]
            running.append(
                subprocess.Popen(
                    [sys.executable, "-m", "wisteriawood.soak", *arguments]
                )
            )
        failed += running[0].wait() != 0
        running.pop(0)
    return failed


def _leave(number: int, _frame: object) -> None:
    """End in order, so that the hosts end with the soak."""
    sys.exit(128 + number)


def main() -> int:
    """Run the soak as the arguments say."""
    signal.signal(signal.SIGTERM, _leave)
    parser = argparse.ArgumentParser(prog="python -m wisteriawood.soak")
    parser.add_argument("--seed", type=int, help="one seed")
    parser.add_argument("--seeds", help="several, as FIRST-LAST")
    parser.add_argument(
        "--cases", action="store_true", help="all seeds that ever failed"
    )
    parser.add_argument("--jobs", type=int, default=4, help="seeds at a time")
    parser.add_argument(
        "--load", type=float, default=DEFAULT_LOAD_S, help="seconds of faults"
    )
    parser.add_argument("--keep", default="", help="folder that keeps logs")
    given = parser.parse_args()
    if given.cases:
        seeds = sorted(cases.CASES)
        return _run_many(seeds, given.jobs, given.load, given.keep)
    if given.seeds:
        first, _dash, last = given.seeds.partition("-")
        seeds = list(range(int(first), int(last or first) + 1))
        return _run_many(seeds, given.jobs, given.load, given.keep)
    return _run_seed(given.seed or 1, given.load, given.keep)


if __name__ == "__main__":
    sys.exit(main())
