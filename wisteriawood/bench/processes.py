"""CPU time and memory of processes, read from /proc."""

import pathlib

TICKS_PER_S = 100.0
PAGE_BYTES = 4096


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rsplit(")")[1].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Return the resident set size of a process in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES
