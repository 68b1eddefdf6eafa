"""Command line of the soak test: runs it for one or several seeds."""

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


async def _run_soak(seed: int, folder: pathlib.Path, load_s: float) -> int:
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
        f"{len(world.injected_faults)} faults, {checker.now_s():.0f} s, "
        f"longest pause {world.longest_pause_s:.1f} s"
    )
    if checker.breaches:
        print("  faults: " + ", ".join(world.injected_faults))
        for breach in checker.breaches[:10]:
            print("  " + breach)
        print(f"  logs: {folder}")
    return 1 if checker.breaches else 0


def _run_seed(seed: int, load_s: float, keep: str) -> int:
    """Run one seed; logs are kept only if a folder for them is given."""
    parent = pathlib.Path(keep) if keep else None
    if parent is not None:
        parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="soak-") as found:
        folder = parent / f"seed-{seed}" if parent else pathlib.Path(found)
        folder.mkdir(exist_ok=True)
        return anyio.run(_run_soak, seed, folder, load_s)


def _run_seeds(seeds: list[int], jobs: int, load_s: float, keep: str) -> int:
    """Run each seed in its own process, up to a number at a time."""
    waiting = list(reversed(seeds))
    running: list[subprocess.Popen] = []
    failed = 0
    try:
        failed = _run_in_processes(waiting, running, jobs, load_s, keep)
    finally:
        for process in running:
            process.terminate()
    print(f"{len(seeds)} seeds, {failed} broken")
    return 1 if failed else 0


def _run_in_processes(
    waiting: list[int],
    running: list[subprocess.Popen],
    jobs: int,
    load_s: float,
    keep: str,
) -> int:
    """Run the waiting seeds; return the number with breaches."""
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


def _exit_on_signal(number: int, _frame: object) -> None:
    """Exit through SystemExit, so that cleanup stops the hosts."""
    sys.exit(128 + number)


def main() -> int:
    """Run the soak with the arguments of the command line."""
    signal.signal(signal.SIGTERM, _exit_on_signal)
    parser = argparse.ArgumentParser(prog="python -m wisteriawood.soak")
    parser.add_argument("--seed", type=int, help="run one seed")
    parser.add_argument("--seeds", help="range of seeds, as FIRST-LAST")
    parser.add_argument(
        "--cases", action="store_true", help="all seeds that failed before"
    )
    parser.add_argument(
        "--jobs", type=int, default=4, help="number of parallel seeds"
    )
    parser.add_argument(
        "--load",
        type=float,
        default=DEFAULT_LOAD_S,
        help="duration of the load in seconds",
    )
    parser.add_argument("--keep", default="", help="folder to keep logs in")
    options = parser.parse_args()
    if options.cases:
        seeds = sorted(cases.CASES)
        return _run_seeds(seeds, options.jobs, options.load, options.keep)
    if options.seeds:
        first, _dash, last = options.seeds.partition("-")
        seeds = list(range(int(first), int(last or first) + 1))
        return _run_seeds(seeds, options.jobs, options.load, options.keep)
    return _run_seed(options.seed or 1, options.load, options.keep)


if __name__ == "__main__":
    sys.exit(main())
