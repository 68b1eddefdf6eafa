"""Scheduler for colocated latency-critical and batch work."""

import time

__version__ = "0.1.0"
# Monotonic time at which this process began to import the package.
STARTED_AT_S = time.monotonic()
