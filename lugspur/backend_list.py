"""The backends as discovery last told them: where each listens, and whether anything may be sent to it."""

from __future__ import annotations

from collections.abc import Mapping

from jaspershelf.decide import Balancer
from jaspershelf.model import ListKind, ServerId, State
from lugspur.backend_connection import Backend
from lugspur.endpoints import Endpoint, server_name
from lugspur.events import log
from lugspur.trace import NAMES_MOST, trace
from lugspur.upstream import Upstream


class BackendList:
    """Keeps the pool of connections in step with the list, a backend at a time."""

    def __init__(self, pool: Upstream, balancer: Balancer) -> None:
        self._pool = pool
        self._balancer = balancer
        self.backends: dict[ServerId, Backend] = {}

    def withdraw(self, kind: ListKind, told: Mapping[ServerId, Endpoint]) -> None:
        """Take out of service what a message says is not to be used, or what a whole list leaves out."""
        withdrawn = []
        for server, backend in self.backends.items():
            was_in_service, endpoint = backend.in_service, told.get(server)
            if endpoint is None:
                backend.in_service &= kind is ListKind.PATCH
            elif endpoint.row.state is not State.UP:
                backend.in_service = False
            if was_in_service and not backend.in_service:
                withdrawn.append(server)
        if withdrawn:
            names = [server_name(server) for server in withdrawn[:NAMES_MOST]]
            trace.record("list.withdrawn", kind=kind.value, count=len(withdrawn), servers=names)

    def follow(self, kind: ListKind, told: Mapping[ServerId, Endpoint]) -> None:
        """Follow a message, once the module has it; a backend that fails is logged, and the others go on."""
        servers = told if kind is ListKind.PATCH else {**self.backends, **told}
        for server in list(servers):
            try:
                self._follow(server, told.get(server))
            except Exception:
                log.error("list.fault", member=server_name(server), exc_info=True)

    def forget(self, server: ServerId) -> None:
        """Nothing is kept of a backend that is gone."""
        backend = self.backends.pop(server, None)
        if backend is not None:
            self._pool.update(backend, backend.address, backend.started, False)

    def refresh(self, server: ServerId) -> None:
        """Keep connections to a backend, or close those that are idle, as the module uses it or not."""
        backend = self.backends.get(server)
        if backend is not None:
            takes = self._balancer.takes(server)
            self._pool.update(backend, backend.address, backend.started, takes)

    def _follow(self, server: ServerId, endpoint: Endpoint | None) -> None:
        """Where a backend is, and whether it is in service, as the list now says; None: it is left out."""
        if endpoint is None:
            backend = self.backends[server]
            self._pool.update(backend, backend.address, backend.started, False)
            return
        row = endpoint.row
        backend = self.backends.setdefault(server, Backend(endpoint.address))
        # Guards against a module that could not apply the message and still holds the row before it.
        takes = row.state is State.UP and self._balancer.takes(server)
        self._pool.update(backend, endpoint.address, row.started, takes)
