"""`roseweir forecast show`, `compare` and `draw`. Libraries of the last two are imported only when these run."""

import argparse
import sys
import time
from collections.abc import Callable, Iterator
from datetime import date
from pathlib import Path
from typing import Any

from roseweir.operator_config import load_operator_config
from roseweir.sexp import SettingsError

LOAD_SCENARIOS = ("weekday-evenings", "sundays", "holiday", "surge", "moved", "guests")
POLICIES = ("none", "reserve", "ahead", "best")
EXTRA_REQUIREMENTS_FILE = "requirements-forecast.txt"


def add_commands(commands: Any, add_query_arguments: Callable[[argparse.ArgumentParser], None]) -> None:
    """Add the subcommands of `forecast`. `add_query_arguments` adds the arguments of a query to a controller."""
    parser = commands.add_parser("forecast", help="what demand is expected, and what renting ahead makes of it")
    tools = parser.add_subparsers(required=True, metavar="TOOL")
    show = tools.add_parser("show", help="what a leader expects next, why, and what it holds ready")
    add_query_arguments(show)
    draw = tools.add_parser("draw", help="draw load with known bursts, for `compare`")
    draw.add_argument("--kind", required=True, choices=LOAD_SCENARIOS, help="which weeks")
    draw.add_argument("--weeks", type=_positive_int, default=6, metavar="N", help="how many (default 6)")
    draw.add_argument("--seed", type=int, default=1, metavar="S", help="the same seed draws the same load (default 1)")
    draw.add_argument(
        "--start",
        type=_parse_date,
        default=date(2026, 3, 30),
        metavar="DAY",
        help="first day, local (2026-03-30, a Monday)",
    )
    draw.add_argument("--out", type=Path, metavar="FILE", help="where to (default: standard output)")
    draw.set_defaults(run=_run_draw)
    compare = tools.add_parser("compare", help="replay recorded load under each policy, in simulated time")
    compare.add_argument("--load", type=Path, required=True, metavar="FILE", help="JSON Lines of submissions with `at`")
    compare.add_argument("--policy", nargs="+", choices=POLICIES, default=list(POLICIES), help="which (default: all)")
    compare.add_argument("--tuning", type=Path, metavar="FILE", help="operators' settings with `renting-ahead`")
    compare.add_argument("--config", type=Path, metavar="FILE", help="the platform's settings (default: made up)")
    compare.add_argument("--catalog", type=Path, metavar="FILE", help="machine types as the cloud lists them")
    compare.add_argument("--time-zone", metavar="ZONE", help="local time, where the tuning has no calendar")
    compare.add_argument(
        "--capacity", type=_positive_int, default=60, metavar="N", help="machines of each type, zone and kind (60)"
    )
    compare.add_argument(
        "--days", type=_positive_int, default=7, metavar="N", help="measure the last N days (default 7)"
    )
    compare.add_argument("--seed", type=int, default=1, metavar="S", help="of boot and run times (default 1)")
    compare.add_argument("--jobs", type=_positive_int, default=4, metavar="N", help="replays at once (default 4)")
    compare.add_argument("--json", action="store_true", help="print one JSON object")
    compare.add_argument("--report", type=Path, metavar="OUT.html", help="write a report with plots")
    compare.set_defaults(run=_run_compare)


