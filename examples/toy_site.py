"""A toy of everything a formula node talks to, for trying one out by hand. Not a load rig.

Run it from the repository's root beside a node (README.md says how). It plays the runtime, the index and the
roster of emulators/site.py at the addresses of a configuration: a run takes a fifth of a second, every
dispense makes one call to the index, and what comes by is printed.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from emulators.site import SiteEmulator, SiteScript
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop


def main(path: str) -> None:
    """Play all three until stopped."""
    loop = EventLoop(Clock())
    SiteEmulator(
        loop, json.loads(Path(path).read_text()), SiteScript(tell=lambda line: print(line, flush=True))
    )
    print("toy site: ready", flush=True)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else str(Path(__file__).with_name("node.json")))
