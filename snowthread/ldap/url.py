"""Parse LDAP URLs (RFC 4516), which give the address of a server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import unquote, urlsplit

from snowthread.address import Address
from snowthread.ldap import dn, filters
from snowthread.ldap.messages import Scope
from snowthread.ldap.text_errors import UrlError

DEFAULT_PORTS = {"ldap": 389, "ldaps": 636}
MAX_QUERY_PARTS = 4  # attributes, scope, filter, extensions (RFC 4516, section 2)
_SCOPES = {"": None, "base": Scope.BASE, "one": Scope.ONE, "sub": Scope.SUB}


@dataclass(frozen=True, slots=True)
class LdapUrl:
    """A parsed LDAP URL; ``scheme`` is ldap or ldaps, ``scope`` and ``filter`` are None if not given."""

    scheme: str
    host: str
    port: int
    base: str = ""
    attributes: tuple[str, ...] = ()
    scope: Scope | None = None
    filter: str | None = None

    @property
    def address(self) -> Address:
        """The address to connect to.

        Raises:
            UrlError: The host is not a numeric IP address; host names are not resolved.
        """
        try:
            return Address.parse(
                f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
            )
        except ValueError as error:
            raise UrlError(str(error)) from None

    @property
    def server(self) -> str:
        """The scheme, host and port, which identify a server, for instance as the sender of a cookie."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{self.scheme}://{host}:{self.port}"


def parse(text: str) -> LdapUrl:
    """Parse and validate an LDAP URL.

    Raises:
        UrlError: The text is not a valid or supported LDAP URL; the error says which part is wrong.
    """
    try:
        split = urlsplit(text)
        port = split.port
    except ValueError as error:
        raise UrlError(f"{text!r}: {error}") from None
    if split.scheme not in DEFAULT_PORTS:
        raise UrlError(f"{text!r}: the scheme must be ldap or ldaps")
    if split.fragment or split.username is not None:
        raise UrlError(f"{text!r}: user names and fragments are not allowed")
    base = unquote(split.path[1:], errors="strict") if split.path else ""
    query = _parse_query(text, split.query)
    try:
        dn.parse(base)
        if query.filter:
            filters.parse(query.filter)
    except ValueError as error:  # a lone surrogate raises UnicodeEncodeError, not an LdapTextError
        raise UrlError(f"{text!r}: {error}") from None
    return LdapUrl(
        split.scheme,
        split.hostname or "",
        DEFAULT_PORTS[split.scheme] if port is None else port,
        base,
        tuple(name for name in query.attributes.split(",") if name),
        query.scope,
        query.filter or None,
    )


class _Query(NamedTuple):
    """The part of a URL after the first question mark (RFC 4516, section 2)."""

    attributes: str
    scope: Scope | None
    filter: str


def _parse_query(text: str, query: str) -> _Query:
    parts = [unquote(part) for part in query.split("?")] if query else []
    if len(parts) > MAX_QUERY_PARTS:
        raise UrlError(f"{text!r}: more than four question marks")
    attributes, scope, filter_text, extensions = (*parts, "", "", "", "")[:MAX_QUERY_PARTS]
    if scope.lower() not in _SCOPES:
        raise UrlError(f"{text!r}: unknown scope {scope!r}")
    if any(extension.startswith("!") for extension in extensions.split(",")):
        raise UrlError(f"{text!r}: unknown critical extension")
    return _Query(attributes, _SCOPES[scope.lower()], filter_text)
