"""Builders of rows and messages that another writer left."""

DEEP = 100_000


def odd_reports():
    """Return bodies with which a worker can't have answered a renewal."""
    return {
        "empty": b"",
        "deep": b'{"clock_ms": 1, "x": ' + b"[" * DEEP + b"]" * DEEP + b"}",
        "large clock": b'{"clock_ms": 1e308}',
        "digits of clock": b'{"clock_ms": ' + b"9" * 400 + b"}",
        "list as task": b'{"clock_ms": 1, "active": [[["t"], 1, "", 1, 1]]}',
        "short row": b'{"clock_ms": 1, "active": [["t"]]}',
        "text as run": b'{"clock_ms": 1, "active": [["t", "1", "", 1, 1]]}',
        "unknown outcome": b'{"clock_ms": 1, "finished": [[1,"t",1,"x",""]]}',
        "negative number": b'{"clock_ms":1,"finished":[[-1,"t",1,"done",""]]}',
    }


def odd_rows():
    """Return values of the system's own rows that it did not write."""
    return [
        b"",
        b"\xff",
        b"{}",
        b"[]",
        b"null",
        b"[" * DEEP,
        b'{"x": ' + b"[" * DEEP + b"]" * DEEP + b"}",
        b'[1, "shop@a", "running", 0, 1, 0, []]',
        b'[1, "shop@a", "running", 0, 1, 0, {"x": [[0]]}]',
        b'[1, "shop@a", "strange", 0, 1, 0, {}]',
        b'[1, "shop@a", {"id": 5}]',
        b'{"zone": "a", "incarnation": "x", "count": 1, '
        b'"cells": {"shop@a": {"pending": 5}}}',
        b'{"zone": "a", "incarnation": "x", "count": 1, '
        b'"cells": {"shop@a": {"free": ' + b"9" * 400 + b"}}}",
        b'{"holder": 5, "incarnation": "x", "epoch": 1}',
        b'{"holder": "h", "incarnation": "x", "epoch": -1}',
        b'{"a|b": [1]}',
        b'{"a|b": [1, 1e308]}',
    ]
