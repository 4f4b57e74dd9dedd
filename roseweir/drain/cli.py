"""Command line of drains: `roseweir drain NAME`, `drain status` and `drain stop`."""

import argparse
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any

from roseweir.admin_client import post_command, print_json
from roseweir.drain.model import RESERVED_NAMES
from roseweir.sexp import SettingsError

STATUS_POLL_INTERVAL_S = 2.0


def expand_start_shorthand(argv: Sequence[str]) -> list[str]:
    """`drain NAME ...` is short for `drain start NAME ...`."""
    arguments = list(argv)
    if arguments[:1] == ["drain"] and len(arguments) > 1 and arguments[1] not in (*RESERVED_NAMES, "-h", "--help"):
        arguments.insert(1, "start")
    return arguments


def add_commands(commands: Any) -> None:
    parser = commands.add_parser("drain", help="empty machines within budgets of disruption, and replace them")
    verbs = parser.add_subparsers(required=True, metavar="NAME | status | stop")

    def add_common_arguments(verb: argparse.ArgumentParser, run: Callable[[argparse.Namespace], int]) -> None:
        verb.add_argument("--at", required=True, metavar="HOST:PORT", help="any controller's own address (`back`)")
        verb.add_argument("--json", action="store_true", help="print the answer as it came")
        verb.set_defaults(run=run)

    start = verbs.add_parser("start", help="begin a drain; `drain NAME` is short for it")
    start.add_argument("name", metavar="NAME", help="asked for again by the same name, it is the same drain")
    start.add_argument("--machine", action="append", default=[], metavar="ID", help="this machine; may be repeated")
    start.add_argument("--type", action="append", default=[], metavar="TYPE", help="machines of this type")
    start.add_argument("--zone", action="append", default=[], metavar="ZONE", help="machines in this zone")
    pricing_group = start.add_mutually_exclusive_group()
    pricing_group.add_argument("--spot", action="store_true", help="spot machines only")
    pricing_group.add_argument("--ordinary", action="store_true", help="all but spot machines")
    start.add_argument(
        "--older", type=_parse_seconds, metavar="S", help="machines rented longer ago than this many seconds"
    )
    start.add_argument("--all", action="store_true", help="all machines there are now: replace the fleet")
    start.add_argument("--reason", default="", metavar="TEXT", help="why; shown in `drain status` and the log")
    start.add_argument(
        "--grace", type=_parse_seconds, metavar="S", help="how long to wait for tasks that can't move or save"
    )
    start.add_argument("--deadline", type=_parse_seconds, metavar="S", help="until when, in seconds (default: 3600)")
    start.add_argument(
        "--then", choices=("force", "give-up"), default="give-up", help="at the deadline (default: give-up)"
    )
    start.add_argument("--no-replace", action="store_true", help="rent nothing in their place")
    start.add_argument("--wait", action="store_true", help="show progress until the end; exit 1 if some are left")
    add_common_arguments(start, _start)
    status = verbs.add_parser("status", help="how drains stand, what they wait for, and what each team's budget says")
    status.add_argument("name", nargs="?", metavar="NAME", help="this one alone")
    add_common_arguments(status, _status)
    stop = verbs.add_parser("stop", help="end a drain where it stands; its machines may be used again")
    stop.add_argument("name", metavar="NAME")
    add_common_arguments(stop, _stop)


def _parse_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text} is no number of seconds") from None
    if not 0 < value < 1e8:
        raise argparse.ArgumentTypeError(f"{text}: must be above 0")
    return value


def _start(args: argparse.Namespace) -> int:
    has_selector = args.machine or args.type or args.zone or args.spot or args.ordinary or args.older
    if bool(has_selector) == args.all:
        raise SettingsError("drain: name machines, a type, a zone, a kind or an age; or say --all")
    request = {
        "name": args.name,
        "reason": args.reason,
        "machines": args.machine,
        "types": args.type,
        "zones": args.zone,
        "spot": True if args.spot else False if args.ordinary else None,
        "older_s": args.older,
        "grace_s": args.grace,
        "deadline_s": args.deadline,
        "force": args.then == "force",
        "replace": not args.no_replace,
    }
    answer = post_command(args.at, "/drains", {"verb": "start", "ask": request})
    if args.json:
        print_json(answer)
    else:
        _print_drain(answer["drain"])
    return _print_progress(args.at, args.name) if args.wait else 0


