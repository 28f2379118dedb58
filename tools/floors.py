"""Check that modules import only from their own layer and from lower layers.

Usage: python -m tools.floors
"""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "skylarklift"
# Folders and top-level modules, from the lowest layer to the highest. Those of one layer may
# import each other.
LAYERS = (
    (
        "clock",
        "ids",
        "errors",
        "hashing",
        "generated",
        "settings",
        "util",
        "logger",
        "routers.wire",
    ),
    ("invariants", "telemetry", "serving"),
    ("store", "votes", "upstreams"),
    ("entry",),
    ("platform",),
    ("config",),
    ("routers",),
    ("pools",),
    ("requests",),
    ("coordination",),
    ("operators",),
    ("router",),
    ("ui", "daemon", "program"),
)


def layer_of(module: str) -> int:
    """Return the layer number of a module, given by its name without the package."""
    for number, names in enumerate(LAYERS):
        if module in names:
            return number
    folder = module.partition(".")[0]
    for number, names in enumerate(LAYERS):
        if folder in names:
            return number
    raise KeyError(f"{module} is in no layer of LAYERS")


def imported_modules(path: Path) -> list[str]:
    """Return the names, without the package, of the package's modules that a file imports."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            first, _, rest = node.module.partition(".")
            if first == PACKAGE:
                found += [rest] if rest else [alias.name for alias in node.names]
    return [name for name in found if name and not name.startswith("__")]


def main() -> int:
    """Print each import from a higher layer; return 1 if there is one."""
    violations = 0
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT / PACKAGE).with_suffix("").parts
        module = ".".join(part for part in parts if part != "__init__")
        if not module:
            continue
        for used in imported_modules(path):
            if layer_of(used) > layer_of(module):
                print(f"{module} imports {used}, which is in a higher layer")
                violations += 1
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
