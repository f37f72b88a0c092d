"""Converts decoded JSON or YAML values to declarations and back.

All checks that need no other declaration are made here. The rules come from the types of the attrs
fields and their `FieldInfo`.
"""

import datetime
import difflib
import functools
import math
import re
import typing
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from fescuecrank_core.declarations import (
    METADATA_KEY,
    SECTIONS,
    Declaration,
    FieldInfo,
    Period,
    Pool,
    Problem,
)

# Names are parts of URL paths and of cell ids such as `<region>/<pool>`.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_RULE = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
RANGE_PATTERN = re.compile(r"([^\[\]]*)\[([0-9]+)-([0-9]+)\]([^\[\]]*)")
DATE_PATTERN = re.compile(r"[0-9]{4}-[0-9]{2}-[0-9]{2}")

# Equals the maximum of the instance counts in profiles and pools.
MAX_RANGE = 100_000

_INVALID: Any = object()


@attrs.frozen
class FieldSpec:
    """One field of a declaration class; `default` is `attrs.NOTHING` if the field is required."""

    name: str
    type: Any
    info: FieldInfo
    default: Any

    @property
    def required(self) -> bool:
        """Whether a declaration must contain this field."""
        return self.default is attrs.NOTHING


@functools.cache
def field_specs(cls: type) -> tuple[FieldSpec, ...]:
    """Return the fields of an attrs class with their metadata, in order."""
    attrs.resolve_types(cls)
    return tuple(_field_spec(field) for field in attrs.fields(cls))


def _field_spec(field: attrs.Attribute) -> FieldSpec:
    default = field.default
    if isinstance(default, attrs.Factory):
        default = default.factory()
    info = field.metadata.get(METADATA_KEY, FieldInfo(""))
    return FieldSpec(field.name, field.type, info, default)


def declaration_from_plain(
    section: str, name: str, value: Any
) -> Result[Declaration, list[Problem]]:
    """Return the declaration that a decoded JSON or YAML value describes, or all its problems.

    `value` may omit the name; otherwise its name must equal `name`. References to other
    declarations are checked by `declarations.check_fleet`.
    """
    cls = SECTIONS.get(section)
    if cls is None:
        return Err([Problem(section, name, "", unknown_name_message("section", section, SECTIONS))])
    decoder = _Decoder(section, name)
    declaration = decoder.declaration(cls, value)
    return Err(decoder.problems) if decoder.problems else Ok(declaration)


def declaration_to_plain(declaration: Declaration) -> dict[str, Any]:
    """Return the JSON-compatible value from which `declaration_from_plain` returns an equal one."""
    return attrs.asdict(declaration, value_serializer=_tuples_as_lists)


def _tuples_as_lists(_: Any, __: Any, value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


def expand_range(text: str) -> Result[list[str], str]:
    """Return the names that `name-[1-6]` stands for, or `text` alone if it holds no range.

    All numbers are padded with zeros to the width of the first one: `r[08-10]` starts with `r08`.
    """
    if "[" not in text and "]" not in text:
        return Ok([text])
    match = RANGE_PATTERN.fullmatch(text)
    if match is None:
        return Err(f"{text!r} is not a name with one range such as 'name-[1-6]'")
    prefix, first, last, suffix = match.groups()
    if max(len(first), len(last)) > len(str(MAX_RANGE)):
        return Err(f"the numbers in {text!r} are too large")
    if int(first) > int(last):
        return Err(f"the range in {text!r} ends before it starts")
    if int(last) - int(first) >= MAX_RANGE:
        return Err(f"the range in {text!r} has more than {MAX_RANGE} names")
    numbers = range(int(first), int(last) + 1)
    return Ok([f"{prefix}{number:0{len(first)}d}{suffix}" for number in numbers])


def unknown_name_message(what: str, name: str, known: Iterable[str]) -> str:
    """Return the message for a name that is not in `known`, with the closest match as a hint."""
    close = difflib.get_close_matches(name, list(known), n=1)
    hint = f"; did you mean {close[0]!r}?" if close else ""
    return f"unknown {what} {name!r}{hint}"


def describe_value(value: Any) -> str:
    """Return a short description of a decoded value for error messages."""
    if value is None:
        return "nothing"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list | tuple):
        return "a list"
    if isinstance(value, str):
        return f"the text {_shortened(value)!r}"
    return f"the number {_shortened(str(value))}"


def _shortened(text: str) -> str:
    return text if len(text) <= 40 else text[:37] + "..."


