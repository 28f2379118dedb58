"""Findings: errors in a file with their locations, reported all at once."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """One error: file, line (from 1; 0 if unknown), dotted key path and message."""

    file: str
    line: int
    key: str
    text: str

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.key}: {self.text}" if self.key else f"{place}: {self.text}"
