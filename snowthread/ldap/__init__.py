"""An LDAP version 3 client (RFC 4511): bytes in, messages out.

- ``ber`` frames and bounds what is received; ``schema`` is the protocol's ASN.1.
- ``messages`` are the typed operations, ``message_codec`` their bytes; ``controls`` paged results and content
  synchronisation.
- ``filters``, ``dn`` and ``url`` parse the textual forms; ``text_errors`` are what they raise,
  ``search_filter`` what a filter is.
- ``session`` is the state of one connection, without I/O; ``client`` its coroutines on the event loop.
- ``health`` decides about servers, retries and ``result_codes``, with ``circuit_breaker`` and
  ``retry_budget``.

Only ``client`` touches sockets, and only it reads a clock.
"""
