"""Findings: faults in a file, each with its place, collected and reported together."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One fault: the file, the line (from 1, or 0 if none), the dotted key, the text."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.text}" if self.key else f"{place}: {self.text}"