def _positive_int(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError("must be at least 1")
    return value


def _parse_date(text: str) -> date:
    try:
        return date.fromisoformat(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text} is not a day like 2026-03-30") from None


def print_forecast(answer: dict[str, Any]) -> None:
    """Print the table of `forecast show`."""
    if not answer["switched_on"]:
        print(f"{answer['node']}: renting ahead is switched off")
        return
    if answer["leader"] != answer["node"]:
        print(f"{answer['node']} does not lead; ask {answer['leader'] or 'nobody known'}")
        return
    if answer.get("broken"):
        print(f"renting ahead has stopped for this term, see the log: {answer['broken']}")
        return
    if "loaded" not in answer:
        print(f"{answer['node']} is taking over")
        return
    print(
        f"{answer['days_known']} days known, {answer['series']} series; "
        f"quantile {answer['quantile']}, {answer['price_an_hour']:.2f} an hour held idle"
    )
    if answer["why_none"]:
        print(f"no forecast: {answer['why_none']}")
    if answer["expected"]:
        columns = ("at", "pool", "low", "middle", "high", "level", "why")
        _print_table([columns, *(tuple(str(e[c]) for c in columns) for e in answer["expected"])])
    if answer["held"]:
        print("held ready:")
        hold_columns = ("pool", "units", "by", "standing", "idle_machines", "renting", "short", "why")
        _print_table([hold_columns, *(tuple(str(h[c]) for c in hold_columns) for h in answer["held"])])


def _print_table(rows: list[tuple[str, ...]]) -> None:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        print("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def _missing_library_error(error: ImportError, tool: str) -> SettingsError:
    return SettingsError(f"forecast {tool} needs `{error.name}`: install {EXTRA_REQUIREMENTS_FILE}")


def _run_draw(args: argparse.Namespace) -> int:
    try:
        import orjson

        from roseweir.forecast.tools.load_generator import LOAD_SCENARIOS as SCENARIOS_BY_NAME
        from roseweir.forecast.tools.load_generator import generate_load
    except ImportError as e:
        raise _missing_library_error(e, "draw") from e

    def encoded_lines() -> Iterator[bytes]:
        for value in generate_load(SCENARIOS_BY_NAME[args.kind], args.weeks, args.seed, args.start):
            yield orjson.dumps(value) + b"\n"

    if args.out is None:
        for line in encoded_lines():
            sys.stdout.buffer.write(line)
        return 0
    try:
        with args.out.open("wb") as file:
            file.writelines(encoded_lines())
    except OSError as e:
        raise SettingsError(f"{args.out}: {e.strerror or e}") from e
    return 0


class _ProgressLogger:
    """Prints progress on standard error, with the seconds since the start."""

    def __init__(self) -> None:
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f"[{time.monotonic() - self._started_at:6.1f} s] {text}", file=sys.stderr, flush=True)


def _run_compare(args: argparse.Namespace) -> int:
    try:
        from roseweir.calendars import parse_calendar
        from roseweir.forecast.settings import PredictiveScalingSettings
        from roseweir.forecast.tools.policy_comparison import ReplayCase, compare, measurement_start
        from roseweir.forecast.tools.recorded_load import read_load
        from roseweir.forecast.tools.simulated_provider import load_provider

        if args.report is not None:
            from roseweir.forecast.tools.html_report import write_report
    except ImportError as e:
        raise _missing_library_error(e, "compare") from e
    import logging

    import orjson
    import sexpdata

    logging.getLogger("roseweir").setLevel(logging.ERROR)
    operator_config = load_operator_config(args.tuning)
    scaling_settings = operator_config.predictive_scaling or PredictiveScalingSettings()
    if args.time_zone is not None:
        if (
            operator_config.predictive_scaling is not None
            and operator_config.predictive_scaling.calendar.time_zone != "UTC"
        ):
            raise SettingsError("--time-zone: the tuning's calendar has one already")
        scaling_settings.calendar.time_zone = parse_calendar([[sexpdata.Symbol("time-zone"), args.time_zone]]).time_zone
    log_progress = _ProgressLogger()
    load = read_load(args.load)
    provider = load_provider(args.config, args.catalog, args.capacity, (arrival.spec.team for arrival in load))
    zone = scaling_settings.calendar.zone
    measured_from = measurement_start(load, args.days, zone)
    log_progress(f"{len(load)} jobs read; the last {args.days} days are measured")
    case = ReplayCase(provider, operator_config, scaling_settings, load, measured_from, args.seed)
    results, bursts = compare(case, args.policy, args.jobs, log_progress)
    answer = {"policies": {r.policy: r.figures | ({} if r.size is None else {"size": r.size}) for r in results}}
    if args.report is not None:
        title = f"Renting ahead: {args.load.name}, last {args.days} days"
        try:
            write_report(args.report, results, bursts, zone, title)
        except OSError as e:
            raise SettingsError(f"{args.report}: {e.strerror or e}") from e
        log_progress(f"report in {args.report}")
    if args.json:
        print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode())
        return 0
    columns = ("policy", "burst mean s", "burst p95 s", "mean s", "p95 s", "idle machine-h", "machine-h", "cost")
    rows: list[tuple[str, ...]] = [columns]
    for result in results:
        figures = result.figures
        numbers = [
            figures["burst"]["wait_mean_s"],
            figures["burst"]["wait_p95_s"],
            figures["wait_mean_s"],
            figures["wait_p95_s"],
        ]
        numbers += [figures["idle_machine_h"], figures["machine_h"], figures["cost"]]
        rows.append((result.policy, *(f"{number:.1f}" for number in numbers)))
    _print_table(rows)
    return 0
