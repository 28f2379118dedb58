"""Earlier builds of the routers, from the history of the repository."""

import io
import subprocess
import sys
import tarfile
import time
from collections import Counter
from enum import Enum
from pathlib import Path
from random import Random

from skylarklift.clock import MS_PER_SECOND
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


class Build(Enum):
    """Which of the two builds a router is of."""

    OLD = "old"
    NEW = "new"


class BuildMix:
    """The builds of the routers of a run: at each start the old one or that of this tree.

    The seed determines which one, unless a fault has named it.  `log` gets a line for each start,
    with the time as callers have it.
    """

    def __init__(self, old: Path, seed: int, log: Path):
        self._trees = {Build.OLD: old, Build.NEW: ROOT}
        self._seed = seed
        self._log = log
        self._starts: Counter[tuple[str, Build]] = Counter()
        self._named: dict[str, Build] = {}
        self._current: dict[str, Build] = {}

    def name_next(self, router: str, build: Build) -> None:
        """Let the next start of a router be of a build."""
        self._named[router] = build

    def choose(self, router: str) -> Path:
        """Return the tree of the build of a router that is started now."""
        count = sum(self._starts[router, build] for build in Build)
        drawn = Random(f"{self._seed} build {router} {count}").choice(list(Build))
        build = self._current[router] = self._named.pop(router, drawn)
        self._starts[router, build] += 1
        with self._log.open("a") as log:
            log.write(f"{int(time.monotonic() * MS_PER_SECOND)} {router} {build.value}\n")
        return self._trees[build]

    def tree(self, router: str) -> Path:
        """Return the tree of the build that a router was last started with."""
        return self._trees[self._current[router]]

    def count_starts(self) -> Counter[str]:
        """Return how many routers were started of each build."""
        found: Counter[str] = Counter()
        for (_, build), count in self._starts.items():
            found[build.value] += count
        return found


def run_in_build(tree: Path, script: Path, *arguments: str, given: str = "") -> str:
    """Run a Python file with the packages of a build and an input; return what it prints."""
    run = "import runpy, sys; sys.argv.pop(0); runpy.run_path(sys.argv[0], run_name='__main__')"
    found = subprocess.run(
        [sys.executable, "-c", run, str(script), *arguments],
        cwd=tree,
        input=given,
        capture_output=True,
        text=True,
    )
    assert found.returncode == 0, found.stderr
    return found.stdout
