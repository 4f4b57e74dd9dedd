"""The command line: `roseweir serve`, `check-config`, `status` and the operators' commands of each package."""

import argparse
import asyncio
import logging
import os
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

from roseweir import __version__
from roseweir.admin_client import print_json, validate_address
from roseweir.delivery_deadlines import cli as delivery_deadline_cli
from roseweir.drain import cli as drain_cli
from roseweir.forecast import cli as forecast_cli
from roseweir.operator_config import OperatorConfig, load_operator_config
from roseweir.settings import Settings, load_settings
from roseweir.sexp import SettingsError
from roseweir.workflows import cli as workflow_cli

REQUEST_TIMEOUT = timedelta(seconds=3)
OPERATOR_CONFIG_VARIABLE = "ROSEWEIR_TUNING"
LOG_LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status.

    0: success; 1: failure, such as no answer; 2: invalid settings or arguments, or a refused command; 130: interrupted.
    """
    args = _build_parser().parse_args(drain_cli.expand_start_shorthand(sys.argv[1:] if argv is None else argv))
    try:
        result: int = args.run(args)
        return result
    except SettingsError as error:
        print(f"roseweir: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="roseweir", description="A cluster scheduler.")
    parser.add_argument("--version", action="version", version=f"roseweir {__version__}")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    def add_config_arguments(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--config", type=Path, required=True, metavar="FILE", help="the platform's settings (JSON)"
        )
        command.add_argument(
            "--tuning",
            type=Path,
            metavar="FILE",
            help=f"operators' own settings (S-expressions); default: ${OPERATOR_CONFIG_VARIABLE}",
        )

    serve = commands.add_parser("serve", help="run a controller until it is killed")
    add_config_arguments(serve)
    serve.set_defaults(run=_serve)
    check = commands.add_parser("check-config", help="check settings files and say what is wrong")
    add_config_arguments(check)
    check.set_defaults(run=_check_config)

    def add_query_arguments(command: argparse.ArgumentParser, query: str) -> None:
        command.add_argument("--at", required=True, metavar="HOST:PORT", help="a controller's own address (`back`)")
        command.add_argument("--json", action="store_true", help="print the answer as it came")
        command.set_defaults(run=_query_controller, query=query, job=None)

    add_query_arguments(commands.add_parser("limits", help="show the startup limits in force"), "limits")
    status = commands.add_parser("status", help="show what a controller knows")
    add_query_arguments(status, "status")
    status.add_argument("--job", metavar="ID", help="what an unfinished job waits for; ask the leader")
    add_query_arguments(
        commands.add_parser("served", help="show who is served, by team and class; ask the leader"), "served"
    )
    drain_cli.add_commands(commands)
    workflow_cli.add_commands(commands)
    delivery_deadline_cli.add_commands(commands)
    forecast_cli.add_commands(commands, lambda command: add_query_arguments(command, "forecast"))
    return parser


def _load_configuration(args: argparse.Namespace) -> tuple[Settings, OperatorConfig]:
    config_path: Path | None = args.tuning
    if config_path is None and os.environ.get(OPERATOR_CONFIG_VARIABLE):
        config_path = Path(os.environ[OPERATOR_CONFIG_VARIABLE])
    return load_settings(args.config), load_operator_config(config_path)


def _serve(args: argparse.Namespace) -> int:
    settings, operator_config = _load_configuration(args)
    log_level = os.environ.get("LOG_LEVEL", "info").lower()
    if log_level not in LOG_LEVELS:
        raise SettingsError(f"LOG_LEVEL: unknown level `{log_level}`, expected one of {', '.join(LOG_LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr, level=LOG_LEVELS[log_level], format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # Imported only for this command, so that the others start quickly.
    from roseweir.service import serve

    try:
        serve(settings, operator_config)
    except OSError as error:
        print(f"roseweir: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


def _check_config(args: argparse.Namespace) -> int:
    settings, operator_config = _load_configuration(args)
    print(
        f"{settings.name}: {len(settings.peers)} peers, {len(settings.params.teams)} teams, "
        f"{len(settings.params.objectives)} objectives, {len(operator_config.class_limits)} class limits"
        + (", renting ahead" if operator_config.predictive_scaling is not None else "")
        + (f", {len(operator_config.drain.budgets)} budgets of disruption" if operator_config.drain is not None else "")
        + (
            ", replaces machines by itself"
            if operator_config.drain is not None and operator_config.drain.auto_replacement is not None
            else ""
        )
    )
    return 0


def _query_controller(args: argparse.Namespace) -> int:
    from roseweir.http import Client, Unreachable

    validate_address(args.at)

    async def fetch() -> Any:
        path = f"/job/{args.job}" if args.job else f"/{args.query}"
        return (await Client(args.at, pool_size=0).request("GET", path, timeout=REQUEST_TIMEOUT)).json()

    try:
        answer = asyncio.run(fetch())
    except Unreachable as error:
        print(f"roseweir: no answer: {error}", file=sys.stderr)
        return 1
    if "error" in answer and not args.json:
        print(f"roseweir: {answer['error']}; the leader is {answer['leader'] or 'not known'}", file=sys.stderr)
        return 1
    if args.json:
        print_json(answer)
    else:
        ANSWER_PRINTERS[args.query](answer)
    return 0


def _print_status(answer: dict[str, Any]) -> None:
    for name, value in answer.items():
        if isinstance(value, list):
            for line in value:
                print(f"{name.replace('_', ' '):18} {line}")
        else:
            print(f"{name.replace('_', ' '):18} {'-' if value is None else value}")


def _print_service_levels(answer: dict[str, Any]) -> None:
    columns = ("accepted", "started", "done", "cancelled", "turned_away", "waiting", "tasks_waiting", "tasks_running")
    rows = [("team", "class", *columns, "served")]
    for section, dimension in (("teams", "team"), ("classes", "class")):
        for name, counts in answer[section].items():
            row_key = (name, "*") if dimension == "team" else ("*", name)
            rows.append((*row_key, *(str(counts[c]) for c in columns), f"{counts['served']:.2f}"))
    rows += [(r["team"], r["class"], *(str(r[c]) for c in columns), f"{r['served']:.2f}") for r in answer["rows"]]
    _print_table(rows)
    print()
    largest_columns = ("accepted", "begun", "in_time", "late", "done", "cancelled", "longest_s")
    _print_table(
        [("largest jobs of", *largest_columns)]
        + [(name, *(str(counts[c]) for c in largest_columns)) for name, counts in answer["largest"].items()]
    )
    if answer["gaps"]:
        print(f"ends were lost {answer['gaps']} times, when the record was too old to be made up for")


def _print_table(rows: Sequence[Sequence[str]]) -> None:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def _print_limits(answer: dict[str, Any]) -> None:
    if answer["leader"] != answer["node"]:
        print(f"{answer['node']} does not lead; the limits are kept by {answer['leader'] or 'nobody known'}")
        return
    columns = ("tag", "tokens", "capacity", "window_s", "burst", "draw_cap", "expires_in_s", "skipped", "blocked_s")
    _print_table([columns, *(tuple(str(limit[c]) for c in columns) for limit in answer["limits"])])


# Functions that print the answer of each query, by query name.
ANSWER_PRINTERS: dict[str, Callable[[dict[str, Any]], None]] = {
    "limits": _print_limits,
    "status": _print_status,
    "served": _print_service_levels,
    "forecast": forecast_cli.print_forecast,
}
