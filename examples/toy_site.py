"""Emulate everything a formula node talks to, for trying one out by hand; not for measurements.

Run it from the repository's root beside a node (README.md says how). It emulates the runtime, the database
and the registry at the addresses of a configuration: a run takes a fifth of a second, every ``dispense``
makes one call to the database, and what happens is printed.
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
    """Emulate the surroundings of a configured node until interrupted."""
    loop = EventLoop(Clock())
    script = SiteScript(log=lambda line: print(line, flush=True))
    SiteEmulator(loop, json.loads(path.read_text()), script)
    print("toy site: ready", flush=True)
    loop.run()


if __name__ == "__main__":
    main(*map(Path, sys.argv[1:2]))
