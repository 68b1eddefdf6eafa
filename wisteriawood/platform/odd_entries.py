"""Entries of the directory that another writer left, for tests and soaks."""

import json

# Above the limit of nesting of any decoder; each entry fits into a row.
DEPTH = 10_000
ENTRY = {
    "service": "shop",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 64000, "gpus": 0},
    "labels": ["kind", "rack-a"],
    "clock_ms": 482113,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def _entry(**fields) -> bytes:
    return json.dumps(ENTRY | fields).encode()


def _with_text(name: str, text: bytes) -> bytes:
    """Return an entry with one more field, whose value is JSON text."""
    head = _entry().removesuffix(b"}")
    return head + b', "' + name.encode() + b'": ' + text + b"}"


_ODD_ADDRESSES = (
    5,
    "",
    ":80",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:-1",
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:" + "9" * 400,
    "10.0.0.9:80\n",
    "10.0.0.9:8o",
    "10.0.0.9:\u0668\u0660",
    "10.0.0.999:80",
    "[::1:80",
    "xn--\u00e4\u2028:80",
    "a/b:80",
    "u@10.0.0.9:80",
)


def _odd_texts() -> dict[str, bytes]:
    """Return entries that are no JSON, or nested too deep."""
    return {
        "empty": b"",
        "no text": b"\xff\xfe\x00",
        "cut": _entry()[:-9],
        "null": b"null",
        "a list": b"[]",
        "no fields": b"{}",
        "lone surrogate": _with_text("zone", b'"\\ud800"'),
        "deep arrays": _with_text("more", b"[" * DEPTH + b"]" * DEPTH),
        "less deep arrays": _with_text("more", b"[" * 2000 + b"]" * 2000),
        "deep objects": _with_text(
            "more", b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
        ),
        "deep and cut": _with_text("more", b"[" * DEPTH),
        "deep capacity": _with_text("capacity", b"[" * DEPTH + b"]" * DEPTH),
    }


def _odd_values() -> dict[str, bytes]:
    """Return entries with a value of another type, or out of bounds."""
    digits = b"9" * 400
    without_capacity = dict(ENTRY)
    del without_capacity["capacity"]
    return {
        "digits of cpu": _with_text("capacity", b'{"cpu": ' + digits + b"}"),
        "digits of clock": _with_text("clock_ms", digits),
        "large clock": _with_text("clock_ms", b"1e308"),
        "infinite clock": _with_text("clock_ms", b"1e400"),
        "digits of born": _with_text("born", b"9" * 30),
        "fraction of born": _with_text("born", b"1.5"),
        "negative born": _with_text("born", b"-1"),
        "digits of remaining": _with_text("remaining_ms", b"1e300"),
        "negative cpu": _entry(capacity={"cpu": -1}),
        "negative memory": _entry(capacity={"mem_mb": -(10**20)}),
        "text as capacity": _entry(capacity="much"),
        "text as cpu": _entry(capacity={"cpu": "4"}),
        "unknown state": _entry(state="strange"),
        "number as state": _entry(state=1),
        "number as service": _entry(service=7),
        "long service": _entry(service="s" * 50_000),
        "number as zone": _entry(zone=7),
        "text as labels": _entry(labels="kind"),
        "number in labels": _entry(labels=["kind", 7]),
        "text as slots": _entry(slots="8"),
        "negative slots": _entry(slots=-8),
        "text as sequence": _entry(sequence="4"),
        "a list as version": _entry(version=["v1"]),
        "no capacity": json.dumps(without_capacity).encode(),
        "empty capacity": _entry(capacity={}),
    }


def odd_entries() -> dict[str, bytes]:
    """Return entries of the directory that name no worker, by what is odd."""
    addresses = {
        f"address {str(address)[:20]!r}": _entry(address=address)
        for address in _ODD_ADDRESSES
    }
    return _odd_texts() | _odd_values() | addresses


def odd_worker_ids() -> list[str]:
    """Return ids under which an entry names no worker."""
    return ["", "a b", "a\r\nx-y: 1", "w\u00e4", "\x00", "w" * 201]
