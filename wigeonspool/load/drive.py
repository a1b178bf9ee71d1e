"""Measures the latency that a gateway adds and the processor time it uses.

The same open-loop load goes to targets directly and through a gateway. Each
request of one sequence of due times is assigned to a path at random, so that
all paths see the same state of the machine. The direct path is measured as two
paths, `DIRECT_PATHS`: the difference between them is the noise to compare the
results with. Latency counts from the time at which a request was due, so a
stall delays all requests that were due during it.
"""

import asyncio
from collections.abc import Iterator
import dataclasses
import itertools
import os
import pathlib
import random
import time
from typing import Annotated, Final

import aiohttp
from hdrh import histogram
import pydantic

from wigeonspool.model import declarations
from wigeonspool.model import documents

MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
# Timers of the event loop can be late by about this much, so the last part of a
# wait polls the clock.
TIMER_RESOLUTION_SECONDS: Final = 0.002
CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
REQUEST_TIMEOUT_SECONDS: Final = 10.0
DIRECT_PATHS: Final = ("direct-a", "direct-b")
GATEWAY_PATH: Final = "gateway"

Positive = Annotated[float, pydantic.Field(gt=0)]


class DriveOptions(pydantic.BaseModel):
    """An experiment on real processes.

    Attributes:
        gateway: host:port of the gateway.
        targets: host:port of each target.
        path: Path to request with GET.
        seed: Seed of the due times.
        warm_seconds: Length of the load before the measurement.
        idle_seconds: Time for which the idle gateway is measured.
        rate: Requests per second on each path.
        seconds: Length of the measured load.
        steps: Requests per second through the gateway, rising.
        step_seconds: Length of each step.
        turn_ratio: The gateway counts as saturated at a step whose p99 exceeds
            this many times the p99 of the first step.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    gateway: declarations.Address
    targets: Annotated[list[declarations.Address], pydantic.Field(min_length=1)]
    path: str
    seed: int = 1
    warm_seconds: Positive = 2.0
    idle_seconds: Positive = 2.0
    rate: Positive
    seconds: Positive
    steps: list[Positive] = []
    step_seconds: Positive = 4.0
    turn_ratio: Positive = 4.0


@dataclasses.dataclass(slots=True)
class PathMeasurements:
    """The measurements of one path, direct or through the gateway.

    Attributes:
        latencies: Histogram in microseconds, counted from the due times.
        send_delays: Histogram in microseconds of how long after its due time
            a request was sent.
        failed: Requests without a response of status 200.
    """

    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    send_delays: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
    )
    failed: int = 0

    def get_percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the latencies, in milliseconds."""
        microseconds = self.latencies.get_value_at_percentile(percentile)
        return float(microseconds) / 1000


def record_elapsed(durations: histogram.HdrHistogram, due: float) -> None:
    """Adds the time since `due` to a histogram.

    Args:
        durations: Histogram in microseconds.
        due: Time of the performance counter, in seconds.
    """
    elapsed = int((time.perf_counter() - due) * 1_000_000)
    durations.record_value(max(1, min(MAX_LATENCY_US, elapsed)))


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The measurements of one rate through the gateway.

    Attributes:
        rate: Requests per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        late_ms: 99th percentile of how late the driver sent; where it is
            not small compared with the p99, the driver is the bottleneck.
        cpu_ms: Processor time of the gateway per request, or NaN if its
            process id is unknown.
        busy: Fraction of one core that the gateway used, or NaN as well.
        failed: Requests without a response of status 200.
    """

    rate: float
    p50_ms: float
    p99_ms: float
    late_ms: float
    cpu_ms: float
    busy: float
    failed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The results of one experiment.

    Attributes:
        direct_p50_ms: Median of both direct paths together.
        direct_p99_ms: 99th percentile of both direct paths together.
        added_p50_ms: Latency that the gateway adds to the median.
        added_p99_ms: Latency that the gateway adds to the 99th percentile.
        noise_p50_ms: Difference between the medians of the two direct paths.
        noise_p99_ms: Difference between their 99th percentiles.
        cpu_ms: Processor time of the gateway per request, or NaN.
        idle_share: Fraction of a core that the idle gateway uses, or NaN.
        failed: Requests without a response of status 200, except those of the
            steps.
        most_per_second: Highest rate that did not saturate the gateway, in
            requests per second, or 0.
        steps: The measurements of each rate.
    """

    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float
    noise_p50_ms: float
    noise_p99_ms: float
    cpu_ms: float
    idle_share: float
    failed: int
    most_per_second: float
    steps: tuple[Step, ...]


