"""Encode and decode the controls for paged results (RFC 2696) and content synchronisation (RFC 4533).

Section numbers without a document refer to RFC 4533. A control that a server encoded incorrectly raises
``MalformedMessageError``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import asn1tools

from snowthread.ldap.ber import MalformedMessageError, MessageLimits, check_structure
from snowthread.ldap.messages import Control
from snowthread.ldap.schema import LDAP_MODULE

PAGED_RESULTS_OID = "1.2.840.113556.1.4.319"
SYNC_REQUEST_OID = "1.3.6.1.4.1.4203.1.9.1.1"
SYNC_STATE_OID = "1.3.6.1.4.1.4203.1.9.1.2"
SYNC_DONE_OID = "1.3.6.1.4.1.4203.1.9.1.3"
SYNC_INFO_OID = "1.3.6.1.4.1.4203.1.9.1.4"
MAX_COOKIE_BYTES = 4096  # longest cookie accepted; the protocol sets no limit (RFC 4533, section 2.1.2)
UUID_BYTES = 16  # RFC 4533, section 2.1.1
_VALUE_LIMITS = MessageLimits(max_frame_bytes=512 * 1024, max_depth=6, max_elements=20_000)


class SyncMode(IntEnum):
    """The mode of synchronisation that the client requests (section 2.2)."""

    REFRESH_ONLY = 1
    REFRESH_AND_PERSIST = 3


class EntryState(IntEnum):
    """The state of an entry in a synchronisation (section 2.3)."""

    PRESENT = 0
    ADD = 1
    MODIFY = 2
    DELETE = 3


@dataclass(frozen=True, slots=True)
class SyncState:
    """The Sync State control, which comes with each entry (section 2.3); ``entry_uuid`` is in hex."""

    state: EntryState
    entry_uuid: str
    cookie: bytes | None


@dataclass(frozen=True, slots=True)
class SyncDone:
    """The Sync Done control, at the end of a refresh (section 2.4)."""

    cookie: bytes | None
    refresh_deletes: bool  # True: deleted entries were listed; False: all entries not listed are deleted


@dataclass(frozen=True, slots=True)
class NewCookie:
    """A Sync Info message (section 2.5) that only carries a new cookie."""

    cookie: bytes


@dataclass(frozen=True, slots=True)
class RefreshPhase:
    """A Sync Info message (section 2.5) that ends a phase of a refresh."""

    is_delete_phase: bool  # True: the delete phase; False: the present phase
    cookie: bytes | None
    refresh_done: bool  # whether the refresh ends with this phase


@dataclass(frozen=True, slots=True)
class SyncIdSet:
    """A Sync Info message (section 2.5) that lists entries by UUID in hex.

    The entries are deleted if ``refresh_deletes`` is True, else present and unchanged.
    """

    refresh_deletes: bool
    sync_uuids: tuple[str, ...]
    cookie: bytes | None


SyncInfo = NewCookie | RefreshPhase | SyncIdSet


def paged_results_control(size: int, cookie: bytes = b"") -> Control:
    """Return the control that requests a page of ``size`` entries; the cookie is empty for the first page."""
    value = LDAP_MODULE.types["RealSearchControlValue"].encode({"size": size, "cookie": cookie})
    return Control(PAGED_RESULTS_OID, True, bytes(value))


def sync_request_control(mode: SyncMode, cookie: bytes | None = None) -> Control:
    """Return the control that requests synchronisation, incrementally if there is a cookie."""
    fields: dict[str, Any] = {"mode": "refreshOnly" if mode is SyncMode.REFRESH_ONLY else "refreshAndPersist"}
    if cookie is not None:
        fields["cookie"] = cookie
    return Control(SYNC_REQUEST_OID, True, bytes(LDAP_MODULE.types["SyncRequestValue"].encode(fields)))


def find_control(controls: tuple[Control, ...], control_type: str) -> Control | None:
    """Return the control with this type (an OID), or None."""
    return next((control for control in controls if control.control_type == control_type), None)


def read_page_cookie(controls: tuple[Control, ...]) -> bytes | None:
    """Return the cookie of the next page, empty after the last page, or None without the control."""
    control = find_control(controls, PAGED_RESULTS_OID)
    if control is None:
        return None
    return _checked_cookie(_decode("RealSearchControlValue", control.control_value)["cookie"])


def read_sync_state(controls: tuple[Control, ...]) -> SyncState | None:
    """Return the Sync State control of an entry, or None if there is none."""
    control = find_control(controls, SYNC_STATE_OID)
    if control is None:
        return None
    fields = _decode("SyncStateValue", control.control_value)
    state = EntryState[fields["state"].upper()]
    return SyncState(state, _uuid_hex(fields["entryUUID"]), _checked_cookie(fields.get("cookie")))


def read_sync_done(controls: tuple[Control, ...]) -> SyncDone | None:
    """Return the Sync Done control of a refresh, or None if there is none."""
    control = find_control(controls, SYNC_DONE_OID)
    if control is None:
        return None
    fields = _decode("SyncDoneValue", control.control_value)
    return SyncDone(_checked_cookie(fields.get("cookie")), fields.get("refreshDeletes", False))


def read_sync_info(value: bytes) -> SyncInfo:
    """Return the Sync Info message in the value of an intermediate response."""
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
        check_structure(value or b"", _VALUE_LIMITS)
        return LDAP_MODULE.types[kind].decode(value or b"")
    except (asn1tools.Error, KeyError, IndexError) as error:
        raise MalformedMessageError(f"{kind}: {type(error).__name__}") from None


def _uuid_hex(value: bytes) -> str:
    if len(value) != UUID_BYTES:
        raise MalformedMessageError(f"UUID of {len(value)} octets instead of 16")
    return value.hex()


def _checked_cookie(value: bytes | None) -> bytes | None:
    if value is not None and len(value) > MAX_COOKIE_BYTES:
        raise MalformedMessageError(f"cookie of {len(value)} octets is too long")
    return value
