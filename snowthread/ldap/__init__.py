"""LDAP version 3 as a client speaks it (RFC 4511): bytes in, events out.

``ber`` frames and bounds what comes, ``schema`` is the protocol's ASN.1, ``messages`` the typed operations,
``controls`` paged results and content synchronisation, ``filters``, ``dn`` and ``url`` the texts,
``session`` the state of one connection, ``health`` decides about servers, retries and result codes, and
``client`` holds the coroutines. Only ``client`` knows sockets, and nothing but it a clock.
"""
