"""Identify the tenant of each request from an LDAP directory, including while the directory is slow or down.

Tenant data held by a node:

- ``model``: the tenant data model; ``entry``: parsing of a directory entry into a tenant.
- ``table``: maps a client address or a balancer number to its tenant, using ``balancer_ranges`` and
  ``conflicts``.
- ``table_rebuild``: builds a new table in slices.
- ``removal_guard``: decides which reported removals apply at once and which need confirmation.
- ``staleness``: the age of the tenant data and what is still allowed at that age.
- ``unknown_clients``: lookups of addresses that no tenant owns.
- ``state``: all of the above as one state without I/O, configured by the operator's ``rules``; ``changes``:
  what each step changed; ``counters``: event counts.

Replication from the directory:

- ``directory_query``: the search sent to the directory; ``replication_mode``: the mode used for each server.
- ``sync``: the synchronisation protocol, which turns LDAP messages into ``sync_events``;
  ``refresh_collector``: the entries of a refresh until it completes.
- ``replication``: the coroutine that replicates the directory; ``directory_session``: one connection, using
  ``server_probe``, ``lookups`` and ``refresh_application``; ``replication_context``: what they share.

Integration into a node:

- ``identification``: connects all of the above to a node's frontends and its reducer.
- ``snapshot``: the file that survives a restart; ``snapshot_writer``: the child process that writes it;
  ``snapshot_schedule``: when it is restored and written.
- ``settings`` and ``connection_settings``: the ``tenants`` block of the operator's file.
- ``inspection`` and ``cli``: the command line.

Only ``replication`` and ``directory_session`` (through LDAP), ``snapshot`` and ``snapshot_writer`` access
sockets or files.
"""
