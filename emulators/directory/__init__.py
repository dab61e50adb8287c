"""Emulate a directory of tenants on loopback, with scripted faults.

It implements LDAP from its own reading of RFC 4511, RFC 2696 and RFC 4533, over another BER library than the
client's, so that a mistake made on one side shows on the other. It serves tests only.

- ``ber``: encode and decode BER as generic nodes; ``protocol``: the LDAP messages made of them.
- ``entries``: the entries and the filters that select them; ``content``: all entries, with their history.
- ``faults``: what goes wrong, and what the server is capable of; ``state``: these and the content.
- ``responses``: encode responses; ``searches``: answer searches; ``requests``: answer all requests.
- ``link``: the bytes and TLS of one connection; ``connection``: the requests in them.
- ``server``: the listener; ``__main__``: the command line.
"""

from emulators.directory.entries import Entry, matches
from emulators.directory.faults import Capabilities, Faults
from emulators.directory.server import Directory

__all__ = ["Capabilities", "Directory", "Entry", "Faults", "matches"]
