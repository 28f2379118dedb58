"""The report of a benchmark: its figures, printed as a table, written as JSON, plotted as SVG."""

import json
from dataclasses import asdict, dataclass, field
from pathlib import Path

import pygal


@dataclass(frozen=True)
class Row:
    """One figure with its baseline and its target.

    `met` is `None` where there is no target.
    """

    what: str
    value: float
    unit: str = ""
    baseline: str = ""
    target: str = ""
    met: bool | None = None


@dataclass
class Report:
    """The figures of one benchmark; `series` are the lines of its plot."""

    name: str
    title: str
    rows: list[Row] = field(default_factory=list)
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    axes: tuple[str, str] = ("", "")

    def add(self, what: str, value: float, unit: str = "", baseline: str = "") -> None:
        """Add a figure without a target."""
        self.rows.append(Row(what, value, unit, baseline))

    def at_least(self, what: str, value: float, bound: float, unit: str = "", **more) -> None:
        """Add a figure whose target is to be at least `bound`."""
        self.rows.append(
            Row(what, value, unit, more.get("baseline", ""), f">= {bound}", value >= bound)
        )

    def at_most(self, what: str, value: float, bound: float, unit: str = "", **more) -> None:
        """Add a figure whose target is to be at most `bound`."""
        self.rows.append(
            Row(what, value, unit, more.get("baseline", ""), f"<= {bound}", value <= bound)
        )

    def all_met(self) -> bool:
        """Return whether every target was met."""
        return all(row.met is not False for row in self.rows)

    def print(self) -> None:
        """Print the figures as a table."""
        print(f"\n{self.name}: {self.title}")
        for row in self.rows:
            value = f"{row.value:,.3f}".rstrip("0").rstrip(".")
            verdict = {True: "met", False: "NOT MET", None: ""}[row.met]
            line = f"  {row.what:<58}{value:>11} {row.unit:<7}"
            print(f"{line}{row.target:<10}{verdict:<9}{row.baseline}")

    def write(self, folder: Path) -> None:
        """Write the figures as JSON and the series as an SVG plot."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{self.name}.json").write_text(json.dumps(asdict(self), indent=1) + "\n")
        if self.series:
            chart = pygal.XY(title=self.title, x_title=self.axes[0], y_title=self.axes[1])
            for label, points in self.series.items():
                chart.add(label, points)
            # By default the plot would load scripts from another host.
            chart.config.js = []
            chart.render_to_file(str(folder / f"{self.name}.svg"))