def _status(args: argparse.Namespace) -> int:
    answer = post_command(args.at, "/drains", {"verb": "status"})
    if args.name is not None:
        rows = [row for row in answer["drains"] + answer["ended"] if row["name"] == args.name]
        if not rows:
            raise SettingsError(f"no drain is called {args.name}")
        answer = answer | {"drains": rows, "ended": []}
    if args.json:
        print_json(answer)
    else:
        _print_status(answer)
    return 0


def _stop(args: argparse.Namespace) -> int:
    answer = post_command(args.at, "/drains", {"verb": "stop", "name": args.name})
    if args.json:
        print_json(answer)
    else:
        _print_drain(answer["drain"])
    return 0


def _print_progress(address: str, name: str) -> int:
    """Print a line for each change until the drain has ended; return the exit status."""
    last_line = ""
    while True:
        answer = post_command(address, "/drains", {"verb": "status"})
        row = next((r for r in answer["drains"] + answer["ended"] if r["name"] == name), None)
        if row is None:
            print(f"roseweir: {name} has ended long ago", file=sys.stderr)
            return 1
        line = f"{row['machines_gone']}/{row['machines_chosen']} gone, {_format_state_counts(row)}"
        if row["waits_for"]:
            line += f"; waits for {row['waits_for']}"
        if row["expected_end_in_s"] is not None:
            line += f"; about {row['expected_end_in_s']:.0f} s more"
        if line != last_line:
            last_line = line
            print(line, flush=True)
        if row["ended_s_ago"] is not None:
            print(row["state"])
            return 0 if row["state"] == "done" else 1
        time.sleep(STATUS_POLL_INTERVAL_S)


def _format_state_counts(row: dict[str, Any]) -> str:
    return ", ".join(f"{count} {state}" for state, count in row["machines"].items()) or "none left"


def _print_drain(row: dict[str, Any]) -> None:
    print(f"{row['name']:20} {row['state']}" + (f" ({row['reason']})" if row["reason"] else ""))
    print(f"  machines           {row['machines_gone']} of {row['machines_chosen']} gone, {_format_state_counts(row)}")
    if row["waits_for"]:
        idle_text = "" if row["no_step_for_s"] is None else f", no step for {row['no_step_for_s']:.0f} s"
        print(f"  waits for          {row['waits_for']}{idle_text}")
    if row["deadline_in_s"] is not None:
        end_text = "not known yet" if row["expected_end_in_s"] is None else f"in about {row['expected_end_in_s']:.0f} s"
        print(f"  expected end       {end_text}; deadline in {row['deadline_in_s']:.0f} s, then {row['then']}")


def _print_status(answer: dict[str, Any]) -> None:
    if not answer["on"]:
        print("no drains, and nothing is replaced by itself")
        return
    if answer["broken"]:
        print(f"drains have stopped for this term, see the log: {answer['broken']}")
    for row in answer["drains"]:
        _print_drain(row)
    for row in answer["ended"]:
        print(f"{row['name']:20} {row['state']}, {row['ended_s_ago']:.0f} s ago")
    auto_replacement = answer["own_reasons"]
    if auto_replacement is not None:
        print(
            f"replaced today       {auto_replacement['replaced_today']} of {auto_replacement['machines_a_day']}, "
            f"{auto_replacement['spent_today']} of {auto_replacement['money_a_day']} spent"
        )
        for reason, state_counts in auto_replacement["machines"].items():
            print(f"  {reason:18} " + ", ".join(f"{count} {state}" for state, count in state_counts.items()))
        for breaker in auto_replacement["brakes"]:
            print(
                f"  {breaker['reason']} stopped for {breaker['type']}, {breaker['lifts_in_s']} s more: {breaker['why']}"
            )
    for row in answer["types"]:
        print(
            f"type {row['type']:15} {row['missing']} missing of {row['may_be_missing']}, "
            f"{row['ready_to_replace']} ready{', sold out' if row['sold_out'] else ''}"
        )
    for row in answer["budgets"]:
        cause_counts = ", ".join(f"{count} {cause}" for cause, count in row["by"].items())
        job_class_suffix = f" {row['class']}" if row["class"] else ""
        print(
            f"team {row['team']}{job_class_suffix}: {row['down']} of {row['may_be_down']} tasks down, "
            f"{row['running']} run" + (f" ({cause_counts})" if cause_counts else "")
        )