def read_options(path: pathlib.Path) -> DriveOptions:
    """Returns the experiment that a YAML file describes.

    Raises:
        SettingsError: If the file cannot be read or violates the schema.
    """
    document = documents.read_document(path)
    try:
        return DriveOptions.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error


def read_cpu_seconds(pid: int) -> float:
    """Returns the processor seconds a process has used, or NaN for pid 0."""
    if pid == 0:
        return float("nan")
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # Of the fields after the command name, 11 and 12 are utime and stime.
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def draw_due_times(rate: float, seconds: float, seed: int) -> Iterator[float]:
    """Yields the times of a Poisson process, in seconds from 0.

    Args:
        rate: Events per second.
        seconds: No time is at or after this.
        seed: Seed of the times.
    """
    rng = random.Random(seed)
    due = rng.expovariate(rate)
    while due < seconds:
        yield due
        due += rng.expovariate(rate)


class Driver:
    """Sends open-loop load directly to targets and through a gateway."""

    def __init__(
        self, session: aiohttp.ClientSession, options: DriveOptions, pid: int
    ) -> None:
        """Creates a driver that sends nothing until `run`.

        Args:
            session: HTTP client to use.
            options: The experiment.
            pid: Process id of the gateway, or 0 if unknown.
        """
        self._session = session
        self._options = options
        self._pid = pid
        self._targets = itertools.cycle(options.targets)

    async def run(self) -> Report:
        """Runs all phases of the experiment and returns the results."""
        options = self._options
        paths = (*DIRECT_PATHS, GATEWAY_PATH)
        await self._send_load(paths, options.rate, options.warm_seconds, 0)
        idle_share = await self._measure_idle()
        cpu_before = read_cpu_seconds(self._pid)
        measurements = await self._send_load(
            paths, options.rate, options.seconds, options.seed
        )
        cpu_seconds = read_cpu_seconds(self._pid) - cpu_before
        steps = await self._measure_steps()
        return _build_report(
            measurements, cpu_seconds, idle_share, steps, options
        )

    async def _measure_idle(self) -> float:
        """Returns the fraction of a core that the idle gateway uses."""
        cpu_before = read_cpu_seconds(self._pid)
        await asyncio.sleep(self._options.idle_seconds)
        cpu_seconds = read_cpu_seconds(self._pid) - cpu_before
        return cpu_seconds / self._options.idle_seconds

    async def _measure_steps(self) -> list[Step]:
        """Measures rising rates until one saturates the gateway."""
        options = self._options
        steps: list[Step] = []
        for rate in options.steps:
            cpu_before = read_cpu_seconds(self._pid)
            measurements = await self._send_load(
                (GATEWAY_PATH,), rate, options.step_seconds, options.seed
            )
            cpu_seconds = read_cpu_seconds(self._pid) - cpu_before
            gateway = measurements[GATEWAY_PATH]
            count = max(1, gateway.latencies.get_total_count())
            steps.append(
                Step(
                    rate,
                    gateway.get_percentile_ms(50),
                    gateway.get_percentile_ms(99),
                    gateway.send_delays.get_value_at_percentile(99) / 1000,
                    cpu_seconds * 1000 / count,
                    cpu_seconds / options.step_seconds,
                    gateway.failed,
                )
            )
            if is_saturated(steps, options.turn_ratio):
                break
        return steps

    async def _send_load(
        self, paths: tuple[str, ...], rate: float, seconds: float, seed: int
    ) -> dict[str, PathMeasurements]:
        """Sends load of one rate on each path.

        One sequence of due times is distributed over the paths at random.

        Args:
            paths: Names of the paths.
            rate: Requests per second on each path.
            seconds: Length of the load.
            seed: Seed of the due times and of the choice of path.
        """
        measurements = {path: PathMeasurements() for path in paths}
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        start = time.perf_counter()
        for due in draw_due_times(rate * len(paths), seconds, seed):
            await _wait_until(start + due)
            path = rng.choice(paths)
            task = loop.create_task(
                self._send_request(path, start + due, measurements[path])
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        return measurements

    async def _send_request(
        self, path: str, due: float, measurements: PathMeasurements
    ) -> None:
        """Sends one request and records its latency."""
        record_elapsed(measurements.send_delays, due)
        address = self._options.gateway
        if path != GATEWAY_PATH:
            address = next(self._targets)
        try:
            async with self._session.get(
                f"http://{address}{self._options.path}"
            ) as response:
                await response.read()
                measurements.failed += response.status != 200
        except (aiohttp.ClientError, OSError):
            measurements.failed += 1
        record_elapsed(measurements.latencies, due)


async def _wait_until(due: float) -> None:
    """Waits until a time of the performance counter.

    The wait is exact to a few microseconds.
    """
    while (remaining := due - time.perf_counter()) > 0:
        if remaining > TIMER_RESOLUTION_SECONDS:
            await asyncio.sleep(remaining - TIMER_RESOLUTION_SECONDS)
        else:
            await asyncio.sleep(0)


def is_saturated(steps: list[Step], ratio: float) -> bool:
    """Returns True if the last step saturated the gateway.

    It did if requests failed or its p99 exceeds `ratio` times that of the
    first step.
    """
    last = steps[-1]
    return last.failed > 0 or last.p99_ms > ratio * steps[0].p99_ms


def _build_report(
    measurements: dict[str, PathMeasurements],
    cpu_seconds: float,
    idle_share: float,
    steps: list[Step],
    options: DriveOptions,
) -> Report:
    """Returns the results of an experiment."""
    first, second = (measurements[path] for path in DIRECT_PATHS)
    direct = PathMeasurements()
    direct.latencies.add(first.latencies)
    direct.latencies.add(second.latencies)
    gateway = measurements[GATEWAY_PATH]
    unsaturated = [
        step
        for index, step in enumerate(steps)
        if not is_saturated(steps[: index + 1], options.turn_ratio)
    ]
    return Report(
        direct.get_percentile_ms(50),
        direct.get_percentile_ms(99),
        gateway.get_percentile_ms(50) - direct.get_percentile_ms(50),
        gateway.get_percentile_ms(99) - direct.get_percentile_ms(99),
        abs(first.get_percentile_ms(50) - second.get_percentile_ms(50)),
        abs(first.get_percentile_ms(99) - second.get_percentile_ms(99)),
        cpu_seconds * 1000 / max(1, gateway.latencies.get_total_count()),
        idle_share,
        sum(m.failed for m in measurements.values()),
        unsaturated[-1].rate if unsaturated else 0.0,
        tuple(steps),
    )


async def run_drive(options: DriveOptions, pid: int) -> Report:
    """Runs an experiment on processes that are already running.

    Args:
        options: The experiment.
        pid: Process id of the gateway, or 0 if unknown.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
    ) as session:
        return await Driver(session, options, pid).run()


def print_report(report: Report) -> None:
    """Prints the results as tables."""
    print(f"{'ms':<22}{'p50':>9}{'p99':>9}")
    for name, p50, p99 in (
        ("direct", report.direct_p50_ms, report.direct_p99_ms),
        ("noise of direct", report.noise_p50_ms, report.noise_p99_ms),
        ("added by gateway", report.added_p50_ms, report.added_p99_ms),
    ):
        print(f"{name:<22}{p50:>9.3f}{p99:>9.3f}")
    print(f"processor time a request {report.cpu_ms:.3f} ms")
    print(f"idle gateway uses {report.idle_share * 100:.1f}% of a core")
    print(
        f"{'rate':>6}{'p50':>9}{'p99':>9}{'cpu ms':>9}{'busy':>7}{'failed':>8}"
    )
    for step in report.steps:
        print(
            f"{step.rate:>6.0f}{step.p50_ms:>9.3f}{step.p99_ms:>9.3f}"
            f"{step.late_ms:>9.3f}"
            f"{step.cpu_ms:>9.3f}{step.busy:>7.2f}{step.failed:>8}"
        )
    print(f"p99 holds up to {report.most_per_second:.0f} requests a second")
