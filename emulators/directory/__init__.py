"""Emulate a directory of tenants on loopback, with scripted faults.

It implements LDAP independently from RFC 4511, RFC 2696 and RFC 4533, and uses another BER library than the
client, so that an error on one side is detected by the other. It is used by tests only.

- ``ber`` encodes and decodes BER as generic nodes; ``protocol`` builds LDAP messages from them.
- ``entries`` has the entries and the filters that select them; ``content`` has all entries and their history.
- ``faults`` has the scripted faults and the server's capabilities; ``state`` combines them with the content.
- ``responses`` encodes responses; ``searches`` answers searches; ``requests`` answers all kinds of requests.
- ``link`` transfers the bytes of one connection, with TLS; ``connection`` reads the requests from them.
- ``server`` accepts connections; ``__main__`` is the command line.
"""

from emulators.directory.entries import Entry, matches
from emulators.directory.faults import Capabilities, Faults
from emulators.directory.server import Directory

__all__ = ["Capabilities", "Directory", "Entry", "Faults", "matches"]
