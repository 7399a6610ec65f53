"""The attacks by name: which peers do what."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from hostile import callers, registry, servers
from hostile.callers import Call
from hostile.stage import Serve


@dataclass(frozen=True, slots=True)
class Attack:
    """Servers, a registry and crowds of callers; None or empty: they are not in it."""

    serve: Serve = servers.answer_well
    register: Serve | None = None
    crowds: Sequence[tuple[int, Call]] = ()


PLAIN = (100, callers.one_request)

ATTACKS = {
    "answers with headers without end": Attack(servers.endless_headers, crowds=[PLAIN]),
    "answers with a value without end": Attack(servers.endless_value, crowds=[PLAIN]),
    "answers with a trailer without end": Attack(servers.endless_trailer, crowds=[PLAIN]),
    "interim answers without end": Attack(servers.endless_interim, crowds=[PLAIN]),
    "answers in chunks of one byte": Attack(servers.chunks_of_one, crowds=[PLAIN]),
    "requests sent many at once, never answered": Attack(servers.hang, crowds=[(1000, callers.many_at_once)]),
    "requests with long names": Attack(servers.hang, crowds=[(100, callers.long_names)]),
    "heads that do not end": Attack(crowds=[(1000, callers.unfinished_head)]),
    "heads of tiny headers": Attack(crowds=[(500, callers.tiny_headers)]),
    "bodies that no server reads": Attack(servers.read_nothing, crowds=[(340, callers.large_body)]),
    "bodies in chunks of one byte": Attack(crowds=[(340, callers.bytes_in_chunks)]),
    "bodies with a trailer without end": Attack(servers.hang, crowds=[(20, callers.endless_trailer)]),
    "answers that no caller reads": Attack(servers.answer_large, crowds=[(40, callers.read_nothing)]),
    "operators' calls without end": Attack(crowds=[(8, callers.endless_operator_call)]),
    "a list indented without end": Attack(register=registry.indented_without_end),
    "a list's line without end": Attack(register=registry.line_without_end),
    "empty lines without end": Attack(register=registry.empty_lines),
    "a list of tiny values": Attack(register=registry.tiny_values),
    "lists of new names": Attack(register=registry.new_names),
    "patches of draining names": Attack(register=registry.draining_names),
    "all at once": Attack(
        servers.endless_headers, registry.new_names,
        [(50, callers.one_request), (300, callers.many_at_once), (100, callers.large_body),
         (200, callers.unfinished_head), (20, callers.read_nothing), (50, callers.long_names)],
    ),
}
