"""The objects that the modules of directory replication share."""

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
    """Event loop, settings, tenants and random generator; ``publish`` receives the changes of a step."""

    loop: EventLoop
    settings: TenantSettings
    tenant_state: TenantState
    generator: random.Random
    publish: Callable[[TenantChanges], None]
