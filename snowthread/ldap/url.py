"""LDAP URLs (RFC 4516): where a server is."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote, urlsplit

from snowthread.address import Address
from snowthread.ldap import dn, filters
from snowthread.ldap.messages import Scope

PORTS = {"ldap": 389, "ldaps": 636}
_SCOPES = {"": None, "base": Scope.BASE, "one": Scope.ONE, "sub": Scope.SUB}


class UrlError(ValueError):
    """A text is no LDAP URL that can be used here."""


@dataclass(frozen=True, slots=True)
class LdapUrl:
    """One URL; ``scheme`` is ldap or ldaps, ``scope`` and ``filter`` are None if it names none."""

    scheme: str
    host: str
    port: int
    base: str = ""
    attributes: tuple[str, ...] = ()
    scope: Scope | None = None
    filter: str | None = None

    @property
    def address(self) -> Address:
        """Where to connect; the host must be a number, since names are not looked up."""
        try:
            return Address.parse(
                f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"
            )
        except ValueError as error:
            raise UrlError(str(error)) from None

    @property
    def server(self) -> str:
        """The scheme, host and port, to which cookies belong."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{self.scheme}://{host}:{self.port}"


def parse(text: str) -> LdapUrl:
    """Return a URL's parts, each checked; UrlError says which is wrong."""
    try:
        split = urlsplit(text)
        port = split.port
    except ValueError as error:
        raise UrlError(f"{text!r}: {error}") from None
    if split.scheme not in PORTS:
        raise UrlError(f"{text!r}: the scheme must be ldap or ldaps")
    if split.fragment or split.username is not None:
        raise UrlError(f"{text!r}: neither a user nor a fragment may stand in it")
    base = unquote(split.path[1:], errors="strict") if split.path else ""
    parts = [unquote(part) for part in split.query.split("?")] if split.query else []
    if len(parts) > 4:
        raise UrlError(f"{text!r}: more than four question marks")
    names, scope, search, extensions = (*parts, "", "", "", "")[:4]
    if scope.lower() not in _SCOPES:
        raise UrlError(f"{text!r}: no scope is called {scope!r}")
    if any(extension.startswith("!") for extension in extensions.split(",")):
        raise UrlError(f"{text!r}: an extension that is critical and not known")
    try:
        dn.parse(base)
        if search:
            filters.parse(search)
    except ValueError as error:
        raise UrlError(f"{text!r}: {error}") from None
    return LdapUrl(
        split.scheme,
        split.hostname or "",
        PORTS[split.scheme] if port is None else port,
        base,
        tuple(name for name in names.split(",") if name),
        _SCOPES[scope.lower()],
        search or None,
    )
