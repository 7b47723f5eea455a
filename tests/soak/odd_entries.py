"""Records that another writer may leave where upstreams list themselves."""

import json

from tests.soak.store import RECORD_BYTES, Store

ODD_KEY = "h7-50f235"


def entry(**fields) -> bytes:
    """Returns an entry like those of upstreams, with other values in some fields."""
    usual = {"service": "other", "address": "127.0.0.1:9", "zone": "a", "version": "v1",
             "slots": 64, "state": "ready", "warmupLeftMs": 0, "sequence": 1}
    return json.dumps({**usual, **fields}).encode()


def longest(field: str, service: str = "other") -> bytes:
    """Returns an entry as long as a record may be, because of one field."""
    empty = entry(**{"service": service, field: ""})
    return entry(**{"service": service,
                    field: "9" * (RECORD_BYTES - 1 - len(ODD_KEY) - len(empty))})


def with_json(field: str, value: bytes) -> bytes:
    """Returns an entry in which one field has a value that is written as given."""
    return entry(**{field: "@"}).replace(b'"@"', value)


DEEP = b"[" * 100_000 + b"]" * 100_000
# By name: what another writer may leave, one list of entries each.
ODD_ENTRIES = {
    "long version": [longest("version")],
    "long version of a known service": [longest("version", "engines")],
    "long service": [longest("service")],
    "long zone": [longest("zone")],
    "long address": [longest("address")],
    "two long versions": [entry(version=c * 200_000) for c in "ab"],
    "many services": [entry(service=f"{i:03}" * 1_000) for i in range(120)],
    "many short services": [entry(service=f"s{i:05}" * 16) for i in range(4_000)],
    "many versions": [entry(version=f"{i:05}" * 16) for i in range(4_000)],
    "large numbers": [with_json(field, value) for field in ("slots", "sequence", "born", "version")
                      for value in (b"1e400", b"-1e400", b"1e99999999999", b"Infinity", b"9" * 400)],
    "deeply nested": [with_json("version", DEEP), DEEP, b"[" * 200_000],
    "addresses": [entry(address=address) for address in
                  ("127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "[::1", "", ":", "x" * 300)],
    "no text": [b"\xff\xfe", b"\0", b"{", b'{"version":"\xff"}'],
}


def put_all(store: Store, values: list[bytes], topic: str = "keyed.servers") -> list[str]:
    """Writes records with keys that no upstream has; returns the keys."""
    keys = [f"{ODD_KEY}-{number}" if number else ODD_KEY for number in range(len(values))]
    for key, value in zip(keys, values):
        store.put_raw(topic, key, value)
    return keys
