"""Errors in the textual forms of LDAP: names (RFC 4514), filters (RFC 4515) and URLs (RFC 4516)."""

from __future__ import annotations


class LdapTextError(ValueError):
    """A text can't be read; ``column`` is the character at which that was found, counted from 1, if known."""

    def __init__(self, reason: str, column: int | None = None) -> None:
        super().__init__(reason if column is None else f"{reason} at character {column}")
        self.reason = reason
        self.column = column


class DnError(LdapTextError):
    """A text is no distinguished name."""


class FilterError(LdapTextError):
    """A text is no search filter."""


class UrlError(LdapTextError):
    """A text is no LDAP URL that can be used here."""
