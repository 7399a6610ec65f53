"""Listening sockets: bound here, or held by the platform over an upgrade."""

from __future__ import annotations

import socket

from lugspur.config import Address


def listening_socket(address: Address) -> socket.socket:
    """A bound socket; an OSError names the address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError as fault:
        sock.close()
        raise OSError(f"{address[0]}:{address[1]}: {fault.strerror}") from fault
    return sock


class _Inherited(socket.socket):
    """A listening socket that the platform holds: it is neither bound here nor ever shut down."""

    def listen(self, backlog: int = 0) -> None:
        """It listens already: another length of its queue would hold for the other process too."""


def inherited_socket(descriptor: int) -> socket.socket:
    """The listening socket with this descriptor; an OSError names it."""
    try:
        sock = _Inherited(fileno=descriptor)
    except OSError as fault:
        raise OSError(f"RELAY_LISTEN_FD: descriptor {descriptor}: {fault.strerror}") from fault
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise OSError(f"RELAY_LISTEN_FD: descriptor {descriptor} is not a listening socket")
    sock.setblocking(False)
    return sock
