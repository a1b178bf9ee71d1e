"""Makes one HTML page of experiments, the policy beside its baselines.

Figures and plots come from the same results as the tables of `decide`, so
the page says nothing that a command cannot print again.
"""

from collections.abc import Iterator, Sequence
import html
import io
import math
from typing import Any, Final

from matplotlib import figure as figures

from wigeonspool.load import experiment as experiments

Result = dict[str, Any]

WIDTH_INCHES: Final = 9.0
HEIGHT_INCHES: Final = 3.2
GROUP_WIDTH: Final = 0.8
COLUMNS: Final = (
    ("offered", "offered", "{:.0f}"),
    ("in time", "answered_in_time", "{:.0f}"),
    ("late", "late", "{:.0f}"),
    ("not run", "not_run", "{:.0f}"),
    ("unknown", "unknown", "{:.0f}"),
    ("failed", "failed", "{:.0f}"),
    ("p50 ms", "p50_ms", "{:.2f}"),
    ("p99 ms", "p99_ms", "{:.2f}"),
    ("p99.9 ms", "p99_9_ms", "{:.2f}"),
    ("p99 / limit", "p99_to_limit", "{:.3f}"),
)
STYLE: Final = (
    "body{font-family:sans-serif;max-width:70em;margin:2em auto}"
    "table{border-collapse:collapse}"
    "td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}"
    "td:first-child,td:nth-child(2){text-align:left}"
)


def build_page(
    listed: Sequence[tuple[experiments.Experiment, Result]],
) -> str:
    """Returns an HTML page with a section for each experiment.

    Args:
        listed: Experiments and what `decide.run_experiment` returned.
    """
    sections = [_build_section(about, result) for about, result in listed]
    return "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            "<title>wigeonspool: experiments</title>",
            f"<style>{STYLE}</style></head><body>",
            "<h1>Experiments in virtual time</h1>",
            "<p>limit: service time and links alone, without any waiting.</p>",
            *sections,
            "</body></html>",
        ]
    )


def _build_section(about: experiments.Experiment, result: Result) -> str:
    """Returns the section of one experiment."""
    title = html.escape(f"{result['experiment']} (seed {result['seed']})")
    return "\n".join(
        [
            f"<h2>{title}</h2>",
            f"<p>{html.escape(about.about)}</p>",
            _draw_plot(result),
            _build_table(result),
        ]
    )


def _list_rows(result: Result) -> Iterator[tuple[str, str, dict[str, float]]]:
    """Yields policy, kind of work or window, and figures with any work."""
    for policy, found in result["policies"].items():
        for kind, row in (found["kinds"] | found["windows"]).items():
            if row["offered"]:
                yield policy, kind, row


def _build_table(result: Result) -> str:
    """Returns the figures of an experiment as an HTML table."""
    head = "".join(f"<th>{title}</th>" for title, _, _ in COLUMNS)
    lines = [f"<table><tr><th>policy</th><th>work</th>{head}</tr>"]
    for policy, kind, row in _list_rows(result):
        cells = "".join(
            f"<td>{_format_figure(row, field, form)}</td>"
            for _, field, form in COLUMNS
        )
        names = f"<td>{html.escape(policy)}</td><td>{html.escape(kind)}</td>"
        lines.append(f"<tr>{names}{cells}</tr>")
    return "\n".join([*lines, "</table>"])


def _format_figure(row: dict[str, float], field: str, form: str) -> str:
    """Returns a figure as text, or nothing if there is none."""
    value = row.get(field, math.nan)
    return "" if math.isnan(value) else form.format(value)


def _draw_plot(result: Result) -> str:
    """Returns an SVG of p99 and of the part answered in time."""
    drawing = figures.Figure(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    left, right = drawing.subplots(1, 2)
    rows = list(_list_rows(result))
    _draw_bars(left, [(p, k, row["p99_ms"]) for p, k, row in rows])
    left.set_yscale("log")
    left.set_ylabel("p99 (ms)")
    _draw_bars(
        right,
        [
            (p, k, row["answered_in_time"] / row["offered"])
            for p, k, row in rows
        ],
    )
    right.set_ylabel("answered in time / offered")
    drawing.legend(
        *right.get_legend_handles_labels(),
        loc="outside right upper",
        fontsize="small",
    )
    text = io.StringIO()
    drawing.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()[text.getvalue().index("<svg") :]


def _draw_bars(axes: Any, bars: Sequence[tuple[str, str, float]]) -> None:
    """Draws a group of bars for each kind, one bar for each policy."""
    kinds = list(dict.fromkeys(kind for _, kind, _ in bars))
    policies = list(dict.fromkeys(policy for policy, _, _ in bars))
    width = GROUP_WIDTH / len(policies)
    for place, policy in enumerate(policies):
        mine = [(kinds.index(k), v) for p, k, v in bars if p == policy]
        axes.bar(
            [at + place * width for at, _ in mine],
            [value for _, value in mine],
            width,
            label=policy,
        )
    middle = GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([at + middle for at in range(len(kinds))], kinds)
    axes.tick_params("x", labelrotation=30)
