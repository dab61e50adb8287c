"""The frontend for load balancers: MessagePack-RPC over TCP.

The modules form three layers; each imports only the layers below it:

- :mod:`.server` owns the connections, sends answers and releases clients; it uses :mod:`.acceptor` (the
  listening socket), :mod:`.sweeper` (timeouts) and :mod:`.eviction` (which idle connection is closed first).
- :mod:`.connection` is one connection; it uses :mod:`.connection_state`, :mod:`.message_stream` (bytes to
  messages), :mod:`.message_handler` (messages to events), :mod:`.socket_writer` and :mod:`.lingering_close`.
- :mod:`.codec`, :mod:`.framing`, :mod:`.messages` and :mod:`.request_fields` handle bytes and messages
  without sockets.
"""
