"""The membership datagram's format: MessagePack (msgpack.org's specification), one map a datagram.

Shape: `{"c": cluster, "v": VERSION, "k": kind, "n": sender, "a": [host, port], "s": seq, "t": target,
"ta": [host, port] or nil, "u": [[name, host, port, state, incarnation, by], ...]}`. Decoding checks every
field's type; a datagram of another cluster or version, truncated or garbage raises `CodecError`.

A datagram of a scope names it in `"o"` and has the version SCOPED_VERSION, so that a program that knows no
scopes drops it by its version, and never takes the scope's members for its own group's.
"""

from __future__ import annotations

from typing import Any

import msgpack  # type: ignore[import-untyped]

from lugspur.cluster.swim import Address, Kind, Message, State, Update
from lugspur.config import is_scope

VERSION = 1
SCOPED_VERSION = 2  # of datagrams with a scope
FLAT = ""  # the scope of datagrams that name none: the one group of members without scopes
INCARNATION_MOST = 1 << 62  # a start time in microseconds is far below; one more can still be written
MOST_BYTES = 60_000  # a datagram's size at the most: full states of a few hundred members fit


class CodecError(ValueError):
    """A datagram that is not ours to read; `reason` is one word for the counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def envelope(cluster: str, scope: str) -> dict[str, Any]:
    """The fields that each datagram of this cluster and scope begins with."""
    return {"c": cluster, "v": SCOPED_VERSION, "o": scope} if scope else {"c": cluster, "v": VERSION}


def encode(cluster: str, message: Message, scope: str = FLAT) -> bytes:
    """The datagram for this message."""
    target = message.target_address
    data: bytes = msgpack.packb(envelope(cluster, scope) | {
        "k": int(message.kind), "n": message.sender, "a": list(message.address),
        "s": message.seq, "t": message.target, "ta": list(target) if target else None,
        "u": [[u.name, *u.address, int(u.state), u.incarnation, u.by] for u in message.updates],
    })
    return data


def open_datagram(cluster: str, data: bytes) -> dict[str, Any]:
    """The map in a datagram of this cluster and version; CodecError for anything else."""
    if len(data) > MOST_BYTES:
        raise CodecError("size")
    try:
        raw = msgpack.unpackb(data, raw=False, strict_map_key=True)
    except (ValueError, OverflowError, msgpack.UnpackException) as fault:
        raise CodecError("garbage") from fault
    if not isinstance(raw, dict):
        raise CodecError("shape")
    if raw.get("c") != cluster:
        raise CodecError("cluster")
    if raw.get("v") not in (VERSION, SCOPED_VERSION):
        raise CodecError("version")
    if raw["v"] == SCOPED_VERSION and "o" not in raw:
        raise CodecError("version")
    if "o" in raw and (raw["v"] == VERSION or not is_scope(raw["o"])):
        raise CodecError("shape")
    return raw


def scope_of(raw: dict[str, Any]) -> str:
    """The scope that an opened datagram names, FLAT for none."""
    scope: str = raw.get("o", FLAT)
    return scope


def decode(cluster: str, data: bytes) -> Message:
    """The message in a datagram of this cluster; CodecError for anything else."""
    return read_message(open_datagram(cluster, data))


def read_message(raw: dict[str, Any]) -> Message:
    """The message in a datagram's map; CodecError for what is none."""
    try:
        target = raw["ta"]
        return Message(
            Kind(_int(raw["k"])), _str(raw["n"]), _address(raw["a"]), _int(raw["s"]), _str(raw["t"]),
            None if target is None else _address(target),
            tuple(_update(row) for row in _list(raw["u"])),
        )
    except CodecError:
        raise
    except (KeyError, ValueError, TypeError) as fault:
        raise CodecError("shape") from fault


def _update(row: Any) -> Update:
    name, host, port, state, incarnation, by = _list(row)
    if _int(incarnation) > INCARNATION_MOST:
        raise CodecError("impossible")
    return Update(_str(name), _address([host, port]), State(_int(state)), incarnation, _str(by))


def _address(value: Any) -> Address:
    host, port = _list(value)
    port = _int(port)
    if not 0 < port < 65536:
        raise ValueError("port")
    return _str(host), port


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError("list")
    return value


def _str(value: Any) -> str:
    if not isinstance(value, str) or len(value) > 255:
        raise TypeError("str")
    return value


def _int(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError("int")
    return value
