"""HTML page that compares the policy with its baselines in experiments.

Tables and plots use the results that `decide` prints, so every number on the
page can be printed again by a command.
"""

from collections.abc import Iterator, Sequence
import html
import io
import math
from typing import Any, Final

from matplotlib import figure as matplotlib_figure

from wigeonspool.load import experiment as experiments

Result = dict[str, Any]

PLOT_WIDTH_INCHES: Final = 9.0
PLOT_HEIGHT_INCHES: Final = 3.2
BAR_GROUP_WIDTH: Final = 0.8
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
    experiment_results: Sequence[tuple[experiments.Experiment, Result]],
) -> str:
    """Returns an HTML page with a section for each experiment.

    Args:
        experiment_results: Experiments, each with the result that
            `decide.run_experiment` returned.
    """
    sections = [
        _build_section(experiment, result)
        for experiment, result in experiment_results
    ]
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


def _build_section(experiment: experiments.Experiment, result: Result) -> str:
    """Returns the section of one experiment."""
    title = html.escape(f"{result['experiment']} (seed {result['seed']})")
    return "\n".join(
        [
            f"<h2>{title}</h2>",
            f"<p>{html.escape(experiment.about)}</p>",
            _draw_plot(result),
            _build_table(result),
        ]
    )


def _list_rows(result: Result) -> Iterator[tuple[str, str, dict[str, float]]]:
    """Yields policy, kind or window, and statistics, if it had requests."""
    for policy, statistics in result["policies"].items():
        for kind, row in (statistics["kinds"] | statistics["windows"]).items():
            if row["offered"]:
                yield policy, kind, row


def _build_table(result: Result) -> str:
    """Returns the results of an experiment as an HTML table."""
    header_cells = "".join(f"<th>{title}</th>" for title, _, _ in COLUMNS)
    lines = [f"<table><tr><th>policy</th><th>work</th>{header_cells}</tr>"]
    for policy, kind, row in _list_rows(result):
        cells = "".join(
            f"<td>{_format_value(row, key, value_format)}</td>"
            for _, key, value_format in COLUMNS
        )
        names = f"<td>{html.escape(policy)}</td><td>{html.escape(kind)}</td>"
        lines.append(f"<tr>{names}{cells}</tr>")
    return "\n".join([*lines, "</table>"])


def _format_value(row: dict[str, float], key: str, value_format: str) -> str:
    """Returns a value as text; empty if it is missing or NaN."""
    value = row.get(key, math.nan)
    return "" if math.isnan(value) else value_format.format(value)


def _draw_plot(result: Result) -> str:
    """Returns an SVG of p99 and of the fraction answered in time."""
    figure = matplotlib_figure.Figure(
        figsize=(PLOT_WIDTH_INCHES, PLOT_HEIGHT_INCHES), layout="constrained"
    )
    left, right = figure.subplots(1, 2)
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
    figure.legend(
        *right.get_legend_handles_labels(),
        loc="outside right upper",
        fontsize="small",
    )
    svg = io.StringIO()
    figure.savefig(svg, format="svg", metadata={"Date": None})
    return svg.getvalue()[svg.getvalue().index("<svg") :]


def _draw_bars(axes: Any, bars: Sequence[tuple[str, str, float]]) -> None:
    """Draws a group of bars for each kind, with one bar for each policy.

    Args:
        axes: Axes to draw on.
        bars: Policy, kind and height of each bar.
    """
    kinds = list(dict.fromkeys(kind for _, kind, _ in bars))
    policies = list(dict.fromkeys(policy for policy, _, _ in bars))
    width = BAR_GROUP_WIDTH / len(policies)
    for index, policy in enumerate(policies):
        policy_bars = [(kinds.index(k), v) for p, k, v in bars if p == policy]
        axes.bar(
            [at + index * width for at, _ in policy_bars],
            [value for _, value in policy_bars],
            width,
            label=policy,
        )
    group_center = BAR_GROUP_WIDTH / 2 - width / 2
    axes.set_xticks([at + group_center for at in range(len(kinds))], kinds)
    axes.tick_params("x", labelrotation=30)
