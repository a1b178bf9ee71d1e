"""Command line of the bench: sends load, runs experiments, prints reports."""

import asyncio
import dataclasses
import json
import pathlib
import sys
from typing import Annotated, Final

import cyclopts
import loguru
import uvloop

from wigeonspool.load import control as controls
from wigeonspool.load import cost as costs
from wigeonspool.load import decide as decides
from wigeonspool.load import demo as demos
from wigeonspool.load import drive as drives
from wigeonspool.load import emulation
from wigeonspool.load import emulation_experiment
from wigeonspool.load import experiment as experiments
from wigeonspool.load import report as reports
from wigeonspool.model import errors

EXIT_FAILURE: Final = 1
EXIT_INVALID_SETTINGS: Final = 2

app = cyclopts.App(
    name="wigeonspool-load",
    help="Sends load, runs experiments and checks what was seen.",
)


@app.command
def demo(
    gateway: list[str],
    control: list[str],
    zone: list[str],
    drain: str,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Sends the load of the demo and prints the results.

    Args:
        gateway: Gateways that callers may query first; give one or more.
        control: Control ports of the target stand-ins; give one or more.
        zone: Availability zones of the callers; give one or more.
        drain: Target to drain halfway, of the first control port.
        seconds: Length of the load.
        seed: Seed of all random choices.
    """
    history, verdict = asyncio.run(
        demos.run_demo(gateway, control, zone, seconds, drain, seed)
    )
    demos.print_report(history, verdict)
    if not verdict.has_no_violations():
        sys.exit(EXIT_FAILURE)


@app.command
def decide(
    file: pathlib.Path,
    *,
    seed: int | None = None,
    set_: Annotated[list[str], cyclopts.Parameter(name="--set")] | None = None,
    json_: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> None:
    """Runs an experiment in virtual time with the policy and its baselines.

    Args:
        file: YAML file of the experiment.
        seed: Seed of all random choices, instead of that of the file.
        set_: field=value pairs that replace fields of the file.
        json_: Prints JSON instead of tables.
    """
    try:
        experiment = experiments.read_experiment(file, set_ or ())
        result = decides.run_experiment(experiment, seed)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if json_:
        print(json.dumps(result))
    else:
        decides.print_results(result)


@app.command
def emulate(
    step: list[str] | None = None,
    *,
    file: pathlib.Path | None = None,
    seed: int | None = None,
    set_: Annotated[list[str], cyclopts.Parameter(name="--set")] | None = None,
    json_: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> None:
    """Sends load through the real path of entry VMs, in virtual time.

    Args:
        step: Requests a second and for how many seconds, such as 60x4; give
            one or more, which follow one another, instead of those of the file.
        file: YAML file of the emulation.
        seed: Seed of all random choices, instead of that of the file.
        set_: field=value pairs that replace settings of the emulation.
        json_: Prints JSON instead of a table.
    """
    try:
        experiment = emulation_experiment.build_experiment(
            file, step or (), set_ or (), seed
        )
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    results = emulation_experiment.run_experiment(experiment).counts
    if json_:
        rows = [dataclasses.asdict(each) for each in results.values()]
        print(json.dumps(rows))
    else:
        steps = emulation_experiment.list_load_steps(experiment)
        emulation.print_counts(steps, results)


@app.command
def report(
    files: list[pathlib.Path],
    *,
    out: pathlib.Path = pathlib.Path("report.html"),
    seed: int | None = None,
    set_: Annotated[list[str], cyclopts.Parameter(name="--set")] | None = None,
) -> None:
    """Runs experiments in virtual time and writes one HTML page of results.

    Args:
        files: YAML files of the experiments.
        out: Page to write.
        seed: Seed of all random choices, instead of those of the files.
        set_: field=value pairs that replace fields of every file.
    """
    try:
        loaded = [experiments.read_experiment(f, set_ or ()) for f in files]
        results = [decides.run_experiment(each, seed) for each in loaded]
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    page = reports.build_page(list(zip(loaded, results, strict=True)))
    out.write_text(page, encoding="utf-8")
    print(f"{len(loaded)} experiments written to {out}")


@app.command
def drive(
    experiment: pathlib.Path,
    *,
    pid: int = 0,
    json_: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
) -> None:
    """Measures the latency that a gateway adds and the processor time it uses.

    The processes that the experiment names must be running;
    examples/overhead.sh starts them.

    Args:
        experiment: YAML file of the experiment.
        pid: Process id of the gateway, whose processor time is read.
        json_: Prints one line of JSON instead of tables.
    """
    try:
        options = drives.read_options(experiment)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    report = uvloop.run(drives.run_drive(options, pid))
    if json_:
        print(json.dumps(dataclasses.asdict(report)))
    else:
        drives.print_report(report)
    if report.failed:
        sys.exit(EXIT_FAILURE)


@app.command
def control(
    store: str,
    vm_list: str,
    agents: Annotated[tuple[int, ...], cyclopts.Parameter(negative=())] = (
        20,
        50,
        100,
        200,
    ),
    regions: int = 3,
    services: int = 100,
    targets: int = 500,
    seconds: float = 10.0,
    rate: float = 1.0,
) -> None:
    """Measures the cost of the control plane per node, by size of the fleet.

    Args:
        store: Base URL of a store stand-in.
        vm_list: Base URL of a VM list stand-in.
        agents: Sizes of the fleet.
        regions: Number of regions.
        services: Pools in the tables.
        targets: Targets of all pools together.
        seconds: Length of each of the two measurements of a size.
        rate: Changes a second in the second measurement of a size.
    """
    loguru.logger.remove()
    bench = controls.BenchOptions(store, vm_list, regions, services, targets)
    results = [
        uvloop.run(controls.measure_fleet_size(bench, size, seconds, rate))
        for size in agents
    ]
    controls.print_results(results)


@app.command
def memory(
    store: str,
    pid: int,
    prefix: str = "/wigeonspool/",
    services: int = 1900,
    targets: int = 10_000,
) -> None:
    """Measures the memory of an agent before and after it gets tables.

    Args:
        store: Base URL of the store stand-in that the agent follows.
        pid: Process id of the agent.
        prefix: Key prefix that the agent follows.
        services: Pools in the tables.
        targets: Targets of all pools together.
    """
    bench = controls.BenchOptions(store, "", 1, services, targets)
    coroutine = controls.measure_memory(bench, prefix, pid)
    for name, measured in asyncio.run(coroutine):
        print(
            f"{name}: resident {measured.resident:.1f} MiB,"
            f" private {measured.private:.1f}, shared {measured.shared:.1f}"
        )


@app.command
def cost(
    requests: int = 20_000, repeats: int = 5, explained: float = 0.0
) -> None:
    """Measures processor time and memory of a decision, by pool size.

    Args:
        requests: Requests measured in each run.
        repeats: Runs of each size; the sizes take turns.
        explained: Fraction of the requests whose decisions are recorded.
    """
    costs.print_costs(costs.measure_sizes(requests, repeats, explained))


def main() -> None:
    """Entry point of the binary."""
    app()
