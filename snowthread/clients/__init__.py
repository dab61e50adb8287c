"""Clients of the peers that a node calls or reports to: the runtime, the database and the registry.

Each client owns its sockets and tasks. The ``*_codec`` modules translate between bytes and events and use no
sockets.

- :mod:`.runtime` connects and migrates the link to the runtime; :mod:`.runtime_link` has the timeouts of one
  link and :mod:`.command_queue` its unsent commands.
- :mod:`.database` assigns calls to connections; :mod:`.database_connection` makes one call and
  :mod:`.idle_connections` keeps connections open for the next calls.
- :mod:`.registry` sends reports to the registry in datagrams.
"""
