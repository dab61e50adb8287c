"""The features that an operator's file turns on: read and checked as a whole, before anything is taken up."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from snowthread.config import Config
from snowthread.operator import hcl

if TYPE_CHECKING:
    from snowthread.records.recorder import RecordSettings
    from snowthread.recovery.settings import RecoverySettings
    from snowthread.sites.settings import SiteSettings
    from snowthread.tenants.settings import TenantSettings


@dataclass(frozen=True, slots=True)
class Features:
    """What the file turns on; None: its block is absent."""

    path: Path
    tenants: TenantSettings | None
    records: RecordSettings | None = None
    comeback: RecoverySettings | None = None
    site: SiteSettings | None = None

    @classmethod
    def load(cls, path: Path, config: Config) -> Features:
        """Read the whole file; ConfigError says what can't be used. Secrets and certificates are read too,
        so that a reload which needs them can still be given up as a whole."""
        file = hcl.read(path)
        block = file.block("tenants")
        tenants = None
        if block is not None:
            from snowthread.tenants.settings import TenantSettings

            tenants = TenantSettings.read(block, config)
        records = None
        if (block := file.block("records")) is not None:
            from snowthread.records.settings import read

            records = read(block)
        comeback = None
        if (block := file.block("comeback")) is not None:
            from snowthread.recovery.settings import read as read_comeback

            comeback = read_comeback(block)
        site = None
        if (block := file.block("site")) is not None:
            from snowthread.sites.settings import read_site_settings as read_site

            site = read_site(block)
        file.done()
        return cls(path, tenants, records, comeback, site)

    def new_start(self, old: Features) -> list[str]:
        """What differs from the features as they run and is taken up only by a new start."""
        out = [] if (self.tenants is None) == (old.tenants is None) else ["tenants"]
        out += [] if self.records == old.records else ["records"]
        out += [] if self.comeback == old.comeback else ["comeback"]
        return out + ([] if self.site == old.site else ["site"])

    def lines(self) -> list[str]:
        """For people: what is on."""
        features = (self.tenants, self.records, self.comeback, self.site)
        on = [feature.summary() for feature in features if feature is not None]
        return on or [f"{self.path}: no feature is on"]
