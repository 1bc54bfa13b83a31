"""Generates docs/CONFIGURATION.md from the models: ``python -m magnoliarouter.manual``.

The models are the structs of settings and of platform objects. The meaning of a field comes from
its model's docstring; type, default and bounds come from the model itself.
"""

from __future__ import annotations

import inspect
import re
from typing import Any

import msgspec
from msgspec import inspect as types

from magnoliarouter.cli.desk import CliSettings
from magnoliarouter.core.contract import Limits
from magnoliarouter.daemon.settings import Address, EndpointSettings, EntrySettings
from magnoliarouter.gateway.settings import GatewayBounds, GatewaySettings
from magnoliarouter.store.objects import MODELS_BY_KIND, LimitsSpec, RevisionSpec

__all__ = ["describe_fields", "find_unit", "render_manual"]

FIELD_UNITS = {
    "concurrent_requests": "requests",
    "experts": "experts a layer",
    "retry_ratio": "repeats a request",
    "retry_slack": "repeats a window",
    "cold_over": "times the tolerated rate",
    "cold_slack": "requests",
    "max_descriptors": "descriptors",
    "extra_load": "requests a slot",
    "layers": "layers",
    "number": "revisions",
    "claim_calls_per_second": "calls/s",
    "platform_calls_per_second": "calls/s",
    "port": "port number",
    "priority": "rank, 0 is served first",
    "queue_length": "requests",
    "skew": "ratio",
    "layer_slots": "experts of a layer",
    "slots": "requests",
    "quota_slots_per_zone": "home slots",
    "store_bytes_per_second": "bytes/s",
    "tokens_per_request": "tokens",
    "version": "map version",
    "weight": "ratio",
}
# Units of numeric fields whose names end with the unit.
UNIT_SUFFIXES = {
    "_mb": "MB",
    "_bytes": "bytes",
    "_mbps": "Mbit/s",
    "_ms": "ms",
    "_s": "s",
    "_seconds": "s",
    "_share": "share of 1",
}
NUMERIC_TYPES = types.IntType | types.FloatType
RATE_FIELD = re.compile(r"^(?P<unit>\w+)_per_second$")
# Models whose fields are described in several docstrings; the first class takes precedence.
FIELD_DOC_CLASSES: dict[type, tuple[type, ...]] = {
    LimitsSpec: (LimitsSpec, Limits),
    EndpointSettings: (EndpointSettings, EntrySettings),
}
FIELD_ENTRY = re.compile(r"^(?P<names>\w+(?:, \w+)*) : .+$")
INTRODUCTION = """# Configuration

Written by `python -m magnoliarouter.manual` from the models in the code; a test compares the two.
Settings are JSON files, read once at the start; `magnoliarouterd FILE --check` checks one.
Objects are JSON values in the platform; `magnoliactl` writes them, and every daemon checks them
again. An unknown field is refused everywhere.
"""


def render_manual() -> str:
    """Return the text of docs/CONFIGURATION.md."""
    sections = [
        INTRODUCTION,
        _render_section('Settings of an entry daemon (`"role": "entry"`)', EntrySettings),
        _render_section('Settings of an endpoint daemon (`"role": "endpoint"`)', EndpointSettings),
        _render_section("Address in settings", Address),
        _render_section("Settings of a gateway daemon", GatewaySettings),
        _render_section("What operators were promised: `bounds`", GatewayBounds),
        _render_section("Settings of `magnoliactl`", CliSettings),
        _render_section("Limit set within a contract", LimitsSpec),
        _render_section("Revision within a contract", RevisionSpec),
    ]
    sections += [
        _render_section(f"Object `{kind}`", model) for kind, model in sorted(MODELS_BY_KIND.items())
    ]
    return "\n".join(sections)


def find_unit(name: str) -> str:
    """Return the unit of a numeric field, or an empty string if it is unknown.

    Examples
    --------
    >>> find_unit("tokens_per_second"), find_unit("burst_seconds"), find_unit("weight")
    ('tokens/s', 's', 'ratio')
    """
    if name in FIELD_UNITS:
        return FIELD_UNITS[name]
    if rate := RATE_FIELD.match(name):
        return f"{rate['unit']}/s"
    return next((unit for end, unit in UNIT_SUFFIXES.items() if name.endswith(end)), "")


def describe_fields(model: type[msgspec.Struct]) -> dict[str, str]:
    """Return the meaning of each field described in the docstrings of a model.

    Examples
    --------
    >>> describe_fields(Address)["port"]
    'Port to listen on; 0 selects a free port.'
    """
    meanings: dict[str, str] = {}
    for source in reversed(FIELD_DOC_CLASSES.get(model, (model,))):
        meanings |= _parse_parameters(inspect.cleandoc(source.__doc__ or ""))
    return meanings


def _parse_parameters(text: str) -> dict[str, str]:
    meanings: dict[str, str] = {}
    names: list[str] = []
    for line in text.partition("Parameters\n----------\n")[2].splitlines():
        entry = FIELD_ENTRY.match(line)
        if entry:
            names = entry["names"].split(", ")
        elif line.startswith("    "):
            for name in names:
                meanings[name] = f"{meanings.get(name, '')} {line.strip()}".strip()
        elif line:
            break
    return meanings


def _render_section(title: str, model: type[msgspec.Struct]) -> str:
    meanings = describe_fields(model)
    summary = inspect.cleandoc(model.__doc__ or "").partition("\n")[0]
    lines = [f"## {title}\n", f"{summary}\n", "| field | type | unit | default | meaning |"]
    lines.append("|---|---|---|---|---|")
    for field in types.type_info(model).fields:
        cells = (
            f"`{field.name}`",
            _format_type(field.type),
            find_unit(field.name) if isinstance(field.type, NUMERIC_TYPES) else "",
            _format_default(field),
            meanings.get(field.name, ""),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _format_default(field: types.Field) -> str:
    if field.required:
        return "required"
    default = field.default
    if field.default_factory is not msgspec.NODEFAULT:
        default = field.default_factory()
    return f"`{msgspec.json.encode(default).decode()}`"


def _format_type(kind: Any) -> str:
    match kind:
        case types.IntType() | types.FloatType():
            name = "integer" if isinstance(kind, types.IntType) else "number"
            bounds = ((">=", kind.ge), (">", kind.gt), ("<=", kind.le), ("<", kind.lt))
            shown = [f"{sign} {value:g}" for sign, value in bounds if value is not None]
            return " ".join([name, ", ".join(shown)]).strip()
        case types.StrType(pattern=str(pattern)):
            return f"string matching `{pattern}`".replace("|", "\\|")
        case types.StrType(min_length=int(length)):
            return f"string of {length} or more characters"
        case types.StrType(max_length=int(length)):
            return f"string of at most {length} characters"
        case types.StrType():
            return "string"
        case types.BoolType():
            return "true or false"
        case types.LiteralType(values=values):
            return " or ".join(f'`"{value}"`' for value in values)
        case types.VarTupleType(item_type=item) | types.ListType(item_type=item):
            return f"list of {_format_type(item)}"
        case types.DictType(key_type=key, value_type=value):
            return f"object from {_format_type(key)} to {_format_type(value)}"
        case types.StructType(cls=cls):
            return cls.__name__
        case types.UnionType(types=members):
            return " or ".join(map(_format_type, members))
        case types.NoneType():
            return "null"
    return "any JSON value"


if __name__ == "__main__":
    print(render_manual(), end="")
