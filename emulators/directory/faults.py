"""What goes wrong at the emulated directory, and what it is capable of."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field


@dataclass(slots=True)
class Faults:
    """Faults, which may be changed while the directory runs; ``Directory.wake_connections`` applies them."""

    stall: bool = False  # nothing is sent or read any more
    stall_after_bytes: int | None = None  # bytes sent on a connection after which nothing more is sent
    reset_after_bytes: int | None = None  # bytes sent after which the connection is reset
    close_after_messages: int | None = None  # messages sent after which the connection is closed
    byte_delay_ms: float = 0.0  # one byte at a time, with this delay between them
    refuse_connections: bool = False  # connections are closed as they are accepted
    bind_code: int = 0  # the result of each bind
    search_code: int = 0  # the result of each search
    size_limit: int = 0  # entries that one search may return
    rewrite_message: Callable[[int, bytes], bytes | None] | None = (
        None  # the n-th message of a connection; None: close
    )


@dataclass(slots=True)
class Capabilities:
    """What the server supports, and who may bind."""

    sync: bool = True
    persist: bool = True
    paging: bool = True
    passwords: Mapping[str, str] = field(default_factory=dict)  # by name; none: anybody may bind
    tls: ssl.SSLContext | None = None
    ldaps: bool = False
