"""All entries of a directory.

Changes are numbered. A synchronisation cookie is the number of the last change that the client has received.
"""

from __future__ import annotations

import uuid as uuids
from typing import Any

from emulators.directory.entries import Entry
from emulators.directory.protocol import EntryState

OBJECT_CLASS = "snowthreadTenant"
OPERATIONAL_ATTRIBUTES = ("objectClass", "cn", "entryUUID", "modifyTimestamp")
FIRST_TIMESTAMP = 20260101000000
COOKIE_PREFIX = b"n="


class Content:
    """The entries below one base DN, and the history of their changes."""

    def __init__(self, base: str) -> None:
        self.base = base
        self.entries: dict[str, Entry] = {}  # Entries by distinguished name.
        self.change_number = 0
        self.oldest_cookie = 0  # Change number of the oldest valid cookie; cookies below it have expired.
        self.removed: dict[bytes, int] = {}  # Change number of the removal of each removed entry, by UUID.

    def dn(self, name: str) -> str:
        """Return the distinguished name of ``cn=name``."""
        return f"cn={name},{self.base}"

    def cookie(self) -> bytes:
        """Return the cookie for the current content."""
        return COOKIE_PREFIX + str(self.change_number).encode()

    @staticmethod
    def read_cookie(cookie: bytes | None) -> int:
        """Return the change number that a cookie holds; 0 without a cookie."""
        return int((cookie or b"").removeprefix(COOKIE_PREFIX) or b"0")

    def put(self, name: str, uuid: bytes | None = None, **attributes: Any) -> Entry:
        """Add or replace the entry ``cn=name``.

        Args:
            name: Value of the entry's ``cn``.
            uuid: UUID of the entry; by default, that of the entry replaced, or else one derived from its DN.
            attributes: Values of each attribute: one value, or a list or tuple of them.
        """
        self.change_number += 1
        dn = self.dn(name)
        old = self.entries.get(dn)
        key = uuid or (old.uuid if old else uuids.uuid5(uuids.NAMESPACE_DNS, dn).bytes)
        operational = {
            "objectClass": [OBJECT_CLASS],
            "cn": [name],
            "entryUUID": [str(uuids.UUID(bytes=key))],
            "modifyTimestamp": [f"{FIRST_TIMESTAMP + self.change_number}Z"],
        }
        given = {
            attribute: [str(each) for each in value] if isinstance(value, list | tuple) else [str(value)]
            for attribute, value in attributes.items()
        }
        entry = Entry(dn, key, operational | given, self.change_number)
        self.entries[dn] = entry
        self.removed.pop(key, None)
        self._changed(entry, EntryState.MODIFY if old else EntryState.ADD)
        return entry

    def rename(self, name: str, new_name: str) -> None:
        """Rename an entry; its UUID stays the same."""
        old = self.entries.pop(self.dn(name))
        given = {
            attribute: values
            for attribute, values in old.attributes.items()
            if attribute not in OPERATIONAL_ATTRIBUTES
        }
        self.put(new_name, old.uuid, **given)

    def remove(self, name: str) -> None:
        """Remove the entry ``cn=name``."""
        self.change_number += 1
        entry = self.entries.pop(self.dn(name))
        self.removed[entry.uuid] = self.change_number
        self._changed(entry, EntryState.DELETE)

    def expire_cookies(self) -> None:
        """Invalidate all cookies issued so far."""
        self.change_number += 1
        self.oldest_cookie = self.change_number

    def copy_to(self, other: Content) -> None:
        """Replace the content of another directory with a copy of the current content."""
        other.entries = {
            dn: Entry(entry.dn, entry.uuid, dict(entry.attributes), entry.change_number)
            for dn, entry in self.entries.items()
        }
        other.change_number = self.change_number
        other.removed = dict(self.removed)

    def _changed(self, entry: Entry, state: EntryState) -> None:
        """Handle the change of an entry; subclasses override this to report it to their clients."""
