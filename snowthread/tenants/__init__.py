"""Tenants from a directory: identify the tenant of each request, also while the directory is slow or down.

- ``model``: what a tenant is; ``entry``: how a directory entry describes one.
- ``table``: which tenant owns a ``client_address`` or a balancer's number.
- ``sync``: the protocol state of a synchronisation, from LDAP messages to changes.
- ``removal_guard``: which reported removals are applied at once, and which are held.
- ``staleness``: how old the knowledge is and what that allows.
- ``unknown_clients``: lookups of addresses that no tenant owns.
- ``state``: all of these as one pure state; ``changes``: what its steps changed.
- ``replication``: the coroutine that keeps up with the directory; ``directory_session``: the work of one
  connection; ``lookups``: its lookups of unknown clients.
- ``snapshot``: the file that survives a restart; ``snapshot_writer``: the child process that writes it.
- ``identification``: wires all of this between a node's frontends and its reducer.
- ``settings``: the operator's block; ``inspection`` and ``cli``: the command line.

Only ``replication`` and ``directory_session`` (through LDAP), ``snapshot`` and ``snapshot_writer`` touch
sockets or files.
"""
