"""Paged results (RFC 2696) and content synchronisation (RFC 4533): values made and read."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import asn1tools

from snowthread.ldap.ber import Bounds, MalformedError, check
from snowthread.ldap.messages import Control
from snowthread.ldap.schema import MODULE

PAGED_OID = "1.2.840.113556.1.4.319"
SYNC_REQUEST_OID = "1.3.6.1.4.1.4203.1.9.1.1"
SYNC_STATE_OID = "1.3.6.1.4.1.4203.1.9.1.2"
SYNC_DONE_OID = "1.3.6.1.4.1.4203.1.9.1.3"
SYNC_INFO_OID = "1.3.6.1.4.1.4203.1.9.1.4"
MAX_COOKIE_BYTES = 4096  # bytes of a cookie that is kept: it is a server's, and of any length
UUID_BYTES = 16
_VALUE_BOUNDS = Bounds(frame_bytes=512 * 1024, depth=6, elements=20_000)


class SyncMode(IntEnum):
    """What the client asks for."""

    REFRESH_ONLY = 1
    REFRESH_AND_PERSIST = 3


class EntryState(IntEnum):
    """What a synchronised entry says of itself."""

    PRESENT = 0
    ADD = 1
    MODIFY = 2
    DELETE = 3


@dataclass(frozen=True, slots=True)
class SyncState:
    """With each entry of a synchronisation."""

    state: EntryState
    uuid: str
    cookie: bytes | None


@dataclass(frozen=True, slots=True)
class SyncDone:
    """At the end of a refresh. ``deletes``: what was to go was named; else all unnamed has gone."""

    cookie: bytes | None
    refresh_deletes: bool


@dataclass(frozen=True, slots=True)
class NewCookie:
    """Only a new cookie."""

    cookie: bytes


@dataclass(frozen=True, slots=True)
class RefreshPhase:
    """A refresh's phase ends. ``deletes``: the delete phase, else the present phase; ``done``: and with it
    the whole refresh."""

    is_delete_phase: bool
    cookie: bytes | None
    refresh_done: bool


@dataclass(frozen=True, slots=True)
class SyncIdSet:
    """A set of entries by their UUIDs: present and unchanged, or with ``deletes`` gone."""

    refresh_deletes: bool
    uuids: tuple[str, ...]
    cookie: bytes | None


SyncInfo = NewCookie | RefreshPhase | SyncIdSet


def paged_results_control(size: int, cookie: bytes = b"") -> Control:
    """Ask for a page."""
    value = MODULE.types["PagedValue"].encode({"size": size, "cookie": cookie})
    return Control(PAGED_OID, True, bytes(value))


def sync_request_control(mode: SyncMode, cookie: bytes | None = None) -> Control:
    """Ask for synchronisation, from a cookie on where there is one."""
    fields: dict[str, Any] = {"mode": "refreshOnly" if mode is SyncMode.REFRESH_ONLY else "refreshAndPersist"}
    if cookie is not None:
        fields["cookie"] = cookie
    return Control(SYNC_REQUEST_OID, True, bytes(MODULE.types["SyncRequest"].encode(fields)))


def find_control(controls: tuple[Control, ...], oid: str) -> Control | None:
    """The control of that kind."""
    return next((c for c in controls if c.oid == oid), None)


def read_page_cookie(controls: tuple[Control, ...]) -> bytes | None:
    """Where the next page starts, empty after the last; None: no such control came."""
    control = find_control(controls, PAGED_OID)
    return None if control is None else _cookie(_read("PagedValue", control.value)["cookie"])


def read_sync_state(controls: tuple[Control, ...]) -> SyncState | None:
    """An entry's state, None where it has none."""
    control = find_control(controls, SYNC_STATE_OID)
    if control is None:
        return None
    v = _read("SyncState", control.value)
    return SyncState(EntryState[v["state"].upper()], _uuid(v["uuid"]), _cookie(v.get("cookie")))


def read_sync_done(controls: tuple[Control, ...]) -> SyncDone | None:
    """The end of a refresh, None where the control is missing."""
    control = find_control(controls, SYNC_DONE_OID)
    if control is None:
        return None
    v = _read("SyncDone", control.value)
    return SyncDone(_cookie(v.get("cookie")), v.get("refreshDeletes", False))


def read_sync_info(value: bytes) -> SyncInfo:
    """An intermediate message of a synchronisation."""
    kind, v = _read("SyncInfo", value)
    if kind == "newcookie":
        return NewCookie(_cookie(v) or b"")
    if kind == "syncIdSet":
        return SyncIdSet(
            v.get("refreshDeletes", False), tuple(_uuid(u) for u in v["uuids"]), _cookie(v.get("cookie"))
        )
    return RefreshPhase(kind == "refreshDelete", _cookie(v.get("cookie")), v.get("refreshDone", True))


def _read(kind: str, value: bytes | None) -> Any:
    try:
        check(value or b"", _VALUE_BOUNDS)
        return MODULE.types[kind].decode(value or b"")
    except (asn1tools.Error, KeyError, IndexError) as error:
        raise MalformedError(f"{kind}: {type(error).__name__}") from None


def _uuid(value: bytes) -> str:
    if len(value) != UUID_BYTES:
        raise MalformedError(f"a UUID of {len(value)} octets")
    return value.hex()


def _cookie(value: bytes | None) -> bytes | None:
    if value is not None and len(value) > MAX_COOKIE_BYTES:
        raise MalformedError(f"a cookie of {len(value)} octets")
    return value
