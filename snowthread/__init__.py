"""snowthread: a formula node on real sockets round the decision module clovertack."""

__version__ = "0.1.0"
