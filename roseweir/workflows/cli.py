"""Commands `roseweir amend` and `roseweir chains`: send amendments; list, show, stop and resume workflows."""

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from roseweir.admin_client import post_command, print_json, validate_address
from roseweir.sexp import SettingsError

WORKFLOWS_PATH = "/chains"
POLL_INTERVAL_S = 2.0
# Maximum number of times that an amendment is sent while the leader asks to retry later.
MAX_AMEND_ATTEMPTS = 40


def add_commands(commands: Any) -> None:
    """Add the commands to the subparsers of the command line."""
    amend_parser = commands.add_parser(
        "amend", help="send an amendment: its chain of jobs is taken, whole or not at all"
    )
    amend_parser.add_argument("file", metavar="FILE", help="the amendment (JSON); `-`: standard input")
    _add_common_arguments(amend_parser, _run_amend)
    amend_parser.add_argument(
        "--wait", action="store_true", help="show progress until the chain is over; exit 1 if not done"
    )
    chains_parser = commands.add_parser("chains", help="how chains stand, what they wait for; stop or resume one")
    verb_parsers = chains_parser.add_subparsers(required=True, metavar="list | show | stop | resume")
    _add_common_arguments(verb_parsers.add_parser("list", help="those that stand still first"), _run_list)
    show_parser = verb_parsers.add_parser("show", help="one chain, step by step")
    show_parser.add_argument("name", metavar="ID")
    _add_common_arguments(show_parser, _run_show)
    show_parser.add_argument("--wait", action="store_true", help="show progress until it is over; exit 1 if not done")
    for verb, help_text in (("stop", "what has not begun waits"), ("resume", "go on, with fresh attempts")):
        verb_parser = verb_parsers.add_parser(verb, help=help_text)
        verb_parser.add_argument("name", metavar="ID")
        _add_common_arguments(verb_parser, _run_stop_or_resume, verb=verb)


def _add_common_arguments(
    parser: argparse.ArgumentParser, run: Callable[[argparse.Namespace], int], **extra_defaults: Any
) -> None:
    parser.add_argument("--at", required=True, metavar="HOST:PORT", help="any controller's own address (`back`)")
    parser.add_argument("--json", action="store_true", help="print the answer as it came")
    parser.set_defaults(run=run, **extra_defaults)


def _run_amend(args: argparse.Namespace) -> int:
    from roseweir.workflows.amendment_validation import parse_amendment
    from roseweir.workflows.errors import WorkflowRejected

    validate_address(args.at)
    try:
        body = sys.stdin.buffer.read() if args.file == "-" else Path(args.file).read_bytes()
    except OSError as e:
        raise SettingsError(f"{args.file}: {e.strerror or e}") from e
    try:
        amendment = orjson.loads(body)
        parse_amendment(amendment)
    except orjson.JSONDecodeError as e:
        raise SettingsError(f"{args.file}: not JSON: {e}") from e
    except WorkflowRejected as e:
        raise SettingsError(f"{args.file}: {e}") from e
    answer = post_command(args.at, WORKFLOWS_PATH, {"verb": "amend", "amendment": amendment}, MAX_AMEND_ATTEMPTS)
    if args.json:
        print_json(answer)
    else:
        _print_workflow(answer["chain"])
    return _poll_until_ended(args.at, answer["chain"]["id"]) if args.wait else 0


def _run_list(args: argparse.Namespace) -> int:
    answer = post_command(args.at, WORKFLOWS_PATH, {"verb": "list"})
    if args.json:
        print_json(answer)
        return 0
    print(", ".join(f"{n} {state}" for state, n in answer["counts"].items()) or "no chains")
    for row in answer["chains"]:
        progress = f"{row['steps_over']}/{row['steps']} steps"
        print(f"{row['id']:24} {row['state']:11} {progress:12} {row['waits_for'] or ''}".rstrip())
    return 0


def _run_show(args: argparse.Namespace) -> int:
    answer = post_command(args.at, WORKFLOWS_PATH, {"verb": "list", "name": args.name})
    if args.json:
        print_json(answer)
    else:
        _print_workflow(answer["chain"])
    return _poll_until_ended(args.at, args.name) if args.wait else 0


def _run_stop_or_resume(args: argparse.Namespace) -> int:
    answer = post_command(args.at, WORKFLOWS_PATH, {"verb": args.verb, "name": args.name})
    if args.json:
        print_json(answer)
    else:
        _print_workflow(answer["chain"])
    return 0


def _poll_until_ended(at: str, workflow_id: str) -> int:
    """Print a line for each change until the workflow ends or is blocked; return the exit code."""
    last_line = ""
    while True:
        row = post_command(at, WORKFLOWS_PATH, {"verb": "list", "name": workflow_id})["chain"]
        line = f"{row['state']}: {row['steps_over']}/{row['steps']} steps over"
        if row["waits_for"]:
            line += f"; waits for {row['waits_for']}"
        if line != last_line:
            last_line = line
            print(line, flush=True)
        if row["ended_s_ago"] is not None:
            return 0 if row["state"] == "done" else 1
        if row["state"] in ("standing", "stopped"):
            return 1
        time.sleep(POLL_INTERVAL_S)


def _print_workflow(row: dict[str, Any]) -> None:
    print(f"{row['id']:24} {row['state']}, revision {row['revision']}, {row['lots']} lots, team {row['team']}")
    if row["waits_for"]:
        print(f"  waits for              {row['waits_for']}")
    for step in row.get("detail", ()):
        dependencies_text = f" after {', '.join(step['follows'])}" if step["follows"] else ""
        tasks_text = f", {step['tasks_done']}/{step['tasks']} tasks" if step["tasks"] is not None else ""
        print(f"  {step['job']:22} {step['class']}: {step['state']}{tasks_text}{dependencies_text}")
