"""Command line of the soak test: runs it for one or several seeds."""

import argparse
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import anyio

from wisteriawood.soak import cases
from wisteriawood.soak import worlds

DEFAULT_LOAD_S = 14.0
# The same with workers that are lost for good.
LOSSES_LOAD_S = 45.0
# The same with workers that restart and are cut off for longer than a lease.
LIVES_LOAD_S = 45.0


async def _run_soak(folder: pathlib.Path, options: argparse.Namespace) -> int:
    seed = options.seed or 1
    world = worlds.SoakWorld(
        seed=seed,
        folder=folder,
        load_s=options.load,
        is_wide=options.wide,
        has_losses=options.losses,
        has_silences=options.silences,
        has_lives=options.lives,
        outlives_process=options.kept,
        fault_names=options.faults.split(",") if options.faults else [],
    )
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
        f"longest pause {world.longest_pause_s:.1f} s, longest gap "
        f"{world.standing.longest_gap_s:.1f} s" + _describe_freshness(world)
    )
    for gap in world.standing.roomy_gaps:
        print("  room: " + gap)
    if checker.breaches:
        print("  faults: " + ", ".join(world.injected_faults))
        print("  gaps: " + ", ".join(world.standing.gaps))
        for breach in checker.breaches[:10]:
            print("  " + breach)
        began_at_s = time.time() - checker.now_s()
        print(f"  logs: {folder}, which began at {began_at_s:.2f}")
    return 1 if checker.breaches else 0


def _describe_freshness(world: worlds.SoakWorld) -> str:
    if world.freshness is None:
        return ""
    return f", configuration late by {world.freshness.late_s:.1f} s at most"


def _run_seed(options: argparse.Namespace) -> int:
    """Run one seed; logs are kept only if a folder for them is given."""
    parent = pathlib.Path(options.keep) if options.keep else None
    if parent is not None:
        parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="soak-") as found:
        name = f"seed-{options.seed or 1}"
        folder = parent / name if parent else pathlib.Path(found)
        folder.mkdir(exist_ok=True)
        return anyio.run(_run_soak, folder, options)


def _run_seeds(seeds: list[int], jobs: int, arguments: list[str]) -> int:
    """Run each seed in its own process, up to a number at a time."""
    waiting = list(reversed(seeds))
    running: list[subprocess.Popen] = []
    failed = 0
    try:
        failed = _run_in_processes(waiting, running, jobs, arguments)
    finally:
        for process in running:
            process.terminate()
    print(f"{len(seeds)} seeds, {failed} broken")
    return 1 if failed else 0


def _run_in_processes(
    waiting: list[int],
    running: list[subprocess.Popen],
    jobs: int,
    arguments: list[str],
) -> int:
    """Run the waiting seeds; return the number with breaches."""
    failed = 0
    while waiting or running:
        while waiting and len(running) < jobs:
            command = [sys.executable, "-m", "wisteriawood.soak", *arguments]
            command += ["--seed", str(waiting.pop())]
            running.append(subprocess.Popen(command))
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
        help="duration of the load in seconds",
    )
    parser.add_argument("--keep", default="", help="folder to keep logs in")
    parser.add_argument(
        "--wide",
        action="store_true",
        help="add wide jobs, and faults that move and stop them",
    )
    parser.add_argument(
        "--losses",
        action="store_true",
        help="fill the cells, and lose workers for good",
    )
    parser.add_argument(
        "--silences",
        action="store_true",
        help="let the store fall silent, and watch the configuration",
    )
    parser.add_argument(
        "--lives",
        action="store_true",
        help="restart workers under their ids, and cut them off soon after",
    )
    parser.add_argument(
        "--kept",
        action="store_true",
        help="with --lives: keep connections to workers, and their orders "
        "without an answer, over a restart",
    )
    parser.add_argument(
        "--faults", default="", help="names of the only faults, with commas"
    )
    options = parser.parse_args()
    if options.kept and not options.lives:
        parser.error("--kept needs --lives")
    if options.load is None:
        options.load = DEFAULT_LOAD_S
        if options.losses:
            options.load = LOSSES_LOAD_S
        elif options.lives:
            options.load = LIVES_LOAD_S
    arguments = ["--load", str(options.load), "--keep", options.keep]
    arguments += ["--faults", options.faults]
    if options.wide:
        arguments.append("--wide")
    if options.losses:
        arguments.append("--losses")
    if options.lives:
        arguments.append("--lives")
    if options.kept:
        arguments.append("--kept")
    if options.silences:
        arguments.append("--silences")
    if options.cases:
        found = cases.LOSS_CASES if options.losses else cases.CASES
        seeds = sorted(found)
        return _run_seeds(seeds, options.jobs, arguments)
    if options.seeds:
        first, _dash, last = options.seeds.partition("-")
        seeds = list(range(int(first), int(last or first) + 1))
        return _run_seeds(seeds, options.jobs, arguments)
    return _run_seed(options)


if __name__ == "__main__":
    sys.exit(main())
