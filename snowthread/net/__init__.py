"""Sockets and time: one epoll loop with coroutines and timers, connecting, TLS, and limits on connections."""
