"""Runs an experiment for the policy and its baselines, and compares them."""

import math
from typing import Any

from wigeonspool.load import baselines
from wigeonspool.load import experiment as experiments
from wigeonspool.load import harness


def run_experiment(
    experiment: experiments.Experiment, seed: int | None = None
) -> dict[str, Any]:
    """Returns the figures of each policy on the same arrivals.

    Args:
        experiment: What happens.
        seed: Replaces the seed of the experiment.
    """
    seed = experiment.seed if seed is None else seed
    figures: dict[str, Any] = {}
    for name in experiment.policies:
        fleet = baselines.build_fleet(name, experiment, seed)
        run = harness.Harness(experiment, fleet, seed)
        figures[name] = run.run().summarize()
    alone = experiment.model_copy(update={"faults": []})
    limit = baselines.build_limit(alone)
    run = harness.Harness(alone, limit, seed, harness.UNBOUNDED_SLOTS)
    figures["limit"] = run.run().summarize()
    for name in experiment.policies:
        _add_ratios(figures, name)
    return {"experiment": experiment.name, "seed": seed, "policies": figures}


def _add_ratios(figures: dict[str, Any], name: str) -> None:
    """Adds the ratios to the limit and to the other policies in place."""
    for kind, mine in figures[name]["kinds"].items():
        for other in figures:
            if other == name:
                continue
            theirs = figures[other]["kinds"][kind]
            for quantile in ("p50_ms", "p99_ms", "p99_9_ms"):
                if math.isnan(theirs[quantile]):
                    continue
                mine[f"{quantile[:-3]}_to_{other}"] = (
                    mine[quantile] / theirs[quantile]
                )


def print_figures(result: dict[str, Any]) -> None:
    """Prints the figures of an experiment as tables."""
    print(f"{result['experiment']} (seed {result['seed']})")
    print(
        f"{'policy':<12}{'work':<14}{'offered':>8}{'in time':>9}{'late':>7}"
        f"{'not run':>8}{'unknown':>8}{'p50':>9}{'p99':>9}{'p99.9':>9}"
        f"{'p99/limit':>10}{'refused p99':>12}{'to faulty':>11}"
    )
    for name, figures in result["policies"].items():
        for kind, row in (figures["kinds"] | figures["windows"]).items():
            if not row["offered"]:
                continue
            ratio = row.get("p99_to_limit", float("nan"))
            print(
                f"{name:<12}{kind:<14}{row['offered']:>8}"
                f"{row['answered_in_time']:>9}{row['late']:>7}"
                f"{row['not_run']:>8}{row['unknown'] + row['failed']:>8}"
                f"{row['p50_ms']:>9.2f}{row['p99_ms']:>9.2f}"
                f"{row['p99_9_ms']:>9.2f}{ratio:>10.3f}"
                f"{row['refusal_p99_ms']:>12.2f}"
                f"{row['faulty_share']:>11.3%}"
            )
    for name, figures in result["policies"].items():
        print(
            f"{name:<12}attempts {figures['attempts']}, measuring"
            f" {figures['measuring_requests']} requests"
            f" {figures['measuring_bytes']} bytes, across regions"
            f" {figures['cross_region_bytes']} bytes"
            f" ({figures['cross_region_fraction']:.3%}),"
            f" ran twice {figures['runs_twice']},"
            f" refused but ran {figures['refused_but_ran']},"
            f" crashed targets {figures['crashes']},"
            f" suspected connections {figures['suspected']}"
            f" within {figures['silence_found_ms']:.0f} ms"
        )
