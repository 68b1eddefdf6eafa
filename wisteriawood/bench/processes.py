"""Processor time and memory of processes, from the kernel's files."""

import pathlib

TICKS_PER_S = 100.0
PAGE_BYTES = 4096


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rsplit(")")[1].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def rss_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES
