"""Write skylarklift/schema.json and skylarklift/generated.py, or check that they are fresh.

Usage: python -m tools.generate [--check]
"""

import argparse
import re
import sys
import tempfile
from pathlib import Path

from black import Mode, format_str
from datamodel_code_generator import DataModelType, Formatter, InputFileType, generate
from datamodel_code_generator.format import PythonVersion

from tools.schema import render_schema

PACKAGE = Path(__file__).resolve().parent.parent / "skylarklift"
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


def main() -> int:
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="only compare, write nothing")
    options = parser.parse_args()
    schema = render_schema()
    wanted = {"schema.json": schema, "generated.py": render_types(schema)}
    stale = [n for n, text in wanted.items() if not same_text(PACKAGE / n, text)]
    if options.check:
        for name in stale:
            print(f"skylarklift/{name} is stale: run python -m tools.generate")
        return 1 if stale else 0
    for name, text in wanted.items():
        (PACKAGE / name).write_text(text)
    return 0


def same_text(path: Path, text: str) -> bool:
    """Tell whether the file holds this text."""
    return path.exists() and path.read_text() == text


if __name__ == "__main__":
    sys.exit(main())
