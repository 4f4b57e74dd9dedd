"""The command line: `roseweir serve`, `check-config`, `status` and the operators' verbs of each slice."""

import argparse
import asyncio
import logging
import os
import sys
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

from roseweir import __version__
from roseweir.asking import address
from roseweir.chains import cli as chains
from roseweir.drain import cli as drain
from roseweir.forecast import cli as forecast
from roseweir.forms import SettingsError
from roseweir.promises import cli as promises
from roseweir.settings import Settings, load_settings
from roseweir.tuning import Tuning, load_tuning

PATIENCE = timedelta(seconds=3)
TUNING = "ROSEWEIR_TUNING"
LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO, "debug": logging.DEBUG}


def main(argv: Sequence[str] | None = None) -> int:
    args = _parser().parse_args(drain.named_first(sys.argv[1:] if argv is None else argv))
    try:
        result: int = args.run(args)
        return result
    except SettingsError as e:
        print(f"roseweir: {e}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="roseweir", description="A cluster scheduler.")
    parser.add_argument("--version", action="version", version=f"roseweir {__version__}")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")

    def files(command: argparse.ArgumentParser) -> None:
        command.add_argument(
            "--config", type=Path, required=True, metavar="FILE", help="the platform's settings (JSON)"
        )
        command.add_argument(
            "--tuning",
            type=Path,
            metavar="FILE",
            help=f"operators' own settings (S-expressions); default: ${TUNING}",
        )

    serve = commands.add_parser("serve", help="run a controller until it is killed")
    files(serve)
    serve.set_defaults(run=_serve)
    check = commands.add_parser("check-config", help="check settings files and say what is wrong")
    files(check)
    check.set_defaults(run=_check)

    def question(ask: argparse.ArgumentParser, what: str) -> None:
        ask.add_argument("--at", required=True, metavar="HOST:PORT", help="a controller's own address (`back`)")
        ask.add_argument("--json", action="store_true", help="print the answer as it came")
        ask.set_defaults(run=_ask, what=what, job=None)

    question(commands.add_parser("limits", help="show the startup limits in force"), "limits")
    status = commands.add_parser("status", help="show what a controller knows")
    question(status, "status")
    status.add_argument("--job", metavar="ID", help="what an unfinished job waits for; ask the leader")
    question(commands.add_parser("served", help="show who is served, by team and class; ask the leader"), "served")
    drain.add_commands(commands)
    chains.add_commands(commands)
    promises.add_commands(commands)
    forecast.add_commands(commands, lambda ask: question(ask, "forecast"))
    return parser


def _load(args: argparse.Namespace) -> tuple[Settings, Tuning]:
    tuning: Path | None = args.tuning
    if tuning is None and os.environ.get(TUNING):
        tuning = Path(os.environ[TUNING])
    return load_settings(args.config), load_tuning(tuning)


def _serve(args: argparse.Namespace) -> int:
    settings, tuning = _load(args)
    wanted = os.environ.get("LOG_LEVEL", "info").lower()
    if wanted not in LEVELS:
        raise SettingsError(f"LOG_LEVEL: unknown level `{wanted}`, expected one of {', '.join(LEVELS)}")
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[wanted], format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    import uvloop

    from roseweir.service import Service

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(Service(settings, tuning).run())
    except OSError as e:
        print(f"roseweir: cannot serve: {e}", file=sys.stderr)
        return 1
    return 0


def _check(args: argparse.Namespace) -> int:
    settings, tuning = _load(args)
    print(
        f"{settings.name}: {len(settings.peers)} peers, {len(settings.params.teams)} teams, "
        f"{len(settings.params.objectives)} objectives, {len(tuning.class_limits)} class limits"
        + (", renting ahead" if tuning.ahead is not None else "")
        + (f", {len(tuning.drain.budgets)} budgets of disruption" if tuning.drain is not None else "")
        + (", replaces machines by itself" if tuning.drain is not None and tuning.drain.own is not None else "")
    )
    return 0


def _ask(args: argparse.Namespace) -> int:
    from roseweir.http import Client, Unreachable

    address(args.at)

    async def ask() -> Any:
        path = f"/job/{args.job}" if args.job else f"/{args.what}"
        return (await Client(args.at, pool=0).request("GET", path, patience=PATIENCE)).json()

    try:
        answer = asyncio.run(ask())
    except Unreachable as e:
        print(f"roseweir: no answer: {e}", file=sys.stderr)
        return 1
    if "error" in answer and not args.json:
        print(f"roseweir: {answer['error']}; the leader is {answer['leader'] or 'not known'}", file=sys.stderr)
        return 1
    if args.json:
        import orjson

        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
    elif args.what == "limits":
        _print_limits(answer)
    elif args.what == "served":
        _print_served(answer)
    elif args.what == "forecast":
        forecast.print_forecast(answer)
    else:
        for name, value in answer.items():
            if isinstance(value, list):
                for line in value:
                    print(f"{name.replace('_', ' '):18} {line}")
            else:
                print(f"{name.replace('_', ' '):18} {'-' if value is None else value}")
    return 0


def _print_served(answer: dict[str, Any]) -> None:
    columns = ("accepted", "started", "done", "cancelled", "turned_away", "waiting", "tasks_waiting", "tasks_running")
    rows = [("team", "class", *columns, "served")]
    for kind, of in (("teams", "team"), ("classes", "class")):
        for name, at in answer[kind].items():
            who = (name, "*") if of == "team" else ("*", name)
            rows.append((*who, *(str(at[c]) for c in columns), f"{at['served']:.2f}"))
    rows += [(r["team"], r["class"], *(str(r[c]) for c in columns), f"{r['served']:.2f}") for r in answer["rows"]]
    _print_table(rows)
    print()
    largest = ("accepted", "begun", "in_time", "late", "done", "cancelled", "longest_s")
    _print_table(
        [("largest jobs of", *largest)]
        + [(name, *(str(at[c]) for c in largest)) for name, at in answer["largest"].items()]
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
