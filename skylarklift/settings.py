"""Load the settings of a router from the shipped defaults and a settings file.

A value ``env:NAME`` is replaced by an environment variable and a value ``file:PATH`` by
the text of a file, so that the settings file holds no secrets.  These values and all
keys and tokens are never logged.
"""

import os
from collections.abc import Mapping
from importlib.resources import files
from pathlib import Path
from typing import Any

import json_merge_patch
from msgspec import ValidationError, convert

from skylarklift.errors import SettingsError
from skylarklift.generated import Settings
from skylarklift.util.findings import Finding
from skylarklift.util.jsonc import JsonDocument, KeyPath, parse_text, schema_findings

ENVIRONMENT_PREFIX = "env:"
FILE_PREFIX = "file:"


def load_settings(path: str, environment: Mapping[str, str] | None = None) -> Settings:
    """Return the validated settings of a file; raise `SettingsError` with all findings."""
    try:
        text = Path(path).read_text()
    except OSError as exc:
        raise SettingsError([Finding(path, 0, "", exc.strerror or str(exc))]) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError([Finding(path, 0, "", f"is not text: {exc}")]) from exc
    return parse_settings(path, text, environment)


def parse_settings(name: str, text: str, environment: Mapping[str, str] | None = None) -> Settings:
    """Return the validated settings of a text; findings refer to it by `name`."""
    environment = os.environ if environment is None else environment
    document = parse_text(name, text)
    if not isinstance(document.value, dict):
        raise SettingsError([document.finding((), "settings must be a JSON object")])
    defaults = parse_text("defaults.json", default_text()).value
    document.value = json_merge_patch.merge(defaults, document.value)
    findings: list[Finding] = []
    document.value = _resolve_secrets(document, document.value, (), environment, findings)
    findings += schema_findings(document, "Settings")
    if findings:
        raise SettingsError(findings)
    try:
        settings = convert(document.value, type=Settings)
    except ValidationError as exc:
        raise SettingsError([document.finding((), str(exc))]) from exc
    findings = _semantic_findings(document, settings)
    if findings:
        raise SettingsError(findings)
    return settings


def default_text() -> str:
    """Return the JSON text of the shipped defaults."""
    return files("skylarklift").joinpath("defaults.json").read_text()


def _resolve_secrets(
    document: JsonDocument,
    value: Any,
    path: KeyPath,
    environment: Mapping[str, str],
    findings: list[Finding],
) -> Any:
    """Return a value with each ``env:`` and ``file:`` reference replaced."""
    if isinstance(value, dict):
        return {
            key: _resolve_secrets(document, item, (*path, key), environment, findings)
            for key, item in value.items()
        }
    if isinstance(value, list):
        return [
            _resolve_secrets(document, item, (*path, index), environment, findings)
            for index, item in enumerate(value)
        ]
    if not isinstance(value, str):
        return value
    if value.startswith(ENVIRONMENT_PREFIX):
        name = value.removeprefix(ENVIRONMENT_PREFIX)
        if name not in environment:
            findings.append(document.finding(path, f"environment variable {name} is not set"))
        return environment.get(name, "")
    if value.startswith(FILE_PREFIX):
        return _read_secret(document, path, value.removeprefix(FILE_PREFIX), findings)
    return value


def _read_secret(document: JsonDocument, path: KeyPath, name: str, findings: list[Finding]) -> str:
    """Return the text of a secret file without surrounding whitespace."""
    try:
        return Path(name).read_text().strip()
    except OSError as exc:
        findings.append(document.finding(path, f"cannot read {name}: {exc.strerror}"))
    except UnicodeDecodeError:
        findings.append(document.finding(path, f"cannot read {name}: not text"))
    return ""


def _semantic_findings(document: JsonDocument, settings: Settings) -> list[Finding]:
    """Return the findings of rules that the schema cannot express."""
    findings = []
    if not settings.peers.keys:
        findings.append(document.finding(("peers", "keys"), "at least one key is required"))
    for index, key in enumerate(settings.peers.keys):
        if len(key) < 16:
            findings.append(
                document.finding(("peers", "keys", index), "shorter than 16 characters")
            )
    if len(settings.peers.keys) > 2:
        findings.append(document.finding(("peers", "keys"), "at most 2 keys may be valid at once"))
    if settings.freshness.renew_interval_ms * 2 > settings.freshness.lease_ms:
        text = "renew_interval_ms must be at most half of lease_ms"
        findings.append(document.finding(("freshness", "renew_interval_ms"), text))
    operator_names = [operator.name for operator in settings.operators.operators]
    if len(set(operator_names)) < len(operator_names):
        findings.append(
            document.finding(("operators", "operators"), "operator names must be unique")
        )
    for section in ("callers", "operators", "peers"):
        tls = getattr(settings, section).tls
        if bool(tls.certificate) != bool(tls.key):
            text = "certificate and key must be set together"
            findings.append(document.finding((section, "tls"), text))
    return findings
