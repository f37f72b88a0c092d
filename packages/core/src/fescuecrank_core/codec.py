"""CBOR encoding of attrs classes.

A value is encoded as the array `[tag, fields]`. The tag is the class name, which must be in the
registry, so that received bytes can only create instances of known classes.
"""

import inspect
from typing import Any

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter
from result import Err, Ok, Result

from fescuecrank_core import declarations, ledger_state, messages, records, requests
from fescuecrank_core.errors import Failure, FailureKind

_converter = make_converter()


def _classes(module: Any) -> dict[str, type]:
    found = inspect.getmembers(module, inspect.isclass)
    return {
        name: cls for name, cls in found if attrs.has(cls) and cls.__module__ == module.__name__
    }


REGISTRY: dict[str, type] = {}
for _module in (declarations, records, requests, messages, ledger_state):
    REGISTRY.update(_classes(_module))


def encode(value: Any) -> bytes:
    """Return the CBOR bytes of an instance of a registered class."""
    return cbor2.dumps(_to_tagged(value))


def decode(data: bytes, expected: type, step: str, peer: str) -> Result[Any, Failure]:
    """Return the instance in `data`, which must be of class `expected` or a subclass."""
    try:
        value = _from_tagged(cbor2.loads(data))
    except Exception as exc:
        detail = f"malformed data: {exc.__class__.__name__}"
        return Err(Failure(FailureKind.INVALID, step, peer, detail))
    if not isinstance(value, expected):
        detail = f"expected {expected.__name__}, got {type(value).__name__}"
        return Err(Failure(FailureKind.INVALID, step, peer, detail))
    return Ok(value)


def _to_tagged(value: Any) -> list:
    return [type(value).__name__, _converter.unstructure(value)]


def _from_tagged(tagged: list) -> Any:
    tag, fields = tagged
    return _converter.structure(fields, REGISTRY[tag])


def _is_record_base(cls: Any) -> bool:
    return cls is records.Record


# A field declared as `Record` may hold any subclass, so its value is encoded with a tag.
_converter.register_unstructure_hook_func(_is_record_base, _to_tagged)
_converter.register_structure_hook_func(_is_record_base, lambda tagged, _: _from_tagged(tagged))