class _Decoder:
    """Decodes one declaration and collects its problems."""

    def __init__(self, section: str, name: str) -> None:
        self._section = section
        self._name = name
        self.problems: list[Problem] = []

    def declaration(self, cls: type, value: Any) -> Any:
        if not NAME_PATTERN.fullmatch(self._name):
            return self._problem("name", f"a name must have {NAME_RULE}")
        if not isinstance(value, dict):
            return self._problem("", f"expected a mapping of fields, got {describe_value(value)}")
        given = value.get("name", self._name)
        if given != self._name:
            return self._problem("name", f"expected {self._name!r} or no name, got {given!r}")
        return self._object("", cls, {**value, "name": self._name})

    def _problem(self, path: str, detail: str) -> Any:
        self.problems.append(Problem(self._section, self._name, path, detail))
        return _INVALID

    def _object(self, path: str, cls: type, value: Any) -> Any:
        if not isinstance(value, dict):
            return self._problem(path, f"expected a mapping of fields, got {describe_value(value)}")
        specs = {spec.name: spec for spec in field_specs(cls)}
        before = len(self.problems)
        for key in value:
            if key not in specs:
                self._problem(_join(path, str(key)), unknown_name_message("field", str(key), specs))
        fields = {
            spec.name: self._field(cls, _join(path, spec.name), spec, value)
            for spec in specs.values()
        }
        if len(self.problems) > before:
            return _INVALID
        instance = cls(**fields)
        check = OBJECT_CHECKS.get(cls)
        problem = check(instance) if check else None
        return self._problem(_join(path, problem[0]), problem[1]) if problem else instance

    def _field(self, cls: type, path: str, spec: FieldSpec, value: dict[str, Any]) -> Any:
        if spec.name not in value:
            return self._problem(path, "is required") if spec.required else spec.default
        if (cls, spec.name) == (Pool, "workers"):
            return self._workers(path, value[spec.name])
        return self._value(path, spec, spec.type, value[spec.name])

    def _value(self, path: str, spec: FieldSpec, kind: Any, value: Any) -> Any:
        scalar = SCALARS.get(kind)
        if scalar is not None:
            result = scalar(spec, value)
            return result.ok_value if result.is_ok() else self._problem(path, result.err_value)
        if attrs.has(kind):
            return self._object(path, kind, value)
        return self._sequence(path, spec, typing.get_args(kind)[0], value)

    def _sequence(self, path: str, spec: FieldSpec, kind: Any, value: Any) -> Any:
        if not isinstance(value, list | tuple):
            return self._problem(path, f"expected a list, got {describe_value(value)}")
        return tuple(
            self._value(f"{path}[{index}]", spec, kind, item) for index, item in enumerate(value)
        )

    def _workers(self, path: str, value: Any) -> Any:
        if not isinstance(value, list | tuple):
            return self._problem(path, f"expected a list of names, got {describe_value(value)}")
        workers: list[str] = []
        for index, item in enumerate(value):
            self._add_workers(f"{path}[{index}]", item, workers)
        return tuple(workers)

    def _add_workers(self, path: str, item: Any, workers: list[str]) -> None:
        if not isinstance(item, str):
            self._problem(path, f"expected a name, got {describe_value(item)}")
            return
        names = expand_range(item)
        if names.is_err():
            self._problem(path, names.err_value)
            return
        # The last name of a range is the longest one, so checking it is enough.
        if not NAME_PATTERN.fullmatch(names.ok_value[-1]):
            self._problem(path, f"the name of a worker must have {NAME_RULE}")
            return
        workers.extend(names.ok_value)


def _join(path: str, field: str) -> str:
    return f"{path}.{field}" if path else field


def _string(spec: FieldSpec, value: Any) -> Result[str, str]:
    if not isinstance(value, str):
        hint = "; put it in quotes" if isinstance(value, bool | int | float) else ""
        return Err(f"expected text, got {describe_value(value)}{hint}")
    if spec.required and not value:
        return Err("must not be empty")
    if spec.info.unit == "date" and not _is_date(value):
        return Err(f"expected a date as YYYY-MM-DD, got {describe_value(value)}")
    return Ok(value)


def _is_date(text: str) -> bool:
    if not DATE_PATTERN.fullmatch(text):
        return False
    try:
        datetime.date.fromisoformat(text)
    except ValueError:
        return False
    return True


def _boolean(_: FieldSpec, value: Any) -> Result[bool, str]:
    if not isinstance(value, bool):
        return Err(f"expected true or false, got {describe_value(value)}")
    return Ok(value)


def _integer(spec: FieldSpec, value: Any) -> Result[int, str]:
    if isinstance(value, bool) or not isinstance(value, int):
        return Err(f"expected a whole number, got {describe_value(value)}")
    return _in_range(spec.info, value)


def _number(spec: FieldSpec, value: Any) -> Result[float, str]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return Err(f"expected a number, got {describe_value(value)}")
    # Python's JSON parser accepts NaN, which passes every comparison with a bound.
    if isinstance(value, float) and not math.isfinite(value):
        return Err(f"expected a finite number, got {value}")
    return _in_range(spec.info, value).map(float)


def _in_range(info: FieldInfo, value: float) -> Result[Any, str]:
    unit = f" {info.unit}" if info.unit else ""
    if info.minimum is not None and value < info.minimum:
        return Err(f"must be at least {info.minimum}{unit}, got {_shortened(str(value))}")
    if info.maximum is not None and value > info.maximum:
        return Err(f"must be at most {info.maximum}{unit}, got {_shortened(str(value))}")
    return Ok(value)


SCALARS: dict[Any, Callable[[FieldSpec, Any], Result[Any, str]]] = {
    str: _string,
    bool: _boolean,
    int: _integer,
    float: _number,
}


def _check_period(period: Period) -> tuple[str, str] | None:
    if period.last_day < period.first_day:
        return "last_day", f"{period.last_day} is before the first day, {period.first_day}"
    return None


# Checks between the fields of one class; each returns a field and a message, or None.
OBJECT_CHECKS: dict[type, Callable[[Any], tuple[str, str] | None]] = {Period: _check_period}
