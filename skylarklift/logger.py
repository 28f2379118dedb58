"""The logger of the package; its handler is set up by `telemetry`."""

import logbook

log = logbook.Logger("skylarklift")
