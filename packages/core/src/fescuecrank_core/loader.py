"""Loads a `Fleet` from YAML files and reports every problem with its file, line and field."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from fescuecrank_core.declarations import (
    REFERENCES,
    SECTIONS,
    Declaration,
    Fleet,
    Problem,
    check_fleet,
)
from fescuecrank_core.plain import declaration_from_plain, describe_value, unknown_name_message

SUFFIXES = (".yaml", ".yml")

# The C parser is about ten times faster on a pool of several thousand workers.
_YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# YAML 1.1 reads `010` as octal and `1:30` as base 60; here such values remain text.
_DECIMAL = re.compile(r"[-+]?(0|[1-9][0-9_]*)")
_TRUE = frozenset({"yes", "true", "on"})
_NULL_TAG = "tag:yaml.org,2002:null"
_TEXT_TAGS = frozenset({"tag:yaml.org,2002:str", "tag:yaml.org,2002:timestamp"})
_COLLECTION_TAGS = frozenset({"tag:yaml.org,2002:map", "tag:yaml.org,2002:seq"})


@attrs.frozen
class LoadProblem:
    """One problem in a file; `line` counts from 1, and 0 stands for the whole file."""

    file: str
    line: int
    section: str
    name: str
    field: str
    detail: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        item = "/".join(part for part in (self.section, self.name) if part)
        return ": ".join(part for part in (place, item, self.field, self.detail) if part)


@attrs.frozen
class _SourceMap:
    """Source position of a declaration: the line of each of its fields, by field path.

    `unreadable` holds the paths of values for which the YAML reader already reported a problem.
    """

    file: str
    lines: dict[str, int]
    unreadable: set[str] = attrs.field(factory=set)

    def line(self, path: str) -> int:
        """Return the line of a field, or of the nearest enclosing field in the file."""
        while path not in self.lines:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.lines[path]

    def problem(self, problem: Problem) -> LoadProblem:
        """Return `problem` with its position in the file."""
        line = self.line(problem.field)
        return LoadProblem(
            self.file, line, problem.section, problem.name, problem.field, problem.detail
        )


def load_fleet(path: Path) -> Result[Fleet, list[LoadProblem]]:
    """Return the declarations in a YAML file, or in all YAML files directly in a folder.

    The error is the list of all problems, ordered by file and line.
    """
    files = _files(path)
    if files.is_err():
        return Err([files.err_value])
    loader = _FleetLoader()
    for file in files.ok_value:
        loader.read(file)
    return loader.finish()


def _files(path: Path) -> Result[list[Path], LoadProblem]:
    try:
        found = sorted(path.iterdir()) if path.is_dir() else [path]
    except OSError as exc:
        return Err(_file_problem(path, f"cannot be read: {exc.strerror}"))
    if path.is_dir():
        found = [file for file in found if _is_declaration_file(file)]
    if not found:
        return Err(_file_problem(path, "the folder holds no .yaml or .yml file"))
    return Ok(found)


def _is_declaration_file(file: Path) -> bool:
    return file.suffix in SUFFIXES and not file.name.startswith(".") and file.is_file()


def _file_problem(file: Path, detail: str, line: int = 0) -> LoadProblem:
    return LoadProblem(str(file), line, "", "", "", detail)


class _FleetLoader:
    """Reads files and collects declarations, their source positions and all problems."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Declaration]] = {section: {} for section in SECTIONS}
        self._sources: dict[tuple[str, str], _SourceMap] = {}
        self._problems: list[LoadProblem] = []

    def read(self, file: Path) -> None:
        """Add the declarations of one file."""
        root = _compose(file)
        if root.is_err():
            self._problems.append(root.err_value)
            return
        reader = _FileReader(file, self._problems)
        try:
            for section, name, source, value in reader.declarations(root.ok_value):
                self._add(section, name, source, value)
        except RecursionError:
            self._problems.append(_file_problem(file, "is nested too deeply"))

    def _add(self, section: str, name: str, source: _SourceMap, value: Any) -> None:
        earlier = self._sources.get((section, name))
        if earlier is not None:
            detail = f"is already declared at {earlier.file}:{earlier.line('')}"
            self._problems.append(source.problem(Problem(section, name, "", detail)))
            return
        self._sources[section, name] = source
        result = declaration_from_plain(section, name, value)
        if result.is_err():
            for problem in result.err_value:
                if problem.field not in source.unreadable:
                    self._problems.append(source.problem(problem))
            return
        self._items[section][name] = result.ok_value

    def finish(self) -> Result[Fleet, list[LoadProblem]]:
        """Check the references between all files and return the fleet."""
        fleet = Fleet(**self._items)
        for problem in check_fleet(fleet):
            if not self._is_consequential(fleet, problem):
                source = self._sources[problem.section, problem.name]
                self._problems.append(source.problem(problem))
        if self._problems:
            return Err(sorted(self._problems, key=lambda problem: (problem.file, problem.line)))
        return Ok(fleet)

    def _is_consequential(self, fleet: Fleet, problem: Problem) -> bool:
        """Return whether the problem is a reference to a declaration that itself has problems."""
        item = getattr(fleet, problem.section)[problem.name]
        for reference in REFERENCES:
            if (reference.section, reference.field) == (problem.section, problem.field):
                return (reference.target, getattr(item, reference.field)) in self._sources
        return False


