"""Writes docs/reference/settings.md and gateway-settings.md from their schemas."""

import json
import pathlib

import msgspec

from acaciaward import shipped
from acaciaward.gateway import settings as gateway_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
REFERENCE = ROOT / "docs/reference/settings.md"
GATEWAY_REFERENCE = ROOT / "docs/reference/gateway-settings.md"
HEAD = """# Settings

One JSON file for each entry. Keys without a default are required. Every key is
checked when the file is read: `acaciaward settings check FILE`. Units stand in
the names: `_s` is seconds, `_bytes` bytes. Addresses are IP numbers.

This page is written by `python -m script.settings_reference`.

"""

GATEWAY_HEAD = """# Settings of the gateway

What `acaciaward gateway` reads out of the platform's settings file, under the project's
own names; `acaciaward gateway --check` shows them for a file. Keys without a default
must come from the platform. Units stand in the names: `_s` is seconds.

This page is written by `python -m script.settings_reference`.

"""


def list_settings(schema: dict, defaults: dict, prefix: str = "") -> list[str]:
    """Return one line for each key, each group before its members."""
    lines = []
    for name, part in schema.get("properties", {}).items():
        path = f"{prefix}{name}"
        default = defaults.get(name) if isinstance(defaults, dict) else None
        has_default = isinstance(defaults, dict) and name in defaults
        if "properties" in part and default is not None:
            note = ""
        else:
            note = f" Default: `{json.dumps(default)}`." if has_default else ""
        lines.append(f"- `{path}`: {part['description']}{note}")
        lines += list_settings(part, default or {}, f"{path}.")
    return lines


def _inline_references(schema: dict) -> dict:
    """Return msgspec's schema with each ``$ref`` replaced by the group it refers to."""
    groups = schema["$defs"]

    def replace(part: dict) -> dict:
        if "$ref" in part:
            group = groups[part["$ref"].rpartition("/")[2]]
            part = {**group, **part}
        properties = part.get("properties")
        if properties is None:
            return part
        inlined = {name: replace(member) for name, member in properties.items()}
        return {**part, "properties": inlined}

    return replace(schema)


def describe(package: str, head: str) -> str:
    """Return the page of a package's settings, with their defaults."""
    if package == gateway_settings.PACKAGE:
        schema = _inline_references(msgspec.json.schema(gateway_settings.Settings))
    else:
        schema = shipped.read(package, "schema.json")
    defaults = shipped.read(package, "defaults.json")
    return head + "\n".join(list_settings(schema, defaults)) + "\n"


def main() -> None:
    """Write the pages."""
    REFERENCE.write_text(describe("acaciaward.settings", HEAD))
    GATEWAY_REFERENCE.write_text(describe("acaciaward.gateway", GATEWAY_HEAD))


if __name__ == "__main__":
    main()
