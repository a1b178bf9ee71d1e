"""YAML files that know the line of each field.

A mapping key that stands twice is an error here: the YAML library would keep
the last one in silence, and an operator would lose half of a table.
"""

from collections.abc import Iterator, Sequence
import dataclasses
import pathlib
from typing import Any, Final

import pydantic
import yaml

from wigeonspool.model import errors

MAX_FILE_BYTES: Final = 16 * 1024 * 1024
MAX_DEPTH: Final = 32
MAX_NODES: Final = 1_000_000

Path = Sequence[str | int]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One parsed YAML file.

    Attributes:
        file: Its name, for messages.
        content: Its plain content.
        root: Its node tree, which knows lines; None if it came otherwise.
    """

    file: str
    content: Any
    root: yaml.Node | None = None

    def find_line(self, path: Path) -> int:
        """Returns the line, from 1, of a field or of its nearest parent.

        Args:
            path: Keys and indices that lead to the field.

        Returns:
            The line, or 0 if lines are not known.
        """
        if self.root is None:
            return 0
        node = self.root
        line = node.start_mark.line
        for part in path:
            found = _find_child(node, part)
            if found is None:
                break
            line, node = found
        return line + 1

    def build_error(self, path: Path, problem: str) -> errors.SettingsError:
        """Returns the error that names file, line and field."""
        return errors.SettingsError(
            self.file, format_path(path), problem, self.find_line(path)
        )

    def build_validation_error(
        self, error: pydantic.ValidationError
    ) -> errors.SettingsError:
        """Returns the first problem that a model found."""
        first = error.errors(include_url=False)[0]
        return self.build_error(first["loc"], first["msg"])


def format_path(path: Path) -> str:
    """Returns the dotted name of a field."""
    return ".".join(str(part) for part in path) or "document"


def _find_child(
    node: yaml.Node, part: str | int
) -> tuple[int, yaml.Node] | None:
    """Returns the line, from 0, and the node of one child."""
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        if part < len(node.value):
            child = node.value[part]
            return child.start_mark.line, child
        return None
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == part:
                return key.start_mark.line, value
    return None


def read_document(path: pathlib.Path) -> Document:
    """Returns the document in a YAML file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file cannot be read, is not one YAML mapping in
            UTF-8, or holds a key twice.
    """
    file = str(path)
    text = _read_text(path)
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if root is None:
            raise errors.SettingsError(file, "document", "the file is empty")
        _check_nodes(file, root)
        content = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise _build_syntax_error(file, error) from error
    except RecursionError as error:
        raise errors.SettingsError(
            file, "document", "nested too deeply"
        ) from error
    except ValueError as error:
        # A date of month 13 is a scalar that the library cannot build.
        raise errors.SettingsError(file, "document", str(error)) from error
    return Document(file, content, root)


def _read_text(path: pathlib.Path) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: If it cannot be read, is too large or not UTF-8.
    """
    file = str(path)
    try:
        with path.open("rb") as stream:
            raw = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        problem = error.strerror or type(error).__name__
        raise errors.SettingsError(file, "file", problem) from error
    if len(raw) > MAX_FILE_BYTES:
        raise errors.SettingsError(
            file, "file", f"longer than {MAX_FILE_BYTES} bytes"
        )
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw.count(b"\n", 0, error.start) + 1
        raise errors.SettingsError(
            file, "file", "not UTF-8 text", line
        ) from error


def _build_syntax_error(
    file: str, error: yaml.YAMLError
) -> errors.SettingsError:
    """Returns the typed error of a file that is not YAML."""
    mark = getattr(error, "problem_mark", None)
    line = 0 if mark is None else mark.line + 1
    problem = getattr(error, "problem", None) or getattr(error, "reason", None)
    return errors.SettingsError(
        file, "document", str(problem or "not valid YAML"), line
    )


def _check_nodes(file: str, root: yaml.Node) -> None:
    """Checks that no mapping holds a key twice, in the order of the file.

    Raises:
        SettingsError: If one does, or if the file nests too deeply or grows
            too large, as it may where aliases stand in one another.
    """
    pending: list[tuple[yaml.Node, tuple[str | int, ...]]] = [(root, ())]
    checked = 0
    while pending:
        node, path = pending.pop()
        checked += 1
        line = node.start_mark.line + 1
        if len(path) > MAX_DEPTH:
            raise errors.SettingsError(
                file, format_path(path[:3]), "nested too deeply", line
            )
        if checked > MAX_NODES:
            raise errors.SettingsError(
                file, "document", f"more than {MAX_NODES} values", line
            )
        if isinstance(node, yaml.MappingNode):
            _check_duplicate_keys(file, node, path)
        children = list(_iterate_children(node, path))
        pending += reversed(children)


def _iterate_children(
    node: yaml.Node, path: tuple[str | int, ...]
) -> Iterator[tuple[yaml.Node, tuple[str | int, ...]]]:
    """Yields the children of a node, each with its path."""
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            yield child, (*path, index)
    elif isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            yield value, (*path, key.value)


def _check_duplicate_keys(
    file: str, node: yaml.MappingNode, path: tuple[str | int, ...]
) -> None:
    """Checks that the keys of one mapping are plain and differ.

    Raises:
        SettingsError: If a key is not a scalar or stands twice.
    """
    seen: dict[str, int] = {}
    for key, _ in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            raise errors.SettingsError(
                file, format_path(path), "a key must be plain text", line
            )
        if key.value in seen:
            raise errors.SettingsError(
                file,
                format_path((*path, key.value)),
                f"the key stands here and on line {seen[key.value]}",
                line,
            )
        seen[key.value] = line
