"""The memory limit: how much of the machine's memory requests and idempotency keys may use."""

from snowthread.admission.memory import MemoryAccount

MAX_MEMORY_RATIO = 0.92  # part of the configured memory that may be used; the rest is for the process itself


def exceeds_memory_limit(memory: MemoryAccount, extra_kb: float = 0.0) -> bool:
    """Return whether the memory in use and ``extra_kb`` more kilobytes exceed the limit."""
    return memory.exceeds(MAX_MEMORY_RATIO, extra_kb)
