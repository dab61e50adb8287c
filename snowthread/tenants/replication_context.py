"""What the parts of one replication share."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from snowthread.net.loop import EventLoop
from snowthread.tenants.changes import TenantChanges
from snowthread.tenants.settings import TenantSettings
from snowthread.tenants.state import TenantState


@dataclass(frozen=True, slots=True)
class ReplicationContext:
    """The node's loop, settings, tenants and random draws; ``publish`` takes what a step changed."""

    loop: EventLoop
    settings: TenantSettings
    tenants: TenantState
    rng: random.Random
    publish: Callable[[TenantChanges], None]
