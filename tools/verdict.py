"""Run the checks of the source and all tests, and print how many passed and failed.

A failing scenario that is listed in KNOWN-RED.txt is printed but does not fail the run.
A listed scenario that passes does fail it, so that the list stays correct.
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
MAX_PARALLEL_FEATURES = 4
OUTPUT_LIMIT_CHARS = 8000
CHECKS = {
    "formatter": ["black", "--check", "--quiet", "."],
    "linter": ["ruff", "check", "--quiet", "."],
    "imports follow the layers": ["tools.floors"],
    "generated files are current": ["tools.generate", "--check"],
}


@dataclass(frozen=True)
class Result:
    """The name of a test or check, and whether it passed."""

    name: str
    passed: bool


def known_red_names() -> set[str]:
    """Return the names of the tests listed in KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_check(name: str, arguments: list[str]) -> Result:
    """Run one check as `python -m` with these arguments."""
    outcome = subprocess.run([sys.executable, "-m", *arguments], cwd=ROOT)
    return Result(name, outcome.returncode == 0)


def run_features(paths: list[str]) -> list[Result]:
    """Run feature files in parallel, each in its own process."""
    with ThreadPoolExecutor(MAX_PARALLEL_FEATURES) as pool:
        return [result for results in pool.map(run_feature, paths) for result in results]


def run_feature(path: str) -> list[Result]:
    """Run one feature file and return the result of each scenario."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--format", "json.pretty"]
        command += ["--outfile", str(report), path]
        # Sets of strings must be iterated in the same order in each run.
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        outcome = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True)
        results = read_report(report)
    if outcome.returncode and all(result.passed for result in results):
        results.append(Result(f"{path}: exit code of behave", False))
    if outcome.returncode:
        print(outcome.stdout[-OUTPUT_LIMIT_CHARS:])
        print(outcome.stderr[-OUTPUT_LIMIT_CHARS:])
    print(f"{path}: {sum(result.passed for result in results)} of {len(results)} passed")
    return results


def read_report(report: Path) -> list[Result]:
    """Return the results of the scenarios in a JSON report of behave."""
    text = report.read_text() if report.exists() else ""
    if not text.strip():
        return [Result("JSON report of behave", False)]
    results = []
    for feature in json.loads(text):
        for element in feature.get("elements", ()):
            if element["type"] != "background":
                name = f"{feature['name']}: {element['name']}".strip()
                print_failures(name, element)
                results.append(Result(name, element.get("status") == "passed"))
    return results


def print_failures(name: str, element: dict) -> None:
    """Print what the failed steps of a scenario say."""
    for step in element.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") in ("failed", "error"):
            message = result.get("error_message", "")
            text = message if isinstance(message, str) else "\n".join(message)
            print(f"{name}: {step['name']}\n{text[-OUTPUT_LIMIT_CHARS:]}")


def main() -> int:
    """Run all checks and features; print the counts as the last line."""
    results = [run_check(name, arguments) for name, arguments in CHECKS.items()]
    paths = sys.argv[1:] or sorted(str(path) for path in Path("features").glob("*.feature"))
    results += run_features(paths)
    known = known_red_names()
    failed = [item.name for item in results if not item.passed and item.name not in known]
    unexpectedly_passed = [item.name for item in results if item.passed and item.name in known]
    for item in results:
        if not item.passed and item.name in known:
            print(f"known red: {item.name}")
    for name in failed:
        print(f"FAILED: {name}")
    for name in unexpectedly_passed:
        print(f"FAILED: listed in KNOWN-RED.txt but passes: {name}")
    passed = sum(item.passed for item in results) - len(unexpectedly_passed)
    print(f"{passed} passed, {len(failed) + len(unexpectedly_passed)} failed")
    return 1 if failed or unexpectedly_passed else 0


if __name__ == "__main__":
    sys.exit(main())
