"""Checks of values that other processes write: type, range and form.

A value that passes fits into a record, a request and a sum. Each check returns the value, or raises
`ValueError` with a description of bounded size.
"""

import re
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

T = TypeVar("T")

# Largest amount of a resource and largest count: no machine is as large. The sum over 100,000
# machines fits into the 64 bits of an integer in a record.
MAX_AMOUNT = 10**9

# Largest time or clock reading in ms, about 3,000 years.
MAX_TIME_MS = 10**14

# Largest counter: JSON readers that use floating-point numbers keep integers up to here exact.
MAX_COUNTER = 2**53 - 1

# Most tasks of a job over all occurrences; the progress of this many fits into one record.
MAX_TASKS = 3_000

# Longest name in bytes, which is the longest key of a record in the store.
MAX_NAME_BYTES = 255

# Longest string in bytes, which is the longest `spec` of a job.
MAX_TEXT_BYTES = 4_000

# Most elements of a list that belongs to one worker or machine; a worker has two labels.
MAX_LABELS = 64

# Ports of TCP; nothing listens on port 0.
MAX_PORT = 65_535

# Host names as in RFC 1123, with the underscore, and IPv4 addresses.
ADDRESS_PATTERN = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]{0,252}):([0-9]{1,5})")

PORT_PATTERN = re.compile(r"[0-9]{1,5}")

# Characters that may stand in the value of an HTTP header without quoting.
TOKEN_PATTERN = re.compile(r"[!-~]+")

# Characters of a rejected value that are shown.
MAX_SHOWN = 60


