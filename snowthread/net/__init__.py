"""The event loop, sockets and time, used by the network clients and servers.

- :mod:`.loop`: an epoll event loop with coroutines and timers; :mod:`.clock`: its source of time.
- :mod:`.connect` and :mod:`.listening`: open sockets; :mod:`.tls_stream`: a byte stream, optionally in TLS.
- :mod:`.attempt`: network failures as values; :mod:`.limits`: timeouts, buffer sizes and abuse limits.
"""
