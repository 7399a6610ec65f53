"""Discovery's messages read into typed entries; what one entry spoils costs that entry alone."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from jaspershelf.model import ListKind, ServerRow, State
from lugspur.config import Address, ConfigError, read_address

STATES = {"in_service": State.UP, "terminating": State.DRAINING, "terminated": State.GONE}
NAME_LENGTH_MOST = 512  # bytes of a server's name: names are compared and hashed on every request


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list: what the module sees of a backend, and where it listens."""

    row: ServerRow
    address: Address


@dataclass(slots=True, frozen=True)
class PartialEntry:
    """An entry of which the name can be read, but not all the rest.

    `state` is what it tells for certain: None where the server is to stay as it is known.
    """

    server: int
    state: State | None


@dataclass(slots=True, frozen=True)
class ListMessage:
    """One message of discovery: a whole list, or changes to it."""

    index: int | None  # None: it can't be read
    kind: ListKind
    entries: Sequence[Endpoint | PartialEntry]  # in the message's order
    unreadable: int  # entries that were not read, or only in part


def server_id(name: str) -> int:
    """The same whole number for a name at every proxy and after every restart."""
    return int.from_bytes(name.encode(), "big")


def server_name(server: int) -> str:
    """The name behind `server_id`."""
    return server.to_bytes((server.bit_length() + 7) // 8, "big").decode()


def read_whole(value: Any) -> int:
    """A whole number as discovery counts; ValueError for anything else."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a whole number")
    return value


def read_figure(value: Any) -> float:
    """A finite figure of 0 or more; ValueError for anything else."""
    if not isinstance(value, (int, float)) or isinstance(value, bool) or not 0.0 <= value < math.inf:
        raise ValueError(f"{value!r} is not a figure of 0 or more")
    return float(value)


def read_name(value: Any) -> int:
    """The id of a server's name; ValueError where that is no name."""
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LENGTH_MOST:
        raise ValueError("an entry has no name")
    return server_id(value)


class Reader:
    """Turns entries of discovery's form into endpoints; names become places in the settings' lists."""

    def __init__(self, zones: Mapping[str, int], types: Mapping[str, int]) -> None:
        self._zones, self._types = zones, types

    def endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """One entry; a zone or type that the settings don't name is none of theirs (-1).

        KeyError, TypeError, ValueError or ConfigError where a field is missing or makes no sense.
        """
        row = ServerRow(
            read_name(entry["name"]),
            STATES[entry["status"]],
            self._zones.get(entry.get("zone", ""), -1),
            read_whole(entry.get("group", 0)),
            read_figure(entry.get("weight", 1.0)),
            read_figure(entry.get("since_ms", 0)) / 1000.0,
            self._types.get(entry.get("type", ""), -1),
        )
        return Endpoint(row, read_address(entry["address"]))

    def endpoints(self, message: Mapping[str, Any]) -> list[Endpoint]:
        """All entries of a message; the first one that can't be read raises, as in `endpoint`."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def message(self, text: bytes) -> ListMessage:
        """A message, with whatever of it can be read; ValueError where it has no list of entries at all."""
        message = orjson.loads(text)
        if not isinstance(message, dict) or not isinstance(message.get("endpoints"), list):
            raise ValueError("the message holds no list of endpoints")
        rows = message["endpoints"]
        entries = [entry for entry in map(self._entry, rows) if entry is not None]
        complete = sum(isinstance(entry, Endpoint) for entry in entries)
        kind = ListKind.WHOLE if message.get("snapshot") else ListKind.PATCH
        return ListMessage(_index(message.get("index")), kind, entries, len(rows) - complete)

    def _entry(self, entry: Any) -> Endpoint | PartialEntry | None:
        """An entry as far as it can be read; None where not even its name can."""
        try:
            return self.endpoint(entry)
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError):
            return _partial(entry)

    def check(self, known: Mapping[str, Any]) -> None:
        """Raise ConfigError where the list known at the start can't be read."""
        try:
            read_whole(known["index"])
            self.endpoints(known)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"the known list can't be read: {fault!r}") from fault


def _index(value: Any) -> int | None:
    try:
        return read_whole(value)
    except ValueError:
        return None


def _partial(entry: Any) -> PartialEntry | None:
    """What is certain of a spoilt entry.

    A status that is unknown, or can't be read, withdraws the server: it may be a kind of draining. One that
    is said to be in service stays as it is known: a field that turns bad everywhere must end no service.
    """
    try:
        server = read_name(entry["name"])
    except (KeyError, TypeError, ValueError):
        return None
    status = entry.get("status")
    state = STATES.get(status, State.DRAINING) if isinstance(status, str) else State.DRAINING
    return PartialEntry(server, None if state is State.UP else state)
