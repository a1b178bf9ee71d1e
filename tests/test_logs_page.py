"""docs/LOGS.md lists each line that an entry VM writes, and its fields."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| `(.+?)` \| `(.+?)` \| (.+?) \| (.*?) \|", re.MULTILINE)
LEVELS = {"debug", "info", "warning", "error"}

Line = tuple[str, str]


def list_documented() -> dict[Line, tuple[set[str], set[str]]]:
    """Returns levels and fields of each line on the page."""
    text = (ROOT / "docs" / "LOGS.md").read_text(encoding="utf-8")
    return {
        (part, event): (
            set(levels.split(", ")),
            set(re.findall(r"`(\w+)`", fields)),
        )
        for part, event, levels, fields in ROW.findall(text)
    }


def find_parts(tree: ast.AST) -> dict[str, str]:
    """Returns the parts of a module's logs, by the name of the logger."""
    parts = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Call):
            opener = node.value.func
            if (
                isinstance(opener, ast.Attribute)
                and opener.attr == "get_logger"
            ):
                (name,) = node.targets
                (part,) = node.value.args
                assert isinstance(name, ast.Name)
                assert isinstance(part, ast.Constant)
                parts[name.id] = str(part.value)
    return parts


def find_logger(node: ast.expr) -> str:
    """Returns the name that a call such as `log.opt(...).error` begins with."""
    while isinstance(node, ast.Call | ast.Attribute):
        node = node.func if isinstance(node, ast.Call) else node.value
    return node.id if isinstance(node, ast.Name) else ""


def list_written() -> dict[Line, tuple[set[str], set[str]]]:
    """Returns levels and fields of each line that the code writes."""
    written: dict[Line, tuple[set[str], set[str]]] = {}
    for path in (ROOT / "wigeonspool" / "vm").glob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        parts = find_parts(tree)
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            name = node.func
            if isinstance(name, ast.Name) and name.id == "write":
                # The ending of a request chooses its level first.
                part, levels = "requests", {"INFO", "DEBUG"}
            elif isinstance(name, ast.Attribute) and name.attr in LEVELS:
                part = parts.get(find_logger(name.value), "")
                levels = {name.attr.upper()}
            else:
                continue
            if not part or not isinstance(node.args[0], ast.Constant):
                continue
            line = (part, str(node.args[0].value))
            known = written.setdefault(line, (set(), set()))
            known[0].update(levels)
            known[1].update(k.arg for k in node.keywords if k.arg)
    return written


class TestPage:
    def test_it_lists_what_is_written(self) -> None:
        written = list_written()
        assert ("requests", "ended") in written
        assert list_documented() == written
