"""Encode and decode the controls for paged results (RFC 2696) and content synchronisation (RFC 4533).

Section numbers without a document refer to RFC 4533. A control that a server encoded incorrectly raises
``MalformedMessageError``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import asn1tools

from snowthread.ldap.ber import MalformedMessageError, MessageLimits, check
from snowthread.ldap.messages import Control
from snowthread.ldap.schema import LDAP_MODULE

PAGED_RESULTS_OID = "1.2.840.113556.1.4.319"
SYNC_REQUEST_OID = "1.3.6.1.4.1.4203.1.9.1.1"
SYNC_STATE_OID = "1.3.6.1.4.1.4203.1.9.1.2"
SYNC_DONE_OID = "1.3.6.1.4.1.4203.1.9.1.3"
SYNC_INFO_OID = "1.3.6.1.4.1.4203.1.9.1.4"
MAX_COOKIE_BYTES = 4096  # a server may make its cookies of any length (section 2.1.2)
UUID_BYTES = 16  # section 2.1.1
_VALUE_LIMITS = MessageLimits(max_frame_bytes=512 * 1024, max_depth=6, max_elements=20_000)


class SyncMode(IntEnum):
    """What the client asks for (section 2.2)."""

    REFRESH_ONLY = 1
    REFRESH_AND_PERSIST = 3


class EntryState(IntEnum):
    """The state of a synchronised entry (section 2.3)."""

    PRESENT = 0
    ADD = 1
    MODIFY = 2
    DELETE = 3


@dataclass(frozen=True, slots=True)
class SyncState:
    """The control of each entry of a synchronisation (section 2.3); ``entry_uuid`` is in hex."""

    state: EntryState
    entry_uuid: str
    cookie: bytes | None


@dataclass(frozen=True, slots=True)
class SyncDone:
    """The control at the end of a refresh (section 2.4)."""

    cookie: bytes | None
    refresh_deletes: bool  # deleted entries were named; else all entries that were not named are deleted


@dataclass(frozen=True, slots=True)
class NewCookie:
    """A sync info message (section 2.5) with a new cookie and nothing else."""

    cookie: bytes


@dataclass(frozen=True, slots=True)
class RefreshPhase:
    """A sync info message: the end of a phase of a refresh."""

    is_delete_phase: bool  # else it is the present phase
    cookie: bytes | None
    refresh_done: bool  # the refresh ends with this phase


@dataclass(frozen=True, slots=True)
class SyncIdSet:
    """A sync info message: entries by UUID, present and unchanged, or deleted with ``refresh_deletes``."""

    refresh_deletes: bool
    sync_uuids: tuple[str, ...]
    cookie: bytes | None


SyncInfo = NewCookie | RefreshPhase | SyncIdSet


def paged_results_control(size: int, cookie: bytes = b"") -> Control:
    """Return the control that asks for a page, from a cookie on."""
    value = LDAP_MODULE.types["RealSearchControlValue"].encode({"size": size, "cookie": cookie})
    return Control(PAGED_RESULTS_OID, True, bytes(value))


def sync_request_control(mode: SyncMode, cookie: bytes | None = None) -> Control:
    """Return the control that asks for synchronisation, from a cookie on if there is one."""
    fields: dict[str, Any] = {"mode": "refreshOnly" if mode is SyncMode.REFRESH_ONLY else "refreshAndPersist"}
    if cookie is not None:
        fields["cookie"] = cookie
    return Control(SYNC_REQUEST_OID, True, bytes(LDAP_MODULE.types["SyncRequestValue"].encode(fields)))


def find_control(controls: tuple[Control, ...], control_type: str) -> Control | None:
    """Return the control of that kind, or None."""
    return next((control for control in controls if control.control_type == control_type), None)


def read_page_cookie(controls: tuple[Control, ...]) -> bytes | None:
    """Return the cookie of the next page, empty after the last; None without such a control."""
    control = find_control(controls, PAGED_RESULTS_OID)
    if control is None:
        return None
    return _checked_cookie(_decode("RealSearchControlValue", control.control_value)["cookie"])


def read_sync_state(controls: tuple[Control, ...]) -> SyncState | None:
    """Return an entry's state, or None without such a control."""
    control = find_control(controls, SYNC_STATE_OID)
    if control is None:
        return None
    fields = _decode("SyncStateValue", control.control_value)
    state = EntryState[fields["state"].upper()]
    return SyncState(state, _uuid_hex(fields["entryUUID"]), _checked_cookie(fields.get("cookie")))


def read_sync_done(controls: tuple[Control, ...]) -> SyncDone | None:
    """Return the end of a refresh, or None without such a control."""
    control = find_control(controls, SYNC_DONE_OID)
    if control is None:
        return None
    fields = _decode("SyncDoneValue", control.control_value)
    return SyncDone(_checked_cookie(fields.get("cookie")), fields.get("refreshDeletes", False))


def read_sync_info(value: bytes) -> SyncInfo:
    """Return the content of a sync info message, the value of an intermediate response."""
    kind, fields = _decode("SyncInfoValue", value)
    if kind == "newcookie":
        return NewCookie(_checked_cookie(fields) or b"")
    cookie = _checked_cookie(fields.get("cookie"))
    if kind == "syncIdSet":
        sync_uuids = tuple(_uuid_hex(uuid) for uuid in fields["syncUUIDs"])
        return SyncIdSet(fields.get("refreshDeletes", False), sync_uuids, cookie)
    return RefreshPhase(kind == "refreshDelete", cookie, fields.get("refreshDone", True))


def _decode(kind: str, value: bytes | None) -> Any:
    try:
        check(value or b"", _VALUE_LIMITS)
        return LDAP_MODULE.types[kind].decode(value or b"")
    except (asn1tools.Error, KeyError, IndexError) as error:
        raise MalformedMessageError(f"{kind}: {type(error).__name__}") from None


def _uuid_hex(value: bytes) -> str:
    if len(value) != UUID_BYTES:
        raise MalformedMessageError(f"a UUID of {len(value)} octets")
    return value.hex()


def _checked_cookie(value: bytes | None) -> bytes | None:
    if value is not None and len(value) > MAX_COOKIE_BYTES:
        raise MalformedMessageError(f"a cookie of {len(value)} octets")
    return value
