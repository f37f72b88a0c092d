"""Writes results as tables for people or as JSON for programs."""

import enum
import json
from collections.abc import Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.markup import escape
from rich.table import Table


class OutputFormat(enum.StrEnum):
    """Format in which results are written to standard output."""

    TABLE = "table"
    JSON = "json"


def write(value: Mapping[str, Any], output: OutputFormat) -> None:
    """Write one result to standard output."""
    if output is OutputFormat.JSON:
        print(json.dumps(value, indent=2, default=str))
        return
    console = Console(soft_wrap=True)
    scalars = {key: item for key, item in value.items() if not _is_nested(item)}
    if scalars:
        console.print(_pairs_table("", scalars))
    for key, item in value.items():
        if _is_nested(item):
            console.print(_nested_table(key, item))


def _is_nested(item: Any) -> bool:
    if isinstance(item, Mapping):
        return bool(item)
    return isinstance(item, list | tuple) and any(isinstance(row, Mapping) for row in item)


def _nested_table(title: str, item: Any) -> Table:
    if isinstance(item, Mapping):
        rows = list(item.values())
        if all(isinstance(row, Mapping) for row in rows):
            return _rows_table(title, [{"name": name, **row} for name, row in item.items()])
        return _pairs_table(title, item)
    return _rows_table(title, [row if isinstance(row, Mapping) else {"value": row} for row in item])


def _pairs_table(title: str, item: Mapping[str, Any]) -> Table:
    table = Table(title=escape(title), show_header=False, title_justify="left")
    for key, value in item.items():
        table.add_row(escape(str(key)), _cell_text(value))
    return table


def _rows_table(title: str, rows: Sequence[Mapping[str, Any]]) -> Table:
    columns = list(dict.fromkeys(key for row in rows for key in row))
    table = Table(*map(escape, columns), title=escape(title), title_justify="left")
    for row in rows:
        table.add_row(*(_cell_text(row.get(column, "")) for column in columns))
    return table


def _cell_text(item: Any) -> str:
    if isinstance(item, list | tuple):
        return escape(", ".join(map(str, item)))
    if isinstance(item, Mapping):
        return escape(json.dumps(item, default=str))
    return escape(str(item))
