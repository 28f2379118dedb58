"""Check that modules import only from their own folder and from those below it.

Usage: python -m tools.floors
"""

import ast
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "skylarklift"
# Folders and modules of the top from the lowest to the highest; what stands in one line may
# import from each other.
FLOORS = (
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
    ("ui", "daemon"),
)


def floor_of(module: str) -> int:
    """Return the floor of a module of the package, named without the package."""
    for number, names in enumerate(FLOORS):
        if module in names:
            return number
    folder = module.partition(".")[0]
    for number, names in enumerate(FLOORS):
        if folder in names:
            return number
    raise KeyError(f"{module} stands on no floor")


def imports_of(path: Path) -> list[str]:
    """Return the modules of the package that a file imports, named without the package."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            first, _, rest = node.module.partition(".")
            if first == PACKAGE:
                found += [rest] if rest else [alias.name for alias in node.names]
    return [name for name in found if name and not name.startswith("__")]


def main() -> int:
    """Print each import that goes up; the exit code tells whether there is one."""
    bad = 0
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT / PACKAGE).with_suffix("").parts
        module = ".".join(part for part in parts if part != "__init__")
        if not module:
            continue
        for used in imports_of(path):
            if floor_of(used) > floor_of(module):
                print(f"{module} imports {used}, which stands above it")
                bad += 1
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
