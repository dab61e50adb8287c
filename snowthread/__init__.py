"""snowthread: a formula node that admits, queues or rejects the requests of load balancers."""

__version__ = "0.1.0"
