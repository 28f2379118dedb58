"""Parse JSON with comments, record the line of each key, and validate by a schema."""

import difflib
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from importlib.resources import files
from typing import Any

import json5
import tree_sitter_json
from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from tree_sitter import Language, Node, Parser

from skylarklift.errors import SettingsError
from skylarklift.util.findings import Finding

KeyPath = tuple[str | int, ...]

_PARSER = Parser(Language(tree_sitter_json.language()))


@dataclass
class JsonDocument:
    """A parsed file: its name, its value and the line of each key path."""

    name: str
    value: Any
    lines: dict[KeyPath, int]

    def finding(self, path: KeyPath, text: str) -> Finding:
        """Return a finding at a key path, located at its nearest ancestor with a line."""
        located_path = path
        while located_path and located_path not in self.lines:
            located_path = located_path[:-1]
        return Finding(self.name, self.lines.get(located_path, 1), dotted_path(path), text)


def dotted_path(path: Iterable[str | int]) -> str:
    """Return a key path joined by dots."""
    return ".".join(str(part) for part in path)


def parse_text(name: str, text: str) -> JsonDocument:
    """Parse JSON with comments; raise `SettingsError` with the line of a syntax error."""
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as exc:
        raise SettingsError([Finding(name, _error_line(str(exc)), "", str(exc))]) from exc
    root = _PARSER.parse(text.encode()).root_node
    return JsonDocument(name, value, dict(_key_lines(root, ())))


def _error_line(message: str) -> int:
    """Return the line from a json5 error message (``<string>:LINE ...``), or 1."""
    part = message.partition("<string>:")[2].split(" ")[0].split(":")[0]
    return int(part) if part.isdigit() else 1


def _key_lines(node: Node, path: KeyPath) -> Iterator[tuple[KeyPath, int]]:
    """Walk a syntax tree and yield each key path with its line."""
    index = 0
    for child in node.named_children:
        if child.type == "pair":
            key = child.child_by_field_name("key")
            inner = (*path, key.text.decode().strip("\"'"))
            yield inner, key.start_point[0] + 1
            yield from _key_lines(child.child_by_field_name("value") or child, inner)
        elif node.type == "array" and child.type != "comment":
            yield (*path, index), child.start_point[0] + 1
            yield from _key_lines(child, (*path, index))
            index += 1
        else:
            yield from _key_lines(child, path)


def load_schema(definition: str) -> dict:
    """Return the schema of one definition in schema.json."""
    full_schema = json.loads(files("skylarklift").joinpath("schema.json").read_text())
    return {**full_schema, "$ref": f"#/$defs/{definition}"}


def schema_findings(document: JsonDocument, definition: str) -> list[Finding]:
    """Return all findings of a document validated against one definition."""
    schema = load_schema(definition)
    findings = []
    for error in Draft202012Validator(schema).iter_errors(document.value):
        for leaf in error.context or [error]:
            findings.extend(_error_findings(document, leaf))
    return sorted(findings, key=lambda item: (item.line, item.key, item.text))


def _error_findings(document: JsonDocument, error: ValidationError) -> Iterator[Finding]:
    """Convert a schema error to findings; for an unknown key, suggest a similar name."""
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties" and "properties" in error.schema:
        known = list(error.schema["properties"])
        for key in sorted(set(error.instance) - set(known)):
            yield document.finding((*path, key), unknown_name_message(key, known))
    elif error.validator != "type" or error.validator_value != "null":
        yield document.finding(path, error.message)


def unknown_name_message(name: str, known: Iterable[str]) -> str:
    """Return the message for an unknown name, with a similar known name if there is one."""
    near = difflib.get_close_matches(name, list(known), n=1)
    return f"unknown name {name!r}" + (f"; did you mean {near[0]!r}?" if near else "")
