"""Writes the HTML report of a comparison: one file with embedded plots."""

from datetime import UTC, datetime, tzinfo
from importlib.resources import files
from io import StringIO
from pathlib import Path
from typing import Any

import jinja2
import markupsafe
import matplotlib
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter

from roseweir.forecast.tools.policy_comparison import Burst, PolicyResult

matplotlib.rcParams["svg.hashsalt"] = "roseweir"  # equal results give identical files
POLICY_COLOURS = {"none": "#9a3b3b", "reserve": "#8a7a2f", "ahead": "#2f6f8a", "best": "#5a8a4a"}


def write_report(path: Path, results: list[PolicyResult], bursts: list[Burst], zone: tzinfo, title: str) -> None:
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True)
    template = environment.from_string(files(__package__).joinpath("report.html.j2").read_text())
    page = template.render(
        title=title,
        results=results,
        bursts=bursts,
        zone=str(zone),
        demand=_render_svg(_plot_demand(results, zone)),
        waits=_render_svg(_plot_waits(results)),
        by_burst=_render_svg(_plot_bursts(results, bursts)),
    )
    path.write_text(page)


def _render_svg(figure: Figure) -> Any:
    out = StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None}, bbox_inches="tight")
    text = out.getvalue()
    return markupsafe.Markup(text[text.index("<svg") :])


def _plot_demand(results: list[PolicyResult], zone: tzinfo) -> Figure:
    """CPUs asked for, available, and needed by the forecast, for each policy."""
    figure = Figure(figsize=(11, 2.1 * len(results)))
    axes = figure.subplots(len(results), 1, sharex=True, squeeze=False)
    for axis, result in zip(axes[:, 0], results, strict=True):
        times = [datetime.fromtimestamp(at, UTC).astimezone(zone) for at, *_ in result.outcome.timeline]
        offered_units, available_units, needed_units = (
            [point[n] for point in result.outcome.timeline] for n in (1, 2, 3)
        )
        axis.fill_between(times, offered_units, color="#c9c9c9", label="asked for at once", step="post")
        axis.plot(
            times,
            available_units,
            color=POLICY_COLOURS[result.policy],
            linewidth=0.9,
            label="standing",
            drawstyle="steps-post",
        )
        if any(needed_units):
            axis.plot(times, needed_units, color="#444444", linewidth=0.6, linestyle=":", label="to stand ready")
        axis.set_ylabel("CPUs")
        axis.set_title(result.policy, loc="left", fontsize=9)
        axis.legend(fontsize=7, loc="upper right")
    figure.autofmt_xdate()
    return figure


def _plot_waits(results: list[PolicyResult]) -> Figure:
    """For each wait time, the share of tasks that waited longer."""
    figure = Figure(figsize=(7, 3.2))
    axes = figure.subplots()
    for result in results:
        waits = sorted(max(0.1, start.wait_s) for start in result.outcome.starts)
        if waits:
            shares = [1 - n / len(waits) for n in range(len(waits))]
            axes.plot(waits, shares, color=POLICY_COLOURS[result.policy], label=result.policy)
    axes.set_xscale("log")
    axes.set_xlabel("wait (s)")
    axes.set_ylabel("part of the tasks that wait longer")
    axes.yaxis.set_major_formatter(FuncFormatter(lambda share, _: f"{share:.0%}"))
    axes.legend()
    return figure


def _plot_bursts(results: list[PolicyResult], bursts: list[Burst]) -> Figure:
    figure = Figure(figsize=(11, 3.2))
    axes = figure.subplots()
    width = 0.8 / max(1, len(results))
    for number, result in enumerate(results):
        heights = [result.figures["by_burst"][burst.name]["wait_p95_s"] for burst in bursts]
        bar_positions = [n + number * width for n in range(len(bursts))]
        axes.bar(bar_positions, heights, width, color=POLICY_COLOURS[result.policy], label=result.policy)
    axes.set_xticks(
        [n + 0.4 - width / 2 for n in range(len(bursts))], [b.name for b in bursts], rotation=30, ha="right"
    )
    axes.set_ylabel("p95 of the wait (s)")
    axes.legend()
    return figure
