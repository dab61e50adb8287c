"""The Python examples in the README run without changes."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_readme_examples_run() -> None:
    examples = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    assert examples
    for example in examples:
        exec(example, {})
