"""Earlier builds of the routers, from the history of the repository."""

import io
import subprocess
import sys
import tarfile
from pathlib import Path

from standins.entry_world import ROOT

# What of an earlier commit runs as a router.
ROUTER_FOLDERS = ("skylarklift", "standins")


class HistoryMissing(AssertionError):
    """The repository does not hold a commit, as that of a shallow clone."""


def extract_build(commit: str, folder: Path) -> Path:
    """Put the programs of a commit into a folder of its own there, and return that."""
    tree = folder / f"build-{commit}"
    if not tree.exists():
        found = subprocess.run(
            ["git", "-C", str(ROOT), "archive", commit, *ROUTER_FOLDERS], capture_output=True
        )
        if found.returncode:
            cause = found.stderr.decode(errors="replace").strip()
            raise HistoryMissing(
                f"commit {commit} is needed; clone the repository with its whole history: {cause}"
            )
        with tarfile.open(fileobj=io.BytesIO(found.stdout)) as archive:
            archive.extractall(tree, filter="data")
    return tree


def choose_arguments(tree: Path, arguments: tuple[str, ...]) -> tuple[str, ...]:
    """Return the Python arguments that start a router of a build, the plain daemon at least."""
    module = tree.joinpath(*arguments[-1].split(".")).with_suffix(".py")
    return arguments if module.exists() else ("-m", "skylarklift.platform.daemon")


def run_in_build(tree: Path, script: Path, *arguments: str) -> str:
    """Run a Python file with the packages of a build, and return what it prints."""
    run = "import runpy, sys; sys.argv.pop(0); runpy.run_path(sys.argv[0], run_name='__main__')"
    found = subprocess.run(
        [sys.executable, "-c", run, str(script), *arguments],
        cwd=tree,
        capture_output=True,
        text=True,
    )
    assert found.returncode == 0, found.stderr
    return found.stdout
