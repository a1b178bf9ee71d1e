"""YAML files with the line number of each field.

A duplicate mapping key is an error here. The YAML library would silently use
the last one, and an operator would lose part of a table.
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

FieldPath = Sequence[str | int]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One parsed YAML file.

    Attributes:
        file: File name for error messages.
        content: Parsed content.
        root: Node tree with line numbers, or None if the content does not
            come from a YAML file.
    """

    file: str
    content: Any
    root: yaml.Node | None = None

    def find_line(self, path: FieldPath) -> int:
        """Returns the line of a field, or of its nearest parent that exists.

        Args:
            path: Mapping keys and list indices from the root to the field.

        Returns:
            The line, starting at 1, or 0 if there are no line numbers.
        """
        if self.root is None:
            return 0
        node = self.root
        line = node.start_mark.line
        for component in path:
            child = _find_child(node, component)
            if child is None:
                break
            line, node = child
        return line + 1

    def build_error(
        self, path: FieldPath, problem: str
    ) -> errors.SettingsError:
        """Returns an error with the file, line and name of a field."""
        return errors.SettingsError(
            self.file, format_path(path), problem, self.find_line(path)
        )

    def build_validation_error(
        self, error: pydantic.ValidationError
    ) -> errors.SettingsError:
        """Returns the error for the first problem that pydantic found."""
        first = error.errors(include_url=False)[0]
        return self.build_error(first["loc"], first["msg"])


def format_path(path: FieldPath) -> str:
    """Returns the dotted name of a field, or "document" for the root."""
    return ".".join(str(component) for component in path) or "document"


def _find_child(
    node: yaml.Node, component: str | int
) -> tuple[int, yaml.Node] | None:
    """Returns the line and node of a child, or None if there is none.

    Args:
        node: Parent node.
        component: Mapping key or list index of the child.

    Returns:
        The line, starting at 0, and the node of the value.
    """
    if isinstance(node, yaml.SequenceNode) and isinstance(component, int):
        if component < len(node.value):
            child = node.value[component]
            return child.start_mark.line, child
        return None
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == component:
                return key.start_mark.line, value
    return None


def read_document(path: pathlib.Path) -> Document:
    """Reads a YAML file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file cannot be read, is too large, is empty, is
            not one YAML document in UTF-8, is nested too deeply, has too many
            nodes or an invalid scalar, or has a key that is a duplicate or
            not a scalar.
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
        # The YAML library raises this for scalars such as a date of month 13.
        raise errors.SettingsError(file, "document", str(error)) from error
    return Document(file, content, root)


def _read_text(path: pathlib.Path) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: If the file cannot be read, is too large or not UTF-8.
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
    """Returns the error for a file that is not valid YAML."""
    mark = getattr(error, "problem_mark", None)
    line = 0 if mark is None else mark.line + 1
    problem = getattr(error, "problem", None) or getattr(error, "reason", None)
    return errors.SettingsError(
        file, "document", str(problem or "not valid YAML"), line
    )


def _check_nodes(file: str, root: yaml.Node) -> None:
    """Checks the keys of all mappings, the nesting depth and the node count.

    Nodes are checked in the order of the file. A node counts once for each
    alias, so the limits also reject nested and recursive aliases, which let a
    small file expand without bound.

    Raises:
        SettingsError: If a key is a duplicate or not a scalar, or if the file
            is nested too deeply or has too many nodes.
    """
    pending: list[tuple[yaml.Node, tuple[str | int, ...]]] = [(root, ())]
    checked = 0
    while pending:
        node, path = pending.pop()
        checked += 1
        line = node.start_mark.line + 1
        if len(path) > MAX_DEPTH:
            # The complete path would be too long for a message.
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
    """Checks that the keys of one mapping are scalars without duplicates.

    Raises:
        SettingsError: If a key is not a scalar or is a duplicate.
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
