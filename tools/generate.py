"""Write the schema, the generated types and the settings page, or check that they are fresh.

Usage: python -m tools.generate [--check]
"""

import argparse
import json
import re
import sys
import tempfile
from pathlib import Path

from black import Mode, format_str
from datamodel_code_generator import DataModelType, Formatter, InputFileType, generate
from datamodel_code_generator.format import PythonVersion

from tools.schema import render_schema

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "skylarklift" / "schema.json"
TYPES = ROOT / "skylarklift" / "generated.py"
SETTINGS_PAGE = ROOT / "docs" / "reference" / "settings.md"
PAGE_PARTS = {
    "Settings of a router": "Settings",
    "The routing configuration": "Routing",
}
HEADING = '"""Types generated from schema.json by tools/generate.py; do not edit."""\n\n'


def render_types(schema: str) -> str:
    """Return the text of generated.py for the schema text."""
    with tempfile.TemporaryDirectory() as folder:
        target = Path(folder) / "generated.py"
        generate(
            schema,
            input_file_type=InputFileType.JsonSchema,
            output=target,
            output_model_type=DataModelType.MsgspecStruct,
            target_python_version=PythonVersion.PY_311,
            use_standard_collections=True,
            use_union_operator=True,
            set_default_enum_member=True,
            capitalise_enum_members=True,
            disable_timestamp=True,
            formatters=[Formatter.ISORT],
        )
        text = target.read_text()
    text = re.sub(r"^# .*\n", "", text, flags=re.MULTILINE).lstrip()
    # A field with a default is never unset here.
    text = text.replace(" | UnsetType", "").replace("= UNSET", "= None")
    text = text.replace("import UNSET, Meta, UnsetType, convert", "import Meta, convert")
    text = re.sub(r"class Model\(.*?\n\n\n", "", text, flags=re.DOTALL)
    text = text.replace("Model: TypeAlias = Any\n\n\n", "").replace(", TypeAlias", "")
    return format_str(HEADING + text, mode=Mode(line_length=100))


def render_page(schema: dict) -> str:
    """Return the reference page of settings and routing."""
    lines = ["# Settings and routing", "", "Generated from the schema; keys without a default are"]
    lines += ["needed. Spans end in `_ms`, sizes in `_bytes`.", ""]
    for title, name in PAGE_PARTS.items():
        lines += [f"## {title}", "", "| key | type | default |", "| --- | --- | --- |"]
        lines += [f"| `{key}` | {kind} | {default} |" for key, kind, default in rows(schema, name)]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def rows(schema: dict, name: str, prefix: str = "") -> list[tuple[str, str, str]]:
    """Return key, type and default of each field of a record and of those inside it."""
    found = []
    for key, field in schema["$defs"][name]["properties"].items():
        inner, mark = inner_record(field)
        path = f"{prefix}{key}{mark}"
        if inner and schema["$defs"][inner]["type"] == "object":
            found += rows(schema, inner, f"{path}.")
            continue
        found.append((path, type_text(schema, field, inner), default_text(field)))
    return found


def inner_record(field: dict) -> tuple[str, str]:
    """Return the record inside a field, and how its key goes on."""
    for part, mark in ((field, ""), (field.get("items", {}), "[]")):
        if "$ref" in part:
            return part["$ref"].rpartition("/")[2], mark
    more = field.get("additionalProperties")
    if isinstance(more, dict) and "$ref" in more:
        return more["$ref"].rpartition("/")[2], ".NAME"
    for choice in field.get("anyOf", ()):
        if "$ref" in choice:
            return choice["$ref"].rpartition("/")[2], ""
    return "", ""


def type_text(schema: dict, field: dict, inner: str) -> str:
    """Return the type of a field in words."""
    if inner:
        return ", ".join(f"`{value}`" for value in schema["$defs"][inner]["enum"])
    text = field.get("type", "any")
    if text == "array":
        text = f"array of {field['items'].get('type', 'any')}"
    return f"{text}, at least {field['minimum']}" if "minimum" in field else text


def default_text(field: dict) -> str:
    """Return the default of a field as it stands in JSON, or nothing."""
    return f"`{json.dumps(field['default'])}`" if "default" in field else ""


def main() -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="only compare, write nothing")
    options = parser.parse_args()
    schema = render_schema()
    wanted = {
        SCHEMA: schema,
        TYPES: render_types(schema),
        SETTINGS_PAGE: render_page(json.loads(schema)),
    }
    stale = [path for path, text in wanted.items() if not same_text(path, text)]
    if options.check:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is stale: run python -m tools.generate")
        return 1 if stale else 0
    for path, text in wanted.items():
        path.write_text(text)
    return 0


def same_text(path: Path, text: str) -> bool:
    """Tell whether the file holds this text."""
    return path.exists() and path.read_text() == text


if __name__ == "__main__":
    sys.exit(main())
