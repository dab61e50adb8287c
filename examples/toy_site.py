"""Emulate the peers of a formula node, for manual experiments with a node; not suitable for measurements.

Run it from the repository's root together with a node, as README.md describes. It emulates the runtime, the
database and the registry on the addresses of a configuration. A run takes a fifth of a second, every
``dispense`` makes one call to the database, and each event is printed.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from emulators.site import SiteEmulator, SiteScript
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

EXAMPLE = Path(__file__).with_name("node.json")


def main(path: Path = EXAMPLE) -> None:
    """Emulate the peers of a configured node until interrupted."""
    loop = EventLoop(Clock())
    script = SiteScript(log=lambda line: print(line, flush=True))
    SiteEmulator(loop, json.loads(path.read_text()), script)
    print("toy site: ready", flush=True)
    loop.run()


if __name__ == "__main__":
    main(*map(Path, sys.argv[1:2]))
