"""Entry point of the command-line tool `skylarklift`: argument parsing and errors."""

import argparse
import os
import sys
from pathlib import Path

import argcomplete

from skylarklift import __version__
from skylarklift.errors import SettingsError, SkylarkError
from skylarklift.generated import OrderKind
from skylarklift.ui import commands, fleet, logs
from skylarklift.ui.client import ApiError, ApiUnreachable
from skylarklift.ui.output import ExitCode, Output

URL_VARIABLE = "SKYLARKLIFT_URL"
TOKEN_VARIABLE = "SKYLARKLIFT_TOKEN"
DEFAULT_URL = "http://127.0.0.1:8081"

EXAMPLES = """examples:
  skylarklift validate routing.json
  skylarklift validate --kind settings router.json
  skylarklift show --json
  skylarklift patch --base 41 change.json
  skylarklift zone out zone-2 --wait
  skylarklift drain --pool till till-3
  skylarklift explain 9c41d07be2a35f68 router-*.log
  skylarklift fleet --store 10.200.1.7:8223
  skylarklift order load-adapter --pool till till-3 wash-2

exit codes:
  0 success            1 findings or differences   2 usage error
  3 version conflict   4 a router is unreachable   5 not authenticated
  6 outcome unknown    7 refused
"""


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="skylarklift",
        description="Operate a fleet of routers.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    common = _common_options()
    change = _change_options()
    sub = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_reading_commands(sub, common)
    _add_log_commands(sub, common)
    _add_fleet_command(sub, common)
    _add_changing_commands(sub, [common, change])
    _add_order_command(sub, common)
    return parser


def _common_options() -> argparse.ArgumentParser:
    """Return the options that all commands share."""
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument(
        "--url",
        default=os.environ.get(URL_VARIABLE, DEFAULT_URL),
        help=f"operators' API of any router (or {URL_VARIABLE})",
    )
    common.add_argument("--token-file", help=f"file with the token (or {TOKEN_VARIABLE})")
    common.add_argument("--json", action="store_true", help="print JSON")
    return common


def _change_options() -> argparse.ArgumentParser:
    """Return the options shared by all commands that change the configuration."""
    change = argparse.ArgumentParser(add_help=False)
    change.add_argument("--base", type=int, help="version that the change is based on")
    change.add_argument("--patch-id", default="", help="id of the patch, for safe resubmission")
    change.add_argument("--note", default="", help="reason, shown in the history")
    change.add_argument(
        "--wait", action="store_true", help="wait until every router has applied the change"
    )
    return change


def _add_reading_commands(sub, common: argparse.ArgumentParser) -> None:
    """Add the read-only commands."""
    parser = sub.add_parser("validate", parents=[common], help="validate files and report findings")
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--kind", choices=("routing", "settings"), default="routing")
    parser.set_defaults(run=commands.validate)
    parser = sub.add_parser("show", parents=[common], help="show the configuration in force")
    parser.set_defaults(run=commands.show)
    parser = sub.add_parser("diff", parents=[common], help="compare a file with the configuration")
    parser.add_argument("file", metavar="FILE")
    parser.set_defaults(run=commands.diff)
    parser = sub.add_parser("status", parents=[common], help="show routers and pools")
    parser.set_defaults(run=commands.status)
    parser = sub.add_parser("history", parents=[common], help="show accepted patches")
    parser.add_argument("--since", type=int, default=0, metavar="VERSION")
    parser.set_defaults(run=commands.history)
    parser = sub.add_parser("claim", parents=[common], help="show the claim of a request")
    parser.add_argument("workspace")
    parser.add_argument("key", help="idempotency key of the request")
    parser.set_defaults(run=commands.claim)


def _add_log_commands(sub, common: argparse.ArgumentParser) -> None:
    """Add the commands that read routers' logs."""
    parser = sub.add_parser("explain", parents=[common], help="trace a request in logs")
    parser.add_argument("request", metavar="ID", help="id of the request")
    parser.add_argument("files", nargs="+", metavar="LOG")
    parser.add_argument(
        "--around-ms",
        type=int,
        default=2000,
        help="show related lines within this time before and after (%(default)s)",
    )
    parser.set_defaults(run=logs.explain)
    parser = sub.add_parser("summary", parents=[common], help="count the events in logs")
    parser.add_argument("files", nargs="+", metavar="LOG")
    parser.set_defaults(run=logs.summarize)


def _add_fleet_command(sub, common: argparse.ArgumentParser) -> None:
    """Add the command that shows the platform's routers."""
    parser = sub.add_parser("fleet", parents=[common], help="show the platform's store and routers")
    parser.add_argument(
        "--store", required=True, metavar="IP:PORT", help="address of the platform's store"
    )
    parser.add_argument(
        "--metrics-port", type=int, default=9464, help="metrics port of the routers (%(default)s)"
    )
    parser.set_defaults(run=fleet.show_fleet)


def _add_changing_commands(sub, parents: list[argparse.ArgumentParser]) -> None:
    """Add the commands that submit patches."""
    parser = sub.add_parser("patch", parents=parents, help="submit a patch")
    parser.add_argument("file", metavar="FILE", help="JSON with comments; - for standard input")
    parser.add_argument("--format", choices=("merge", "json-patch"), default="merge")
    parser.add_argument("--dry-run", action="store_true", help="validate without submitting")
    parser.set_defaults(run=commands.patch)
    parser = sub.add_parser("zone", parents=parents, help="take a zone out of service or back in")
    parser.add_argument("state", choices=("out", "in"))
    parser.add_argument("zone", metavar="ZONE")
    parser.set_defaults(run=commands.zone)
    parser = sub.add_parser("drain", parents=parents, help="stop sending new work to an upstream")
    owner = parser.add_mutually_exclusive_group(required=True)
    owner.add_argument("--pool")
    owner.add_argument("--service")
    parser.add_argument("upstream", metavar="UPSTREAM")
    parser.add_argument("--undo", action="store_true", help="put it back in service")
    parser.set_defaults(run=commands.drain)


def _add_order_command(sub, common: argparse.ArgumentParser) -> None:
    """Add the command that sends orders to engines."""
    parser = sub.add_parser("order", parents=[common], help="send an order to an engine")
    kinds = [kind.value for kind in OrderKind]
    parser.add_argument("kind", choices=kinds)
    parser.add_argument("--pool", required=True)
    parser.add_argument("replica", metavar="REPLICA")
    parser.add_argument("name", metavar="NAME", help="model, adapter, version or role")
    parser.set_defaults(run=commands.order)


def main(argv: list[str] | None = None) -> int:
    """Run the tool and return its exit code."""
    parser = make_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args(argv)
    out = Output(options.json)
    try:
        options.token = _read_token(options)
        return int(options.run(options, out))
    except SettingsError as exc:
        out.findings(exc.findings)
        return ExitCode.INVALID
    except ApiError as exc:
        return out.api_error(exc)
    except ApiUnreachable as exc:
        print(f"skylarklift: {exc}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    except (SkylarkError, OSError) as exc:
        print(f"skylarklift: {exc}", file=sys.stderr)
        return ExitCode.REFUSED


def _read_token(options: argparse.Namespace) -> str:
    """Return the operator's token from the token file or the environment."""
    if options.token_file:
        return Path(options.token_file).read_text().strip()
    return os.environ.get(TOKEN_VARIABLE, "")


if __name__ == "__main__":
    sys.exit(main())
