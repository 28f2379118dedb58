"""Read the settings file that the platform provides for a process: lines of name=value."""

from pathlib import Path

from skylarklift.entry.model import (
    DEFAULT_MEMORY_MB,
    MAX_PORT,
    Bounds,
    Endpoint,
    NodeSettings,
    parse_endpoint,
)
from skylarklift.errors import SettingsError
from skylarklift.ids import ZoneId
from skylarklift.util.bounded import parse_decimal, parse_integer
from skylarklift.util.findings import Finding

PATH_VARIABLE = "SKYLARKLIFT_NODE_FILE"
DEFAULT_PATH = "/etc/skylarklift/settings.conf"
MS_PER_SECOND = 1000
# Where the platform names this contract, capacity is scarce.
PRESSURE_CONTRACT = "pressure"


class SettingsFile:
    """The values of a settings file with their line numbers, and the findings about them."""

    def __init__(self, name: str, text: str):
        self.name = name
        self.findings: list[Finding] = []
        self._values: dict[str, tuple[str, int]] = {}
        for number, line in enumerate(text.splitlines(), 1):
            self._parse_line(number, line.strip())

    def _parse_line(self, number: int, line: str) -> None:
        """Store the value of one line, or add a finding."""
        if not line or line.startswith("#"):
            return
        key, separator, value = line.partition("=")
        if not separator:
            self.findings.append(Finding(self.name, number, line[:40], "is not name=value"))
            return
        self._values[key.strip()] = (value.strip(), number)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value, or the default; add a finding if there is neither."""
        found = self._values.get(key)
        if found is not None and found[0]:
            return found[0]
        if default is None:
            self.findings.append(Finding(self.name, 0, key, "is missing"))
            return ""
        return default

    def number(self, key: str, default: float) -> float:
        """Return a number, or the default if it is missing or malformed."""
        text, line = self._values.get(key, ("", 0))
        if not text:
            return default
        try:
            return parse_decimal(text.encode())
        except ValueError:
            self.findings.append(Finding(self.name, line, key, f"{text!r} is not a number"))
            return default

    def endpoint(self, key: str, default: Endpoint | None = None) -> Endpoint:
        """Return an address of the form IP:PORT, adding a finding if it is malformed."""
        text = self.text(key, None if default is None else str(default))
        found = parse_endpoint(text)
        if found is None:
            line = self._values.get(key, ("", 0))[1]
            if text:
                self.findings.append(Finding(self.name, line, key, f"{text!r} is not IP:PORT"))
            return default or Endpoint("", 0)
        return found

    def with_prefix(self, prefix: str) -> dict[str, str]:
        """Return the values whose names start with `prefix`, by the rest of the name."""
        return {
            key.removeprefix(prefix): value
            for key, (value, _) in self._values.items()
            if key.startswith(prefix)
        }


def read_node_settings(path: str) -> NodeSettings:
    """Return the settings of a file; raise `SettingsError` with all findings."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError([Finding(path, 0, "", f"cannot be read: {exc}")]) from exc
    return parse_node_settings(path, text)


def parse_node_settings(name: str, text: str) -> NodeSettings:
    """Return the settings of a text; raise `SettingsError` with all findings."""
    source = SettingsFile(name, text)
    callers = source.endpoint("listen.frontend")
    # On every VM the peer port is the first of the port range, so only the IP address of a seed is
    # used.
    peer_port = _parse_first_port(source)
    seeds = [parse_endpoint(item) for item in source.text("seeds", "").split(",")]
    settings = NodeSettings(
        node=source.text("node_name"),
        zone=ZoneId(source.text("zone")),
        regions=source.with_prefix("zones."),
        callers=callers,
        readiness=source.endpoint("listen.ready_addr"),
        peers=Endpoint(callers.host, peer_port),
        seeds=tuple(Endpoint(seed.host, peer_port) for seed in seeds if seed is not None),
        store=source.endpoint("platform.address"),
        memory_mb=int(source.number("limits.memory_mb", DEFAULT_MEMORY_MB)),
        max_fds=int(source.number("limits.max_fds", 0)) or None,
        bounds=_parse_bounds(source),
        zone_spill=source.text("zone_spill", "false") == "true",
        admission_control=PRESSURE_CONTRACT in _parse_contracts(source),
    )
    if source.findings:
        raise SettingsError(source.findings)
    return settings


def _parse_contracts(source: SettingsFile) -> set[str]:
    """Return the names of the contracts that the platform lists."""
    return {item.strip() for item in source.text("contracts", "").split(",")}


def _parse_first_port(source: SettingsFile) -> int:
    """Return the first port of the range, 0 with a finding if it is none."""
    text = source.text("port_range").split(",")[0]
    try:
        return parse_integer(text, MAX_PORT)
    except ValueError as exc:
        source.findings.append(Finding(source.name, 0, "port_range", str(exc)))
        return 0


def _parse_bounds(source: SettingsFile) -> Bounds:
    """Return the limits of the fleet, converting seconds in the file to milliseconds."""
    defaults = Bounds()
    number = source.number
    return Bounds(
        grace_ms=int(number("bounds.grace_s", defaults.grace_ms / MS_PER_SECOND) * MS_PER_SECOND),
        retry_ratio=number("bounds.retry_budget_ratio", defaults.retry_ratio),
        retry_window_ms=int(
            number("bounds.budget_window_s", defaults.retry_window_ms / MS_PER_SECOND)
            * MS_PER_SECOND
        ),
        retry_extra=int(number("bounds.budget_extra", defaults.retry_extra)),
        cold_overshoot=number("bounds.cold_overshoot", defaults.cold_overshoot),
        cold_tolerance=int(number("bounds.cold_tolerance", defaults.cold_tolerance)),
        load_factor=number("bounds.cap_factor", defaults.load_factor),
        exposure_share=number("bounds.exposure_share", defaults.exposure_share),
        exposure_slack=int(number("bounds.exposure_slack", defaults.exposure_slack)),
        rollback_ms=int(number("bounds.rollback_ms", defaults.rollback_ms)),
    )
