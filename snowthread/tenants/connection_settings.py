"""The connection settings in the ``tenants`` block: timeouts, TLS and credentials."""

from __future__ import annotations

import os
import ssl
from ipaddress import ip_address
from pathlib import Path

from snowthread.hcl import Block
from snowthread.ldap import dn, url
from snowthread.ldap.ber import MessageLimits
from snowthread.ldap.client import ConnectionSettings
from snowthread.ldap.messages import ExternalBindRequest, Secret, SimpleBindRequest

Servers = tuple[url.LdapUrl, ...]


def read_connection_settings(
    block: Block, servers: Servers, message_limits: MessageLimits
) -> ConnectionSettings:
    """Return the connection settings of the ``tenants`` block.

    Certificates and passwords are read too, so that errors in them are found when the file is loaded. An
    invalid value, an unreadable file or a password that would be sent in clear text is a BlockKeyError.
    """
    start_tls = block.flag("start_tls", False)
    connect_timeout_ms = block.duration_ms("connect", "2s")
    bind_timeout_ms = block.duration_ms("bind_within", "3s")
    tls = block.block_or_empty("tls")
    ca_file = tls.optional_text("ca_file")
    cert_file = tls.optional_text("cert_file")
    key_file = tls.optional_text("key_file")
    server_name = tls.text("server_name", "")
    tls_context = None
    if start_tls or any(server.scheme == "ldaps" for server in servers):
        tls_context = _new_tls_context(tls, ca_file, cert_file, key_file)
    elif ca_file or cert_file or key_file or server_name:
        raise tls.error("ca_file", "no server uses TLS; use ldaps URLs or set start_tls")
    tls.reject_unknown_keys()
    return ConnectionSettings(
        bind=_read_bind(block, tls_context is not None, cert_file is not None, servers),
        tls_context=tls_context,
        start_tls=start_tls,
        server_name=server_name,
        connect_timeout_ms=connect_timeout_ms,
        bind_timeout_ms=bind_timeout_ms,
        message_limits=message_limits,
    )


def _new_tls_context(
    tls: Block, ca_file: str | None, cert_file: str | None, key_file: str | None
) -> ssl.SSLContext:
    try:
        context = ssl.create_default_context(cafile=ca_file)
    except (OSError, ssl.SSLError) as error:
        raise tls.error("ca_file", f"{ca_file}: {_error_reason(error)}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if cert_file is not None:
        try:
            context.load_cert_chain(cert_file, key_file)
        except (OSError, ssl.SSLError) as error:
            raise tls.error("cert_file", f"{cert_file}: {_error_reason(error)}") from None
    return context


def _error_reason(error: OSError) -> str | None:
    return getattr(error, "reason", None) or error.strerror


def _read_bind(
    block: Block, uses_tls: bool, has_certificate: bool, servers: Servers
) -> SimpleBindRequest | ExternalBindRequest | None:
    bind = block.block("bind")
    if bind is None:
        return None
    method = bind.choice("method", ("simple", "external"), "simple")
    if method == "external":
        if not has_certificate:
            raise bind.error("method", "method 'external' requires tls.cert_file")
        identity = bind.text("identity", "")
        bind.reject_unknown_keys()
        return ExternalBindRequest(identity)
    name = bind.text("dn")
    bind.parsed("dn", dn.parse, name)
    password = _read_password(bind)
    allow_clear_text = bind.flag("allow_clear_text", False)
    bind.reject_unknown_keys()
    for server in servers:
        if not uses_tls and not allow_clear_text and not ip_address(server.host).is_loopback:
            raise bind.error(
                "allow_clear_text",
                f"the password would be sent to {server.server} in clear text; use ldaps or start_tls",
            )
    return SimpleBindRequest(name, Secret(password))


def _read_password(bind: Block) -> str:
    file = bind.optional_text("password_file")
    variable = bind.optional_text("password_env")
    if (file is None) == (variable is None):
        raise bind.error("password_file", "set exactly one of password_file and password_env")
    password = _read_password_file(bind, file) if file is not None else os.environ.get(variable or "", "")
    if not password:  # a simple bind with an empty password is anonymous and succeeds (RFC 4513, 5.1.2)
        raise bind.error(
            "password_file" if file else "password_env", "the file or environment variable holds no password"
        )
    return password


def _read_password_file(bind: Block, file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8").rstrip("\r\n")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8 text"
        raise bind.error("password_file", f"{file}: {reason}") from None
