"""Records what the store and the workers know of unfinished jobs."""

import json
import pathlib
import time
import typing

from wisteriawood.cells import tables

if typing.TYPE_CHECKING:
    from wisteriawood.soak import checks
    from wisteriawood.soak import worlds

FILE_NAME = "unfinished.json"


def write_unfinished(
    world: "worlds.SoakWorld", folder: pathlib.Path
) -> pathlib.Path:
    """Write the rows and the runs of unfinished jobs to a file.

    Times are those of the wall clock, as in the logs of the hosts.

    Args:
        world: The soak.
        folder: Folder of the file.
    """
    rows = world.memory_store.rows.values()
    content = {
        "faults": world.injected_faults,
        "began_at": time.time() - world.checker.now_s(),
        "claims": [_describe(r) for r in rows if r.at.table == tables.CLAIMS],
        "hosts": [_describe(r) for r in rows if r.at.table == tables.HOSTS],
        "jobs": {
            sent.spec.id: {
                "rows": [
                    _describe(r)
                    for r in rows
                    if r.at.key.partition("~")[0] == sent.spec.id
                ],
                "events": _run_events(world, sent),
                "not_ended": sorted(set(sent.names()) - sent.ended),
            }
            for sent in world.checker.sent.values()
            if world.checker.outstanding(sent)
        },
    }
    path = folder / FILE_NAME
    path.write_text(json.dumps(content, indent=1), encoding="utf-8")
    return path


def _describe(row) -> dict:
    value = (row.value or b"").decode(errors="replace")
    return {
        "table": row.at.table,
        "part": row.at.part,
        "key": row.at.key,
        "version": row.version,
        "value": value,
    }


def _run_events(
    world: "worlds.SoakWorld", sent: "checks.SentJob"
) -> list[tuple[float, str, str, int, str]]:
    """Return the starts and ends of a job's runs in order of their times."""
    wall_offset_s = time.time() - time.monotonic()
    prefix = sent.spec.id + "."
    found = []
    for worker_id, worker in world.workers.items():
        for name, run, at_s in worker.starts:
            if name.startswith(prefix):
                found.append((at_s, worker_id, name, run, "started"))
        for name, run, outcome, at_s in worker.ends:
            if name.startswith(prefix):
                found.append((at_s, worker_id, name, run, str(outcome)))
    return [
        (round(at_s + wall_offset_s, 3), *rest)
        for at_s, *rest in sorted(found)
    ]
