"""The load balancers' frontend: MessagePack-RPC over TCP.

Imports point one way: :mod:`.server` (accepting, answers, draining) and :mod:`.sweeper` (timeouts) use
:mod:`.connection` (one socket), which uses :mod:`.codec`, :mod:`.framing` and :mod:`.request_fields` (bytes
and messages, no sockets).
"""
