"""A chart of delivery deadlines. Needs matplotlib, which is imported only when a chart is drawn."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from roseweir.sexp import SettingsError

# Maximum number of workflows that one chart shows.
MAX_CHART_ROWS = 80


def _to_axis_date(dates: Any, epoch_ms: int) -> float:
    return float(dates.date2num(datetime.fromtimestamp(epoch_ms / 1000, UTC)))


def draw_chart(answer: dict[str, Any], path: Path) -> None:
    """Draw each workflow of the answer to `promises` as a line from its forecast or durable end to its due time.

    Raises:
        SettingsError: matplotlib is not installed, or the file cannot be written.
    """
    try:
        import matplotlib
    except ImportError:
        raise SettingsError("--draw needs matplotlib: pip install -r requirements-forecast.txt") from None
    matplotlib.use("Agg")
    from matplotlib import dates, pyplot

    colours = {"kept": "tab:green", "on course": "tab:blue", "at risk": "tab:orange", "superseded": "tab:gray"}
    rows = answer["promises"][:MAX_CHART_ROWS]
    figure, axes = pyplot.subplots(figsize=(9, 1.5 + 0.22 * max(1, len(rows))))
    for row_number, row in enumerate(rows):
        colour = colours.get(row["state"], "tab:red")
        end_ms = row["ended_ms"] if row["ended_ms"] is not None else row["due_ms"] - row["slack_s"] * 1000
        end_date, due_date = (_to_axis_date(dates, epoch_ms) for epoch_ms in (end_ms, row["due_ms"]))
        axes.plot([end_date, due_date], [row_number, row_number], color=colour, linewidth=1)
        axes.plot([end_date], [row_number], "o", color=colour)
        axes.plot([due_date], [row_number], "|", color="black")
    axes.set_yticks(range(len(rows)), [f"{row['chain']} ({row['state']})" for row in rows], fontsize=6)
    axes.invert_yaxis()
    axes.xaxis_date()
    axes.set_title("End, forecast or durable (dot), and what was promised (bar), UTC")
    figure.autofmt_xdate()
    figure.tight_layout()
    try:
        figure.savefig(path)
    except (OSError, ValueError) as e:
        raise SettingsError(f"--draw: {path}: {e}") from e
    pyplot.close(figure)
