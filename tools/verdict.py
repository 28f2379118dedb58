"""Run the formatter, the linter, the freshness check and all tests, and count them.

A scenario listed in KNOWN-RED.txt is run and printed, but does not fail the run;
one that is listed and passes does, so that the list stays true.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURES_AT_ONCE = 4
OUTPUT_KEPT = 8000
CHECKS = {
    "formatter": ["black", "--check", "--quiet", "."],
    "linter": ["ruff", "check", "--quiet", "."],
    "imports go down only": ["tools.floors"],
    "generated code is fresh": ["tools.generate", "--check"],
}


@dataclass(frozen=True)
class Result:
    """A test or check and whether it passed."""

    name: str
    passed: bool


def known_red_names() -> set[str]:
    """Return the names of the tests that are known to fail."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_check(name: str, arguments: list[str]) -> Result:
    """Run one check as a module."""
    outcome = subprocess.run([sys.executable, "-m", *arguments], cwd=ROOT)
    return Result(name, outcome.returncode == 0)


def run_features(paths: list[str]) -> list[Result]:
    """Run feature files side by side, each in a process of its own."""
    with ThreadPoolExecutor(FEATURES_AT_ONCE) as pool:
        return [result for results in pool.map(run_feature, paths) for result in results]


def run_feature(path: str) -> list[Result]:
    """Run one feature file and return each scenario's result."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json.pretty"]
        command += ["--outfile", str(report), path]
        # The order of sets of names must not differ between two runs.
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        outcome = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True)
        results = read_report(report)
    if outcome.returncode and all(result.passed for result in results):
        results.append(Result(f"{path}: behave itself", False))
    if outcome.returncode:
        print(outcome.stdout[-OUTPUT_KEPT:])
        print(outcome.stderr[-OUTPUT_KEPT:])
    print(f"{path}: {sum(result.passed for result in results)} of {len(results)} passed")
    return results


def read_report(report: Path) -> list[Result]:
    """Return the scenarios of behave's JSON report."""
    text = report.read_text() if report.exists() else ""
    if not text.strip():
        return [Result("behave's report", False)]
    results = []
    for feature in json.loads(text):
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                name = f"{feature['name']}: {element['name']}".strip()
                results.append(Result(name, element.get("status") == "passed"))
    return results


def main() -> int:
    """Run everything; print the count as the last line."""
    results = [run_check(name, arguments) for name, arguments in CHECKS.items()]
    paths = sys.argv[1:] or sorted(str(path) for path in Path("features").glob("*.feature"))
    results += run_features(paths)
    known = known_red_names()
    failed = [item.name for item in results if not item.passed and item.name not in known]
    mended = [item.name for item in results if item.passed and item.name in known]
    for item in results:
        if not item.passed and item.name in known:
            print(f"known red: {item.name}")
    for name in failed:
        print(f"FAILED: {name}")
    for name in mended:
        print(f"FAILED: listed in KNOWN-RED.txt but passes: {name}")
    passed = sum(item.passed for item in results) - len(mended)
    print(f"{passed} passed, {len(failed) + len(mended)} failed")
    return 1 if failed or mended else 0


if __name__ == "__main__":
    sys.exit(main())
