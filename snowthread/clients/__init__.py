"""Clients of the peers that a node calls or reports to: the runtime, the database and the registry.

Each client owns its sockets and tasks; ``*_codec`` modules know bytes and events, no sockets.

- :mod:`.runtime`: the link, reconnected and migrated; :mod:`.runtime_link` has its timeouts and
  :mod:`.command_queue` what is unsent on it.
- :mod:`.database`: calls and the connections that carry them; :mod:`.database_connection` makes one call,
  :mod:`.idle_connections` retains connections for the next ones.
- :mod:`.registry`: reports in datagrams.
"""
