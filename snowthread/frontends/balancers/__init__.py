"""The load balancers' frontend: MessagePack-RPC over TCP.

Imports point one way:

- :mod:`.server` owns the connections, sends answers and releases clients; it uses :mod:`.acceptor` (the
  listening socket), :mod:`.sweeper` (timeouts) and :mod:`.eviction` (which idle connection is closed first).
- :mod:`.connection` is one socket; it uses :mod:`.message_stream` (bytes to messages),
  :mod:`.message_handler` (messages to events), :mod:`.socket_writer` and :mod:`.lingering_close`.
- :mod:`.codec`, :mod:`.framing`, :mod:`.messages` and :mod:`.request_fields` know bytes and messages, no
  sockets.
"""
