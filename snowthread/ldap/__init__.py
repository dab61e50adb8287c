"""An LDAP version 3 client (RFC 4511).

- ``ber``: message framing and the limits on received messages; ``schema``: the ASN.1 of the protocol.
- ``messages``: the operations as typed values; ``message_codec``: their encoding; ``controls``: the controls
  for paged results and content synchronisation.
- ``filters``, ``dn`` and ``url``: parsers of the textual forms; ``text_errors``: the errors that they raise;
  ``search_filter``: search filters as typed values.
- ``session``: the protocol state of one connection, without I/O; ``client``: connections on the event loop.
- ``health``: selection of servers, retries and reactions to ``result_codes``, using ``circuit_breaker`` and
  ``retry_budget``.

Only ``client`` accesses sockets or reads a clock.
"""
