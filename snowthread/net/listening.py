"""Opens listening sockets, and adopts those that another process has passed on."""

from __future__ import annotations

import errno
import select
import socket

from snowthread.address import Address


class ListenError(OSError):
    """No socket can listen at an address; ``filename`` is the address as text."""

    def __init__(self, address: Address, cause: OSError) -> None:
        super().__init__(cause.errno, cause.strerror, f"{address.host}:{address.port}")
        self.address = address


def open_listener(address: Address, backlog: int) -> socket.socket:
    """Return a new socket that listens at an address.

    The kernel queues up to ``backlog`` connections until they are accepted.

    Raises:
        ListenError: the address is not available, or no descriptor is free.
    """
    try:
        listener = address.open(socket.SOCK_STREAM)
    except OSError as error:
        raise ListenError(address, error) from None
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError as error:
        listener.close()
        raise ListenError(address, error) from None
    return listener


def adopt_listener(descriptor: int) -> socket.socket:
    """Return the listening socket of an inherited descriptor.

    The socket may be closed but not shut down, because other processes listen on it too.

    Raises:
        OSError: the descriptor is not a listening socket.
    """
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(errno.EINVAL, f"descriptor {descriptor} does not listen")
    listener.setblocking(False)
    return listener


def has_pending_connection(listener: socket.socket) -> bool:
    """Return whether a connection is waiting to be accepted."""
    poller = select.poll()
    poller.register(listener.fileno(), select.POLLIN)
    return bool(poller.poll(0))
