"""`roseweir amend` and `roseweir chains`."""

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from roseweir.asking import address, post, print_json
from roseweir.forms import SettingsError

PATH = "/chains"
LOOK = 2.0
# An amendment that may not be taken yet is sent again for so long.
TRIES = 40


def add_commands(commands: Any) -> None:
    amend = commands.add_parser("amend", help="send an amendment: its chain of jobs is taken, whole or not at all")
    amend.add_argument("file", metavar="FILE", help="the amendment (JSON); `-`: standard input")
    _common(amend, _amend)
    amend.add_argument("--wait", action="store_true", help="show progress until the chain is over; exit 1 if not done")
    chains = commands.add_parser("chains", help="how chains stand, what they wait for; stop or resume one")
    verbs = chains.add_subparsers(required=True, metavar="list | show | stop | resume")
    _common(verbs.add_parser("list", help="those that stand still first"), _list)
    show = verbs.add_parser("show", help="one chain, step by step")
    show.add_argument("name", metavar="ID")
    _common(show, _show)
    show.add_argument("--wait", action="store_true", help="show progress until it is over; exit 1 if not done")
    for verb, text in (("stop", "what has not begun waits"), ("resume", "go on, with fresh attempts")):
        parser = verbs.add_parser(verb, help=text)
        parser.add_argument("name", metavar="ID")
        _common(parser, _turn, verb=verb)


def _common(parser: argparse.ArgumentParser, run: Callable[[argparse.Namespace], int], **more: Any) -> None:
    parser.add_argument("--at", required=True, metavar="HOST:PORT", help="any controller's own address (`back`)")
    parser.add_argument("--json", action="store_true", help="print the answer as it came")
    parser.set_defaults(run=run, **more)


def _amend(args: argparse.Namespace) -> int:
    from roseweir.chains.model import Refused, read

    address(args.at)
    try:
        raw = sys.stdin.buffer.read() if args.file == "-" else Path(args.file).read_bytes()
    except OSError as e:
        raise SettingsError(f"{args.file}: {e.strerror or e}") from e
    try:
        value = orjson.loads(raw)
        read(value)
    except orjson.JSONDecodeError as e:
        raise SettingsError(f"{args.file}: not JSON: {e}") from e
    except Refused as e:
        raise SettingsError(f"{args.file}: {e}") from e
    answer = post(args.at, PATH, {"verb": "amend", "amendment": value}, TRIES)
    if args.json:
        print_json(answer)
    else:
        _print_chain(answer["chain"])
    return _watch(args.at, answer["chain"]["id"]) if args.wait else 0


def _list(args: argparse.Namespace) -> int:
    answer = post(args.at, PATH, {"verb": "list"})
    if args.json:
        print_json(answer)
        return 0
    print(", ".join(f"{n} {state}" for state, n in answer["counts"].items()) or "no chains")
    for row in answer["chains"]:
        done = f"{row['steps_over']}/{row['steps']} steps"
        print(f"{row['id']:24} {row['state']:11} {done:12} {row['waits_for'] or ''}".rstrip())
    return 0


def _show(args: argparse.Namespace) -> int:
    answer = post(args.at, PATH, {"verb": "list", "name": args.name})
    if args.json:
        print_json(answer)
    else:
        _print_chain(answer["chain"])
    return _watch(args.at, args.name) if args.wait else 0


def _turn(args: argparse.Namespace) -> int:
    answer = post(args.at, PATH, {"verb": args.verb, "name": args.name})
    if args.json:
        print_json(answer)
    else:
        _print_chain(answer["chain"])
    return 0


def _watch(at: str, name: str) -> int:
    """A line for each change until the chain is over."""
    said = ""
    while True:
        row = post(at, PATH, {"verb": "list", "name": name})["chain"]
        line = f"{row['state']}: {row['steps_over']}/{row['steps']} steps over"
        if row["waits_for"]:
            line += f"; waits for {row['waits_for']}"
        if line != said:
            said = line
            print(line, flush=True)
        if row["ended_s_ago"] is not None:
            return 0 if row["state"] == "done" else 1
        if row["state"] in ("standing", "stopped"):
            return 1
        time.sleep(LOOK)


def _print_chain(row: dict[str, Any]) -> None:
    print(f"{row['id']:24} {row['state']}, revision {row['revision']}, {row['lots']} lots, team {row['team']}")
    if row["waits_for"]:
        print(f"  waits for              {row['waits_for']}")
    for step in row.get("detail", ()):
        follows = f" after {', '.join(step['follows'])}" if step["follows"] else ""
        tasks = f", {step['tasks_done']}/{step['tasks']} tasks" if step["tasks"] is not None else ""
        print(f"  {step['job']:22} {step['class']}: {step['state']}{tasks}{follows}")
