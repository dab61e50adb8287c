"""Read the settings of the optional features from an operator's file.

All blocks are read and validated before any is applied. The package of a feature is imported only if the file
contains its block.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from snowthread import hcl
from snowthread.config import Config

if TYPE_CHECKING:
    from snowthread.records.settings import RecordSettings
    from snowthread.recovery.settings import RecoverySettings
    from snowthread.sites.settings import SiteSettings
    from snowthread.tenants.settings import TenantSettings


@dataclass(frozen=True, slots=True)
class Features:
    """The settings of each feature, or None for a feature without a block in the file."""

    path: Path
    tenants: TenantSettings | None
    records: RecordSettings | None = None
    recovery: RecoverySettings | None = None
    site: SiteSettings | None = None

    @classmethod
    def load(cls, path: Path, config: Config) -> Features:
        """Read and validate the complete file; a ConfigError says what is invalid.

        Passwords and certificates are read too, so that a reload is applied completely or not at all.
        """
        file = hcl.read_file(path)
        features = cls(
            path,
            tenants=_read_tenants(file.block("tenants"), config),
            records=_read_records(file.block("records")),
            recovery=_read_recovery(file.block("comeback")),
            site=_read_site(file.block("site")),
        )
        file.reject_unknown_keys()
        return features

    def changes_needing_restart(self, old: Features) -> list[str]:
        """Return the names of the blocks whose changes since ``old`` take effect only after a restart."""
        changed = {
            "tenants": (self.tenants is None)
            != (old.tenants is None),  # other changes of this block apply at once
            "records": self.records != old.records,
            "comeback": self.recovery != old.recovery,
            "site": self.site != old.site,
        }
        return [name for name, differs in changed.items() if differs]

    def summary_lines(self) -> list[str]:
        """Return one line for each enabled feature, or one line that says that none is enabled."""
        features = (self.tenants, self.records, self.recovery, self.site)
        summaries = [feature.summary() for feature in features if feature is not None]
        return summaries or [f"{self.path}: no features are enabled"]


def _read_tenants(block: hcl.Block | None, config: Config) -> TenantSettings | None:
    if block is None:
        return None
    from snowthread.tenants.settings import TenantSettings

    return TenantSettings.read(block, config)


def _read_records(block: hcl.Block | None) -> RecordSettings | None:
    if block is None:
        return None
    from snowthread.records.settings import read_record_settings

    return read_record_settings(block)


def _read_recovery(block: hcl.Block | None) -> RecoverySettings | None:
    if block is None:
        return None
    from snowthread.recovery.settings import read_recovery_settings

    return read_recovery_settings(block)


def _read_site(block: hcl.Block | None) -> SiteSettings | None:
    if block is None:
        return None
    from snowthread.sites.settings import read_site_settings

    return read_site_settings(block)
