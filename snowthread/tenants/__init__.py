"""Tenants from a directory: identify the tenant of each request, also while the directory is slow or down.

What a node knows:

- ``model``: what a tenant is; ``entry``: how a directory entry describes one.
- ``table``: which tenant owns a ``client_address`` or a balancer's number, with ``balancer_ranges`` and
  ``conflicts``.
- ``table_rebuild``: a new table, built in slices.
- ``removal_guard``: which reported removals are applied at once, and which wait for a confirmation.
- ``staleness``: how old the knowledge is and what that allows.
- ``unknown_clients``: lookups of addresses that no tenant owns.
- ``state``: all of these as one pure state, with the operator's ``rules``; ``changes``: what its steps
  changed; ``counters``: what it counts.

How it follows the directory:

- ``directory_query``: what is asked of the directory; ``replication_mode``: how each server is followed.
- ``sync``: the protocol state, from LDAP messages to ``sync_events``; ``refresh_collector``: what a refresh
  has brought until its end.
- ``replication``: the coroutine that keeps up with the directory; ``directory_session``: the work of one
  connection, with ``server_probe``, ``lookups`` and ``refresh_application``; ``replication_context``: what
  these share.

At a node:

- ``identification``: wires all of this between a node's frontends and its reducer.
- ``snapshot``: the file that survives a restart; ``snapshot_writer``: the child process that writes it;
  ``snapshot_schedule``: when.
- ``settings`` and ``connection_settings``: the operator's block.
- ``inspection`` and ``cli``: the command line.

Only ``replication`` and ``directory_session`` (through LDAP), ``snapshot`` and ``snapshot_writer`` touch
sockets or files.
"""
