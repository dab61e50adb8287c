"""Listening sockets that are opened here, or passed on by another process."""

from __future__ import annotations

import errno
import os
import socket

import pytest
from support.exchange import loopback

from snowthread.address import Address
from snowthread.net.listening import ListenError, adopt_listener, open_listener


def test_inherited_listener_is_shared_and_other_sockets_are_rejected() -> None:
    with loopback(socket.SOCK_STREAM) as original, loopback(socket.SOCK_DGRAM) as datagrams:
        with pytest.raises(OSError, match="does not listen"):
            adopt_listener(os.dup(datagrams.fileno()))
        address = Address(*original.getsockname())
        with pytest.raises(ListenError) as caught:
            open_listener(address, backlog=1)  # the address is in use: only the inherited descriptor works
        assert (caught.value.address, caught.value.errno) == (address, errno.EADDRINUSE)
        assert caught.value.filename == "{}:{}".format(*address)
        adopted = adopt_listener(os.dup(original.fileno()))
        with socket.create_connection(original.getsockname()), adopted:
            assert adopted.accept()[0].getsockname() == original.getsockname()
        # After a close of the adopted socket, the original still listens.
        with socket.create_connection(original.getsockname()):
            original.accept()[0].close()
