"""Runs one test module and prints the result as a line of JSON."""

import json
import sys
import unittest


def _name(case):
    # A failed subtest is reported as its test.
    return getattr(case, "test_case", case).id()


def main(name):
    """Run a test module and return the exit status, which is always 0.

    Args:
        name: Dotted name of the module.
    """
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = {_name(case) for case, _text in result.failures + result.errors}
    failed |= {_name(case) for case in result.unexpectedSuccesses}
    print(json.dumps({"ran": result.testsRun, "failed": sorted(failed)}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
