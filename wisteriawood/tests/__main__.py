"""Runs everything that CI runs and prints one verdict."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "wisteriawood"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def _check(name: str, *arguments: str) -> bool:
    done = subprocess.run(
        [sys.executable, "-m", *arguments], cwd=ROOT, check=False
    )
    print(f"{name}: {'passed' if done.returncode == 0 else 'FAILED'}")
    return done.returncode == 0


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {
        line.split()[1]
        for line in lines
        if line.startswith("test: ") and len(line.split()) > 1
    }


def _run_unit_tests() -> tuple[int, list[str]]:
    suite = unittest.defaultTestLoader.discover(
        str(PACKAGE / "tests"), pattern="*_tests.py", top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = {
        getattr(case, "test_case", case).id()
        for case, _trace in result.failures + result.errors
    }
    failed |= {case.id() for case in result.unexpectedSuccesses}
    return result.testsRun, sorted(failed)


def main() -> int:
    """Run the checks and return the exit status."""
    checks = [
        _check("black", "black", "--check", "-q", str(PACKAGE)),
        _check("flake8", "flake8", str(PACKAGE)),
    ]
    ran, failed = _run_unit_tests()
    known = _known_red()
    red = [name for name in failed if name not in known]
    for name in failed:
        if name in known:
            print(f"known red: {name}")
    for name in red:
        print(f"FAILED: {name}")
    failures = len(red) + checks.count(False)
    passed = ran - len(failed) + checks.count(True)
    print(f"{passed} passed, {failures} failed")
    return 1 if failures or not ran else 0


if __name__ == "__main__":
    sys.exit(main())
