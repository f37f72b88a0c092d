"""Builds attrs objects from plain YAML or JSON values, checked by the metadata of the fields."""

import enum
import math
import types
import typing
from typing import Any

import attrs
from fescuecrank_core.declarations import METADATA_KEY, FieldInfo
from result import Err, Ok, Result


@attrs.frozen
class FieldProblem:
    """Problem with one field; `path` is dotted, such as `peers.address`."""

    path: str
    detail: str

    def __str__(self) -> str:
        return f"{self.path or '(top level)'}: {self.detail}"


def build_object(cls: type, plain: Any, path: str = "") -> Result[Any, list[FieldProblem]]:
    """Build an instance of `cls` from a decoded mapping, or return all problems with it."""
    problems: list[FieldProblem] = []
    value = _build_object(cls, plain, path, problems)
    return Err(problems) if problems else Ok(value)


def _build_object(cls: type, plain: Any, path: str, problems: list[FieldProblem]) -> Any:
    if not isinstance(plain, dict):
        problems.append(FieldProblem(path, "expected a mapping"))
        return None
    attrs.resolve_types(cls)
    fields = {field.name: field for field in attrs.fields(cls)}
    previous_count = len(problems)
    for key in plain:
        if key not in fields:
            problems.append(FieldProblem(_join_path(path, str(key)), "unknown field"))
    values = {}
    for name, field in fields.items():
        if name in plain:
            values[name] = _build_field(field, plain[name], _join_path(path, name), problems)
        elif field.default is attrs.NOTHING:
            problems.append(FieldProblem(_join_path(path, name), "required field is missing"))
    return cls(**values) if len(problems) == previous_count else None


def _build_field(
    field: attrs.Attribute, plain: Any, path: str, problems: list[FieldProblem]
) -> Any:
    value = _build_value(field.type, plain, path, problems)
    info: FieldInfo | None = field.metadata.get(METADATA_KEY)
    if info is not None and isinstance(value, int | float) and not isinstance(value, bool):
        _check_range(value, info, path, problems)
    return value


def _check_range(value: float, info: FieldInfo, path: str, problems: list[FieldProblem]) -> None:
    unit = f" {info.unit}" if info.unit else ""
    if isinstance(value, float) and not math.isfinite(value):
        problems.append(FieldProblem(path, "must be a finite number"))
    elif info.minimum is not None and value < info.minimum:
        problems.append(FieldProblem(path, f"must be at least {info.minimum:g}{unit}"))
    elif info.maximum is not None and value > info.maximum:
        problems.append(FieldProblem(path, f"must be at most {info.maximum:g}{unit}"))


def _build_value(annotation: Any, plain: Any, path: str, problems: list[FieldProblem]) -> Any:
    origin = typing.get_origin(annotation)
    if origin is types.UnionType:
        inner = next(arg for arg in typing.get_args(annotation) if arg is not type(None))
        return None if plain is None else _build_value(inner, plain, path, problems)
    if origin is tuple:
        return _build_tuple(typing.get_args(annotation)[0], plain, path, problems)
    if origin is dict:
        return _build_dict(typing.get_args(annotation)[1], plain, path, problems)
    if attrs.has(annotation):
        return _build_object(annotation, plain, path, problems)
    return _build_scalar(annotation, plain, path, problems)


def _build_tuple(annotation: Any, plain: Any, path: str, problems: list[FieldProblem]) -> Any:
    if not isinstance(plain, list):
        problems.append(FieldProblem(path, "expected a list"))
        return None
    return tuple(
        _build_value(annotation, item, f"{path}[{index}]", problems)
        for index, item in enumerate(plain)
    )


def _build_dict(annotation: Any, plain: Any, path: str, problems: list[FieldProblem]) -> Any:
    if not isinstance(plain, dict):
        problems.append(FieldProblem(path, "expected a mapping"))
        return None
    return {
        str(key): _build_value(annotation, item, _join_path(path, str(key)), problems)
        for key, item in plain.items()
    }


# Messages never include the value, as it may be a secret.
def _build_scalar(annotation: type, plain: Any, path: str, problems: list[FieldProblem]) -> Any:
    if issubclass(annotation, enum.Enum):
        choices = [member.value for member in annotation]
        if plain in choices:
            return annotation(plain)
        problems.append(FieldProblem(path, f"must be one of {', '.join(choices)}"))
    elif annotation is float and isinstance(plain, int | float) and not isinstance(plain, bool):
        return float(plain)
    elif isinstance(plain, annotation) and not (annotation is int and isinstance(plain, bool)):
        return plain
    else:
        problems.append(FieldProblem(path, f"expected {TYPE_NAMES[annotation]}"))
    return None


TYPE_NAMES = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
