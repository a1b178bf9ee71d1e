"""Runs an experiment with the policy and its baselines and compares them."""

import math
from typing import Any

from wigeonspool.load import baselines
from wigeonspool.load import experiment as experiments
from wigeonspool.load import simulation


def run_experiment(
    experiment: experiments.Experiment, seed: int | None = None
) -> dict[str, Any]:
    """Returns the results of each policy on the same arrivals.

    Args:
        experiment: Experiment to run.
        seed: Seed of all random choices; None uses that of the experiment.

    Returns:
        The name of the experiment, the seed and, as "policies", the statistics
        by policy with ratios of their quantiles. The policy "limit" is a run
        without faults or queueing, on targets with unlimited slots.

    Raises:
        SettingsError: If the experiment names an unknown policy.
    """
    seed = experiment.seed if seed is None else seed
    results: dict[str, Any] = {}
    for name in experiment.policies:
        fleet = baselines.build_fleet(name, experiment, seed)
        simulated = simulation.Simulation(experiment, fleet, seed)
        results[name] = simulated.run().summarize()
    without_faults = experiment.model_copy(update={"faults": []})
    limit_fleet = baselines.build_limit_fleet(without_faults)
    simulated = simulation.Simulation(
        without_faults, limit_fleet, seed, simulation.UNLIMITED_SLOTS
    )
    results["limit"] = simulated.run().summarize()
    for name in experiment.policies:
        _add_ratios(results, name)
    return {"experiment": experiment.name, "seed": seed, "policies": results}


def _add_ratios(results: dict[str, Any], policy: str) -> None:
    """Adds ratios to the statistics of a policy, in place.

    They divide its quantiles by those of each other policy and of the limit.

    Args:
        results: Statistics by policy.
        policy: Policy whose statistics get the ratios.
    """
    for kind, statistics in results[policy]["kinds"].items():
        for other in results:
            if other == policy:
                continue
            other_statistics = results[other]["kinds"][kind]
            for quantile in ("p50_ms", "p99_ms", "p99_9_ms"):
                if math.isnan(other_statistics[quantile]):
                    continue
                statistics[f"{quantile[:-3]}_to_{other}"] = (
                    statistics[quantile] / other_statistics[quantile]
                )


def print_results(result: dict[str, Any]) -> None:
    """Prints the results of an experiment as tables."""
    print(f"{result['experiment']} (seed {result['seed']})")
    print(
        f"{'policy':<12}{'work':<14}{'offered':>8}{'in time':>9}{'late':>7}"
        f"{'not run':>8}{'unknown':>8}{'p50':>9}{'p99':>9}{'p99.9':>9}"
        f"{'p99/limit':>10}{'refused p99':>12}{'to faulty':>11}"
    )
    for name, statistics in result["policies"].items():
        for kind, row in (statistics["kinds"] | statistics["windows"]).items():
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
    for name, statistics in result["policies"].items():
        print(
            f"{name:<12}attempts {statistics['attempts']}, measuring"
            f" {statistics['measuring_requests']} requests"
            f" {statistics['measuring_bytes']} bytes, across regions"
            f" {statistics['cross_region_bytes']} bytes"
            f" ({statistics['cross_region_fraction']:.3%}),"
            f" ran twice {statistics['runs_twice']},"
            f" refused but ran {statistics['refused_but_ran']},"
            f" crashed targets {statistics['crashes']},"
            f" suspected connections {statistics['suspected']}"
            f" within {statistics['silence_found_ms']:.0f} ms"
        )
