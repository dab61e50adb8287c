"""The bounds of the policy, the modules that make decisions: their size, and what they may import."""

from __future__ import annotations

import ast
import io
import tokenize
import tomllib
from pathlib import Path

from snowthread.admission import controller

ROOT = Path(__file__).parents[2]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
TYPES = [  # types, tables and generic arithmetic, which make no decisions
    ROOT / "snowthread/admission" / name
    for name in (
        "settings.py",
        "events.py",
        "actions.py",
        "reasons.py",
        "run_load.py",
        "request.py",
        "statistics.py",
        "berger.py",
        "class_times.py",
        "cores.py",
        "memory.py",
        "open_requests.py",
        "call_table.py",
        "tenant_table.py",
        "timer_queue.py",
    )
]
STATE = [  # the state that the rules share; it makes no decisions but holds parts of the policy
    ROOT / "snowthread/admission" / name for name in ("controller_context.py", "state.py")
]
OTHER = {  # modules of the package that the policy may not import
    "__init__.py",
    "backoff.py",
    "call_budget.py",
    "learned_state.py",
    "recovery_pacer.py",
    "settings_parser.py",
    "simulator_adapter.py",
    "slow_start.py",
}
POLICY_CODE_LINES_MAX = 1200  # lines without comments, docstrings and blank lines
FILE_LINES_MAX = 400
LINE_LENGTH_MAX = 110
NOT_CODE = frozenset(  # tokens that stand for no code
    {
        tokenize.COMMENT,
        tokenize.DEDENT,
        tokenize.ENDMARKER,
        tokenize.INDENT,
        tokenize.NEWLINE,
        tokenize.NL,
    }
)
PURE_MODULES = frozenset(  # modules of the standard library that do no I/O and read no clock
    {
        "__future__",
        "bisect",
        "collections",
        "dataclasses",
        "enum",
        "heapq",
        "itertools",
        "math",
        "random",
        "typing",
    }
)


def imported(path: Path) -> set[str]:
    """Return the modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                submodule = ROOT.joinpath(*(node.module or "").split("."), f"{alias.name}.py")
                names.add(module_name(submodule) if submodule.exists() else node.module or "")
    return names


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def code_lines(source: str) -> set[int]:
    """Return the numbers of the lines that hold code: all but comments, docstrings and blank lines."""
    docstring_lines = {
        line
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
        if isinstance(node.value.value, str)
        for line in range(node.lineno, (node.end_lineno or node.lineno) + 1)
    }
    lines = {
        line
        for token in tokenize.generate_tokens(io.StringIO(source).readline)
        if token.type not in NOT_CODE
        for line in range(token.start[0], token.end[0] + 1)
    }
    return lines - docstring_lines


def test_each_file_of_the_policy_is_short() -> None:
    assert Path(controller.__file__) in POLICY
    for path in POLICY + STATE + TYPES:
        lines = path.read_text().splitlines()
        assert len(lines) <= FILE_LINES_MAX and max(map(len, lines)) <= LINE_LENGTH_MAX, path


def test_each_file_of_the_package_is_on_exactly_one_list() -> None:
    listed = [path.name for path in POLICY + STATE + TYPES] + list(OTHER)
    assert sorted(listed) == sorted(path.name for path in Path(controller.__file__).parent.glob("*.py"))


def test_policy_stays_small() -> None:
    assert sum(len(code_lines(path.read_text())) for path in POLICY) <= POLICY_CODE_LINES_MAX


def test_code_lines_leave_out_comments_docstrings_and_blank_lines() -> None:
    source = '"""Doc."""\n\n# comment\nA = (\n    1,\n\n    # comment\n    2,  # two\n)\n\n\n'
    source += 'def f() -> str:\n    """Doc.\n\n    More.\n    """\n    return """a\n\n    b"""\n'
    assert code_lines(source) == {4, 5, 8, 9, 12, 17, 18, 19}


def test_policy_and_its_types_import_nothing_else_of_the_program_and_do_no_io() -> None:
    policy_files = POLICY + STATE + TYPES
    for paths, allowed_files in ((POLICY + STATE, policy_files), (TYPES, TYPES)):
        allowed = set(map(module_name, allowed_files))
        for path in paths:
            for name in imported(path):
                assert name in allowed or name.split(".")[0] in PURE_MODULES, (path, name)


def test_policy_and_its_types_open_nothing_and_print_nothing() -> None:
    for path in POLICY + STATE + TYPES:
        calls = [node.func for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)]
        names = {call.id for call in calls if isinstance(call, ast.Name)}
        assert not names & {"open", "print", "input", "exec", "eval", "__import__"}, path
