"""Sockets and time, for clients and servers alike.

- :mod:`.loop`: one epoll loop with coroutines and timers; :mod:`.clock`: the time by which it runs.
- :mod:`.connect` and :mod:`.listening`: opening sockets; :mod:`.tls_stream`: a stream, in TLS where wanted.
- :mod:`.attempt`: failures as values; :mod:`.limits`: timeouts, buffers and abuse that peers are allowed.
"""
