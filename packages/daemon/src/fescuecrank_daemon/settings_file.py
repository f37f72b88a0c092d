"""Reads `Settings` from YAML files and reports every problem with file, line and field."""

from pathlib import Path
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from fescuecrank_daemon.settings import Settings
from fescuecrank_daemon.settings_rules import check_settings
from fescuecrank_daemon.validation import FieldProblem, build_object


@attrs.frozen
class SettingsProblem:
    """One thing that is wrong in a settings file; `line` counts from 1."""

    file: str
    line: int
    field: str
    detail: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field or '(top level)'}: {self.detail}"


def load_settings(path: Path) -> Result[Settings, list[SettingsProblem]]:
    """Read and check the settings file at `path`."""
    reader = _YamlReader()
    try:
        plain = reader.read(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Err([SettingsProblem(str(path), 1, "", f"cannot be read: {_read_error(exc)}")])
    except yaml.YAMLError as exc:
        return Err([_yaml_problem(path, exc)])
    if reader.problems:
        return Err([reader.locate(path, problem) for problem in reader.problems])
    built = build_object(Settings, plain)
    problems = built.err_value if built.is_err() else check_settings(built.ok_value)
    if problems:
        return Err([reader.locate(path, problem) for problem in problems])
    return Ok(built.ok_value)


def _read_error(exc: Exception) -> str:
    return getattr(exc, "strerror", None) or "not UTF-8 text"


def _yaml_problem(path: Path, exc: yaml.YAMLError) -> SettingsProblem:
    mark = getattr(exc, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    return SettingsProblem(str(path), line, "", getattr(exc, "problem", None) or "not YAML")


class _YamlReader:
    """Converts YAML nodes to plain values and records the line of each field."""

    def __init__(self) -> None:
        self._lines: dict[str, int] = {"": 1}
        self.problems: list[FieldProblem] = []

    def read(self, text: str) -> Any:
        loader = yaml.SafeLoader(text)
        try:
            node = loader.get_single_node()
            return None if node is None else self._convert(loader, node, "")
        finally:
            loader.dispose()

    def locate(self, path: Path, problem: FieldProblem) -> SettingsProblem:
        """Add the line of a problem's field, or of the closest enclosing field that is present."""
        field = problem.path
        while field not in self._lines:
            end = max(field.rfind("."), field.rfind("["))
            field = field[: max(end, 0)]
        return SettingsProblem(str(path), self._lines[field], problem.path, problem.detail)

    def _convert(self, loader: yaml.SafeLoader, node: yaml.Node, path: str) -> Any:
        self._lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(loader, node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self._convert(loader, item, f"{path}[{index}]")
                for index, item in enumerate(node.value)
            ]
        return loader.construct_object(node)

    def _convert_mapping(self, loader: yaml.SafeLoader, node: yaml.MappingNode, path: str) -> dict:
        values: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            field = f"{path}.{key}" if path else key
            self._lines[field] = key_node.start_mark.line + 1
            if key in values:
                self.problems.append(FieldProblem(field, "given twice"))
            values[key] = self._convert(loader, value_node, field)
        return values
