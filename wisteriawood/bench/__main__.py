"""Runs all benchmarks, or those named on the command line."""

import pathlib
import sys

from wisteriawood import bench
from wisteriawood.bench import base
from wisteriawood.policies import registry

KNOWN_RED_PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def _read_known_red() -> set[str]:
    """Return the names of the measurements that are known to fail."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines()
    return {
        line.split()[1]
        for line in lines
        if line.startswith("bench: ") and len(line.split()) > 1
    }


def main(names: list[str]) -> int:
    """Run benchmarks and return the exit status.

    Args:
        names: Names of the benchmarks to run; empty for all.
    """
    registry.load_modules(bench)
    known = _read_known_red()
    failures = 0
    for name in names or base.BENCHMARKS.names():
        print(f"== {name}")
        for measurement in base.BENCHMARKS.get(name)():
            verdict = "" if not measurement.format_bounds() else "ok"
            if not measurement.is_within_bounds():
                verdict = "known red" if measurement.name in known else "RED"
                failures += verdict == "RED"
            print(
                f"{measurement.name:<52} {measurement.value:>10.4g} "
                f"{measurement.unit:<8} {measurement.format_bounds():<10} "
                f"{verdict}"
            )
    print(f"{failures} bounds broken")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
