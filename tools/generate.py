"""Write the schema, the generated types and the settings page, or check that they are current.

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
SCHEMA_FILE = ROOT / "skylarklift" / "schema.json"
TYPES_FILE = ROOT / "skylarklift" / "generated.py"
SETTINGS_PAGE = ROOT / "docs" / "reference" / "settings.md"
PAGE_SECTIONS = {
    "Settings of a router": "Settings",
    "The routing configuration": "Routing",
}
TYPES_HEADER = '"""Types generated from schema.json by tools/generate.py; do not edit."""\n\n'


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
    # Every optional field has a default, so no field can be unset.
    text = text.replace(" | UnsetType", "").replace("= UNSET", "= None")
    text = text.replace("import UNSET, Meta, UnsetType, convert", "import Meta, convert")
    text = re.sub(r"class Model\(.*?\n\n\n", "", text, flags=re.DOTALL)
    text = text.replace("Model: TypeAlias = Any\n\n\n", "").replace(", TypeAlias", "")
    return format_str(TYPES_HEADER + text, mode=Mode(line_length=100))


def render_page(schema: dict) -> str:
    """Return the text of the reference page of settings and routing."""
    lines = ["# Settings and routing", "", "Generated from the schema; keys without a default are"]
    lines += ["required. Durations end in `_ms`, sizes in `_bytes`.", ""]
    for title, name in PAGE_SECTIONS.items():
        lines += [f"## {title}", "", "| key | type | default |", "| --- | --- | --- |"]
        lines += [
            f"| `{key}` | {kind} | {default} |" for key, kind, default in setting_rows(schema, name)
        ]
        lines.append("")
    return "\n".join(lines).rstrip() + "\n"


def setting_rows(schema: dict, name: str, prefix: str = "") -> list[tuple[str, str, str]]:
    """Return key, type and default of each field of a record and of its nested records."""
    found = []
    for key, field in schema["$defs"][name]["properties"].items():
        definition, suffix = referenced_definition(field)
        path = f"{prefix}{key}{suffix}"
        if definition and schema["$defs"][definition]["type"] == "object":
            found += setting_rows(schema, definition, f"{path}.")
            continue
        found.append((path, type_text(schema, field, definition), default_text(field)))
    return found


def referenced_definition(field: dict) -> tuple[str, str]:
    """Return the name of the definition that a field refers to, and the suffix of its key."""
    for part, suffix in ((field, ""), (field.get("items", {}), "[]")):
        if "$ref" in part:
            return part["$ref"].rpartition("/")[2], suffix
    more = field.get("additionalProperties")
    if isinstance(more, dict) and "$ref" in more:
        return more["$ref"].rpartition("/")[2], ".NAME"
    for choice in field.get("anyOf", ()):
        if "$ref" in choice:
            return choice["$ref"].rpartition("/")[2], ""
    return "", ""


def type_text(schema: dict, field: dict, definition: str) -> str:
    """Return the type of a field as the page shows it."""
    if definition:
        return ", ".join(f"`{value}`" for value in schema["$defs"][definition]["enum"])
    text = field.get("type", "any")
    if text == "array":
        text = f"array of {field['items'].get('type', 'any')}"
    return f"{text}, at least {field['minimum']}" if "minimum" in field else text


def default_text(field: dict) -> str:
    """Return the default of a field as JSON, or an empty string if it has none."""
    return f"`{json.dumps(field['default'])}`" if "default" in field else ""


def main() -> int:
    """Write the three files, or with `--check` return 1 if one of them is stale."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--check", action="store_true", help="only compare the files, write nothing"
    )
    options = parser.parse_args()
    schema = render_schema()
    wanted = {
        SCHEMA_FILE: schema,
        TYPES_FILE: render_types(schema),
        SETTINGS_PAGE: render_page(json.loads(schema)),
    }
    stale = [path for path, text in wanted.items() if not is_up_to_date(path, text)]
    if options.check:
        for path in stale:
            print(f"{path.relative_to(ROOT)} is stale: run python -m tools.generate")
        return 1 if stale else 0
    for path, text in wanted.items():
        path.write_text(text)
    return 0


def is_up_to_date(path: Path, text: str) -> bool:
    """Return whether the file exists and holds this text."""
    return path.exists() and path.read_text() == text


if __name__ == "__main__":
    sys.exit(main())
