"""Runs all fault tests, with every scenario of the fault matrix."""

import os
import pathlib
import sys
import unittest


def main() -> int:
    """Run the tests and return the exit status: 0 if none failed."""
    # The test modules read this when discovery imports them.
    os.environ["WISTERIAWOOD_FAULTS"] = "all"
    here = pathlib.Path(__file__).parent
    suite = unittest.defaultTestLoader.discover(
        str(here), pattern="*_tests.py", top_level_dir=str(here.parents[2])
    )
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed} passed, {failed} failed")
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
