"""clovertack: an overload controller that lives inside each server of a fleet."""

from snowthread.admission.controller import Controller

__all__ = ["Controller", "__version__"]
__version__ = "0.3.0"
