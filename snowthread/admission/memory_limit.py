"""The memory limit: how much of the machine's memory requests and idempotency keys may use."""

from snowthread.admission.memory import MemoryAccount

MAX_MEMORY_RATIO = 0.92  # of the memory in the settings: the rest is for the process itself


def exceeds_memory_limit(memory: MemoryAccount, extra_kb: float = 0.0) -> bool:
    """Return whether ``extra_kb`` more kilobytes than now would exceed the limit."""
    return memory.exceeds(MAX_MEMORY_RATIO, extra_kb)