class FieldError(ValueError):
    """A field is missing, or has a value that cannot be used."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"field {field}: {detail}")
        self.field = field


def describe(value: Any) -> str:
    """Return a short description; that of a container has only its type and size.

    The representation of deeply nested containers exceeds the recursion limit.
    """
    if isinstance(value, str | bytes):
        return repr(value[:MAX_SHOWN])
    if isinstance(value, list | tuple | dict):
        return f"a {type(value).__name__} of {len(value)}"
    if isinstance(value, int) and value.bit_length() > 8 * MAX_SHOWN:
        return f"an integer of {value.bit_length()} bits"
    return repr(value)[:MAX_SHOWN]


def whole_number(value: Any, least: int = 0, limit: int = MAX_TIME_MS) -> int:
    """Return a whole number from `least` to `limit`."""
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= limit:
        raise ValueError(f"must be a whole number from {least} to {limit}, is {describe(value)}")
    return value


def signed_number(value: Any) -> int:
    """Return a whole number of either sign, such as a reading of a clock."""
    return whole_number(value, -MAX_TIME_MS, MAX_TIME_MS)


def counter(value: Any) -> int:
    """Return the value of a counter, such as an epoch."""
    return whole_number(value, 0, MAX_COUNTER)


def amount(value: Any) -> int:
    """Return an amount of a resource, or a count."""
    return whole_number(value, 0, MAX_AMOUNT)


def number(value: Any, least: float = 0, limit: float = MAX_TIME_MS) -> Any:
    """Return a finite number from `least` to `limit`."""
    valid = isinstance(value, int | float) and not isinstance(value, bool)
    if not valid or not least <= value <= limit:
        raise ValueError(f"must be a number from {least} to {limit}, is {describe(value)}")
    return value


def text(value: Any, limit: int = MAX_TEXT_BYTES) -> str:
    """Return a string that UTF-8 can encode, of at most `limit` bytes."""
    if not isinstance(value, str):
        raise ValueError(f"must be a string, is {describe(value)}")
    # A lone surrogate raises `UnicodeEncodeError`, which is a `ValueError`.
    if len(value) > limit or len(value.encode()) > limit:
        raise ValueError(f"must be a string of at most {limit} bytes, is {describe(value)}")
    return value


def name(value: Any) -> str:
    """Return a string of at most the length of a key; it may be empty."""
    return text(value, MAX_NAME_BYTES)


def optional_token(value: Any) -> str:
    """Return a token, or the empty string."""
    return token(value) if value != "" else value


def required_name(value: Any) -> str:
    """Return a name that is not empty."""
    if not name(value):
        raise ValueError("must not be empty")
    return value


def header_value(value: Any) -> str:
    """Return a name that can be sent as the value of an HTTP header; it may contain spaces."""
    if not required_name(value).isascii() or not value.isprintable():
        raise ValueError(f"must be of printable ASCII characters, is {describe(value)}")
    return value


def token(value: Any) -> str:
    """Return a name that can be sent as the value of an HTTP header."""
    if not TOKEN_PATTERN.fullmatch(name(value)):
        raise ValueError(f"must be of visible ASCII characters, is {describe(value)}")
    return value


def is_address(value: str) -> bool:
    """Return whether a string has the form `host:port`."""
    match = ADDRESS_PATTERN.fullmatch(value)
    return match is not None and 1 <= int(match[2]) <= MAX_PORT


def address(value: Any) -> str:
    """Return an address of the form `host:port`."""
    if not is_address(text(value)):
        raise ValueError(f"must be host:port with a port to {MAX_PORT}, is {describe(value)}")
    return value


def listen_address(value: Any) -> str:
    """Return an address to listen on: a host, which may be empty, and a port; 0 is any port."""
    _, separator, port = text(value).rpartition(":")
    if not separator or not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f"must be host:port with a port to {MAX_PORT}, is {describe(value)}")
    return value


def elements(value: Any, check: Callable[[Any], T], limit: int | None = None) -> tuple[T, ...]:
    """Return the checked elements of a list of at most `limit`."""
    if not isinstance(value, list) or (limit is not None and len(value) > limit):
        longest = f"of at most {limit}" if limit is not None else "of any length"
        raise ValueError(f"must be a list {longest}, is {describe(value)}")
    return tuple(check(element) for element in value)


def flag(value: Any) -> bool:
    """Return a truth value."""
    if not isinstance(value, bool):
        raise ValueError(f"must be true or false, is {describe(value)}")
    return value


def row(
    value: Any, checks: Sequence[Callable[[Any], Any]], least: int = 0, extensible: bool = False
) -> list[Any]:
    """Return the checked cells of a row; those from the number `least` on may be missing.

    Further cells than checks are left out if the row is extensible, and are an error otherwise.
    """
    longest = "any number" if extensible else len(checks)
    too_long = isinstance(value, list) and len(value) > len(checks) and not extensible
    if not isinstance(value, list) or len(value) < least or too_long:
        raise ValueError(f"must be a row of {least} to {longest}, is {describe(value)}")
    return [check(cell) for check, cell in zip(checks, value, strict=False)]


def table(value: Any, check: Callable[[Any], T]) -> dict[str, T]:
    """Return an object with names as keys and checked values."""
    return {name(key): check(each) for key, each in mapping(value).items()}


def mapping(value: Any) -> dict[str, Any]:
    """Return an object."""
    if not isinstance(value, dict):
        raise ValueError(f"must be an object, is {describe(value)}")
    return value


class FieldReader:
    """Checked access to the fields of an object; raises `FieldError` for an invalid one."""

    def __init__(self, document: Any) -> None:
        self._fields = mapping(document)

    def read(self, field: str, check: Callable[[Any], T], *default: T) -> T:
        """Return the checked value of a field; if it is missing, `default` if that is given."""
        if field not in self._fields:
            if default:
                return default[0]
            raise FieldError(field, "is missing")
        try:
            return check(self._fields[field])
        except ValueError as exc:
            raise FieldError(field, str(exc)) from exc

    def optional(self, field: str, check: Callable[[Any], T], default: T) -> T:
        """Return the checked value of a field that may be missing, or null."""
        return default if self._fields.get(field) is None else self.read(field, check)
