"""Errors of the parsers of distinguished names (RFC 4514), filters (RFC 4515) and URLs (RFC 4516)."""

from __future__ import annotations


class LdapTextError(ValueError):
    """A text can't be parsed.

    ``column`` is the position of the character at which parsing failed, counted from 1, or None if unknown.
    """

    def __init__(self, reason: str, column: int | None = None) -> None:
        super().__init__(reason if column is None else f"{reason} at character {column}")
        self.reason = reason
        self.column = column


class DnError(LdapTextError):
    """A text is not a valid distinguished name."""


class FilterError(LdapTextError):
    """A text is not a valid search filter."""


class UrlError(LdapTextError):
    """A text is not a valid LDAP URL, or not one that this client supports."""