def _compose(file: Path) -> Result[yaml.Node | None, LoadProblem]:
    try:
        return Ok(yaml.compose(file.read_text(encoding="utf-8"), Loader=_YAML_LOADER))
    except OSError as exc:
        return Err(_file_problem(file, f"cannot be read: {exc.strerror}"))
    except UnicodeDecodeError:
        return Err(_file_problem(file, "is not UTF-8 text"))
    except RecursionError:
        return Err(_file_problem(file, "is nested too deeply"))
    except yaml.MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        detail = f"malformed YAML: {exc.problem or exc.context}"
        return Err(_file_problem(file, detail, mark.line + 1 if mark else 0))
    except yaml.YAMLError as exc:
        return Err(_file_problem(file, f"malformed YAML: {exc}"))


class _FileReader:
    """Converts the YAML nodes of one file to Python values and records the line of each field."""

    def __init__(self, file: Path, problems: list[LoadProblem]) -> None:
        self._file = str(file)
        self._problems = problems
        self._section = ""
        self._name = ""
        self._seen: set[int] = set()

    def declarations(self, root: yaml.Node | None) -> Iterator[tuple[str, str, _SourceMap, Any]]:
        """Yield the section, name, source map and value of each declaration."""
        if root is None or root.tag == _NULL_TAG:
            return
        for section, key, node in self._entries(root, "sections"):
            self._section, self._name = section, ""
            if section not in SECTIONS:
                self._problem(key, "", unknown_name_message("section", section, SECTIONS))
            elif node.tag != _NULL_TAG:
                yield from self._section_items(section, node)

    def _section_items(
        self, section: str, node: yaml.Node
    ) -> Iterator[tuple[str, str, _SourceMap, Any]]:
        for name, key, value in self._entries(node, "names"):
            self._name = name
            source = _SourceMap(self._file, {"": key.start_mark.line + 1})
            yield section, name, source, self._plain(value, "", source)
            self._name = ""

    def _problem(self, node: yaml.Node, path: str, detail: str) -> None:
        line = node.start_mark.line + 1
        self._problems.append(
            LoadProblem(self._file, line, self._section, self._name, path, detail)
        )

    def _entries(
        self, node: yaml.Node, what: str, path: str = ""
    ) -> Iterator[tuple[str, yaml.Node, yaml.Node]]:
        """Yield key text, key node and value node; report duplicate and non-text keys."""
        if not isinstance(node, yaml.MappingNode):
            self._problem(node, path, f"expected a mapping of {what}, got {_node_kind(node)}")
            return
        first: dict[str, yaml.Node] = {}
        for key, value in node.value:
            text = key.value
            if not isinstance(key, yaml.ScalarNode):
                self._problem(key, path, f"expected a key, got {_node_kind(key)}")
            elif text in first:
                line = first[text].start_mark.line + 1
                self._problem(key, path, f"duplicate key {text!r}, first given in line {line}")
            else:
                first[text] = key
                yield text, key, value

    def _plain(self, node: yaml.Node, path: str, source: _SourceMap) -> Any:
        source.lines.setdefault(path, node.start_mark.line + 1)
        # Aliases are refused because they could expand a small file to any size.
        if id(node) in self._seen:
            detail = "YAML aliases are not supported; repeat the value"
            return self._unreadable(node, path, source, detail)
        self._seen.add(id(node))
        if isinstance(node, yaml.ScalarNode):
            return self._scalar(node, path, source)
        if node.tag not in _COLLECTION_TAGS:
            return self._unreadable(node, path, source, _unsupported_tag(node))
        if isinstance(node, yaml.SequenceNode):
            return self._list(node, path, source)
        return self._mapping(node, path, source)

    def _list(self, node: yaml.SequenceNode, path: str, source: _SourceMap) -> list[Any]:
        return [
            self._plain(item, f"{path}[{index}]", source) for index, item in enumerate(node.value)
        ]

    def _mapping(self, node: yaml.MappingNode, path: str, source: _SourceMap) -> dict[str, Any]:
        values = {}
        for field, key, value in self._entries(node, "fields", path):
            field_path = f"{path}.{field}" if path else field
            source.lines[field_path] = key.start_mark.line + 1
            values[field] = self._plain(value, field_path, source)
        return values

    def _unreadable(self, node: yaml.Node, path: str, source: _SourceMap, detail: str) -> None:
        source.unreadable.add(path)
        self._problem(node, path, detail)

    def _scalar(self, node: yaml.ScalarNode, path: str, source: _SourceMap) -> Any:
        if node.tag in _TEXT_TAGS:
            return node.value
        construct = _SCALARS.get(node.tag)
        if construct is None:
            return self._unreadable(node, path, source, _unsupported_tag(node))
        return construct(node.value)


def _unsupported_tag(node: yaml.Node) -> str:
    return f"the YAML tag {node.tag!r} is not supported"


def _node_kind(node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return describe_value(None if node.tag == _NULL_TAG else node.value)
    return describe_value([] if isinstance(node, yaml.SequenceNode) else {})


def _integer(text: str) -> int | str:
    return int(text) if _DECIMAL.fullmatch(text) and len(text) < 100 else text


def _number(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text


_SCALARS: dict[str, Any] = {
    "tag:yaml.org,2002:int": _integer,
    "tag:yaml.org,2002:float": _number,
    "tag:yaml.org,2002:bool": lambda text: text.lower() in _TRUE,
    _NULL_TAG: lambda _: None,
}
