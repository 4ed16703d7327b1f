"""Writes docs/reference/settings.md from the settings schema and the defaults."""

import json
import pathlib

from acaciaward import schemas

ROOT = pathlib.Path(__file__).resolve().parent.parent
REFERENCE = ROOT / "docs/reference/settings.md"
HEAD = """# Settings

One JSON file for each entry. Keys without a default are required. Every key is
checked when the file is read: `acaciaward settings check FILE`. Units stand in
the names: `_s` is seconds, `_bytes` bytes. Addresses are IP numbers.

This page is written by `python -m script.settings_reference`.

"""


def rows(schema: dict, defaults: dict, prefix: str = "") -> list[str]:
    """Return one line for each key, groups before their members."""
    lines = []
    for name, part in schema.get("properties", {}).items():
        path = f"{prefix}{name}"
        default = defaults.get(name) if isinstance(defaults, dict) else None
        is_known = isinstance(defaults, dict) and name in defaults
        if "properties" in part and default is not None:
            shown = ""
        else:
            shown = f" Default: `{json.dumps(default)}`." if is_known else ""
        lines.append(f"- `{path}`: {part['description']}{shown}")
        lines += rows(part, default or {}, f"{path}.")
    return lines


def main() -> None:
    """Write the page."""
    schema = schemas.read_shipped("acaciaward.settings", "schema.json")
    defaults = schemas.read_shipped("acaciaward.settings", "defaults.json")
    REFERENCE.write_text(HEAD + "\n".join(rows(schema, defaults)) + "\n")


if __name__ == "__main__":
    main()
