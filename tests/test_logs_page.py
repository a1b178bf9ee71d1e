"""docs/LOGS.md lists each line that an entry VM logs, with its fields."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| `(.+?)` \| `(.+?)` \| (.+?) \| (.*?) \|", re.MULTILINE)
LEVELS = {"debug", "info", "warning", "error"}

# Component and event of a log line.
Line = tuple[str, str]


def list_documented_lines() -> dict[Line, tuple[set[str], set[str]]]:
    """Returns the levels and fields of each line on the page."""
    text = (ROOT / "docs" / "LOGS.md").read_text(encoding="utf-8")
    return {
        (component, event): (
            set(levels.split(", ")),
            set(re.findall(r"`(\w+)`", fields)),
        )
        for component, event, levels, fields in ROW.findall(text)
    }


def find_components(tree: ast.AST) -> dict[str, str]:
    """Returns the component of each logger of a module, by its variable."""
    components = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Call):
            function = node.value.func
            if (
                isinstance(function, ast.Attribute)
                and function.attr == "get_logger"
            ):
                (variable,) = node.targets
                (component,) = node.value.args
                assert isinstance(variable, ast.Name)
                assert isinstance(component, ast.Constant)
                components[variable.id] = str(component.value)
    return components


def find_logger_name(node: ast.expr) -> str:
    """Returns the logger variable of a call such as `log.opt(...).error`."""
    while isinstance(node, ast.Call | ast.Attribute):
        node = node.func if isinstance(node, ast.Call) else node.value
    return node.id if isinstance(node, ast.Name) else ""


def list_logged_lines() -> dict[Line, tuple[set[str], set[str]]]:
    """Returns the levels and fields of each line that the code logs."""
    logged: dict[Line, tuple[set[str], set[str]]] = {}
    for path in (ROOT / "wigeonspool" / "vm").glob("*.py"):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        components = find_components(tree)
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            function = node.func
            if isinstance(function, ast.Name) and function.id == "write":
                # The line at the end of a request is logged through `write`, a
                # variable that holds the method of the chosen level.
                component, levels = "requests", {"INFO", "DEBUG"}
            elif (
                isinstance(function, ast.Attribute) and function.attr in LEVELS
            ):
                component = components.get(find_logger_name(function.value), "")
                levels = {function.attr.upper()}
            else:
                continue
            if not component or not isinstance(node.args[0], ast.Constant):
                continue
            line = (component, str(node.args[0].value))
            levels_and_fields = logged.setdefault(line, (set(), set()))
            levels_and_fields[0].update(levels)
            levels_and_fields[1].update(k.arg for k in node.keywords if k.arg)
    return logged


class TestPage:
    def test_page_lists_what_the_code_logs(self) -> None:
        logged = list_logged_lines()
        assert ("requests", "ended") in logged
        assert list_documented_lines() == logged
