"""Command `roseweir promises`: print or draw the delivery deadlines that the leader reports."""

import argparse
from datetime import date
from pathlib import Path
from typing import Any

from roseweir.admin_client import post_command, print_json
from roseweir.delivery_deadlines.chart import draw_chart

DEADLINES_PATH = "/promises"


def add_commands(commands: Any) -> None:
    """Add the command to the subparsers of the command line."""
    parser = commands.add_parser(
        "promises", help="which amended lots will be in the viewer in time, those at risk first"
    )
    parser.add_argument("--at", required=True, metavar="HOST:PORT", help="any controller's own address (`back`)")
    parser.add_argument("--json", action="store_true", help="print the answer as it came")
    parser.add_argument(
        "--night", type=_parse_date, default="", metavar="DATE", help="one night, by its morning's date"
    )
    parser.add_argument("--draw", type=Path, metavar="FILE.png", help="a picture of it (needs matplotlib)")
    parser.set_defaults(run=_run_promises)


def _parse_date(text: str) -> str:
    try:
        return date.fromisoformat(text).isoformat()
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text} is no date like 2026-12-03") from None


def _run_promises(args: argparse.Namespace) -> int:
    answer = post_command(args.at, DEADLINES_PATH, {"night": args.night} if args.night else {})
    if args.draw is not None:
        draw_chart(answer, args.draw)
    if args.json:
        print_json(answer)
        return 0
    for row in answer["promises"]:
        due_text = f"due in {row['due_in_s']} s" if row["due_in_s"] >= 0 else f"due {-row['due_in_s']} s ago"
        lots_text = f"{row['lots_in_viewer']}/{row['lots']} lots there"
        waiting_text = f"; {row['waits_for']}" if row["waits_for"] else ""
        print(
            f"{row['chain']:24} {row['state']:24} {row['stage']:16} "
            f"{due_text}, slack {row['slack_s']} s, {lots_text}{waiting_text}"
        )
    for night in answer["nights"]:
        if args.night in ("", night["night"]):
            delaying_steps = ", ".join(f"{n} by {step}" for step, n in night["late_by_step"].items())
            worst_text = f", the worst by {night['worst_late_s']} s" if night["late"] else ""
            print(
                f"night to {night['night']}: {night['promised']} lots promised, {night['kept']} kept, "
                f"{night['late']} late{worst_text}{f' ({delaying_steps})' if delaying_steps else ''}, "
                f"{night['superseded']} superseded"
            )
    return 0
