"""Runs everything that CI runs and prints one verdict."""

import functools
import json
import os
import pathlib
import subprocess
import sys

import anyio

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "wisteriawood"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
AT_ONCE = 4
# The order of sets of strings is the same on each run.
ENVIRONMENT = os.environ | {"PYTHONHASHSEED": "1"}


class Verdict:
    """What the checks and the test modules gave so far."""

    __slots__ = ("failed", "passed")

    def __init__(self):
        self.failed = []
        self.passed = 0

    def add(self, name, is_good):
        """Record one check."""
        if is_good:
            self.passed += 1
        else:
            self.failed.append(name)


def _known_red():
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.split()[1]
        for line in lines
        if line.startswith("test: ") and len(line.split()) > 1
    }


async def _run(*arguments):
    return await anyio.run_process(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        check=False,
        env=ENVIRONMENT,
        stderr=subprocess.STDOUT,
    )


async def _check(verdict, *arguments):
    done = await _run(*arguments)
    is_good = done.returncode == 0
    print(f"{arguments[0]}: {'passed' if is_good else 'FAILED'}")
    if not is_good:
        print(done.stdout.decode())
    verdict.add(arguments[0], is_good)


async def _run_module(verdict, limiter, name):
    async with limiter:
        done = await _run("wisteriawood.tests.module", name)
    text, _newline, last = done.stdout.decode().rstrip().rpartition("\n")
    try:
        result = json.loads(last)
    except json.JSONDecodeError:
        result = {"ran": 0, "failed": [name]}
        text += "\n" + last
    print(f"{name}: {result['ran']} run, {len(result['failed'])} failed")
    if result["failed"]:
        print(text)
    verdict.passed += result["ran"] - len(result["failed"])
    verdict.failed.extend(result["failed"])


def _modules():
    paths = sorted((PACKAGE / "tests").rglob("*_tests.py"))
    # The slow ones start first.
    paths.sort(key=lambda path: "faults" not in path.parts)
    return [
        ".".join(path.relative_to(ROOT).with_suffix("").parts)
        for path in paths
    ]


async def _run_all(verdict):
    await _check(verdict, "black", "--check", "-q", str(PACKAGE))
    await _check(verdict, "flake8", str(PACKAGE))
    limiter = anyio.CapacityLimiter(AT_ONCE)
    async with anyio.create_task_group() as group:
        for name in _modules():
            group.start_soon(_run_module, verdict, limiter, name)


def main():
    """Run the checks and return the exit status."""
    verdict = Verdict()
    anyio.run(functools.partial(_run_all, verdict))
    known = _known_red()
    red = [name for name in verdict.failed if name not in known]
    for name in sorted(verdict.failed):
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    print(f"{verdict.passed} passed, {len(red)} failed")
    return 1 if red or not verdict.passed else 0


if __name__ == "__main__":
    sys.exit(main())
