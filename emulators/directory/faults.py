"""Scripted faults of the emulated directory, and its capabilities."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class Faults:
    """Faults of the directory; by default, each fault is absent.

    They may be changed while the directory runs. ``Directory.wake_connections`` makes open connections that
    wait for a client apply the change at once.

    Attributes:
        stall: Connections stay open, but nothing is sent or read on them.
        stall_after_bytes: Number of bytes sent on a connection after which nothing more is sent on it.
        reset_after_bytes: Number of bytes sent on a connection after which it is reset.
        close_after_messages: Number of messages sent on a connection after which it is closed.
        byte_delay_ms: Delay in ms between bytes, which are then sent one at a time.
        refuse_connections: Connections are closed as soon as they are accepted.
        bind_code: Result code of each bind.
        search_code: Result code of each search.
        size_limit: Maximum number of entries that a search returns.
        rewrite_message: Function that is called for each message with its number on the connection from 1 on
            and its bytes. It returns the bytes to send instead, or None to close the connection.
    """

    stall: bool = False
    stall_after_bytes: int | None = None
    reset_after_bytes: int | None = None
    close_after_messages: int | None = None
    byte_delay_ms: float = 0.0
    refuse_connections: bool = False
    bind_code: int = 0
    search_code: int = 0
    size_limit: int = 0
    rewrite_message: Callable[[int, bytes], bytes | None] | None = None


@dataclass(slots=True)
class Capabilities:
    """The features that the server supports, and the names that may bind.

    Attributes:
        sync: Whether searches may synchronise content (RFC 4533).
        persist: Whether a synchronisation may stay open to receive later changes (``refreshAndPersist``).
        paging: Whether searches may request pages of results (RFC 2696).
        passwords: Password of each name that may bind; if empty, any bind succeeds.
        tls: Server certificate and settings for StartTLS and LDAPS; None if the server has no TLS.
        ldaps: Whether each connection starts with a TLS handshake.
    """

    sync: bool = True
    persist: bool = True
    paging: bool = True
    passwords: Mapping[str, str] = field(default_factory=dict)
    tls: ssl.SSLContext | None = None
    ldaps: bool = False
