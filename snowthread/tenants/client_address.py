"""Parse the IP address of a client from the address of its socket."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv6Address, ip_address


def parse_client_address(address: str) -> IPv4Address | IPv6Address | None:
    """Return a client's IP address, or None if the text is not an IP address.

    The zone of a link-local address is dropped, and an IPv4-mapped IPv6 address (``::ffff:a.b.c.d``) is
    returned as IPv4, so that a client has the same identity on IPv4 and IPv6 sockets.
    """
    try:
        ip = ip_address(address.partition("%")[0])
    except ValueError:
        return None
    mapped = ip.ipv4_mapped if isinstance(ip, IPv6Address) else None
    return ip if mapped is None else mapped
