"""Runs all benchmarks, or those named on the command line."""

import pathlib
import sys

from wisteriawood import bench
from wisteriawood.bench import base
from wisteriawood.policies import registry

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
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
    known = _known_red()
    failures = 0
    for name in names or base.BENCHMARKS.names():
        print(f"== {name}")
        for measure in base.BENCHMARKS.get(name)():
            verdict = "" if not measure.format_bounds() else "ok"
            if not measure.is_within_bounds():
                verdict = "known red" if measure.name in known else "RED"
                failures += verdict == "RED"
            print(
                f"{measure.name:<52} {measure.value:>10.4g} "
                f"{measure.unit:<8} {measure.format_bounds():<10} {verdict}"
            )
    print(f"{failures} bounds broken")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
