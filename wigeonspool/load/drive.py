"""Measures what a gateway adds to a request, and what a request costs it.

The same open-loop load goes to targets directly and through a gateway, drawn
from one sequence of due times, so that all paths see the same machine. The
direct path is measured twice: the difference of its halves is the noise that
the figures must be read beside. Latency counts from the time at which a
request was due, so a stall delays all requests that were due in it.
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

HIGHEST_US: Final = 60_000_000
DIGITS: Final = 3
# Timers are this coarse; the rest of a wait is spent in turns of the loop.
TIMER_SECONDS: Final = 0.002
CLOCK_TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
REQUEST_SECONDS: Final = 10.0
DIRECT: Final = ("direct-a", "direct-b")
GATEWAY: Final = "gateway"

Positive = Annotated[float, pydantic.Field(gt=0)]


class DriveOptions(pydantic.BaseModel):
    """An experiment on real processes.

    Attributes:
        gateway: host:port of the gateway.
        targets: host:port of each target.
        path: Path to request with GET.
        seed: Seed of the due times.
        warm_seconds: Length of the load before anything counts.
        idle_seconds: Time in which the idle gateway is measured.
        rate: Requests per second on each path.
        seconds: Length of the load that counts.
        steps: Requests per second through the gateway, rising.
        step_seconds: Length of each step.
        turn_ratio: The p99 of a step has turned where it exceeds this many
            times the p99 of the first.
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
class Series:
    """What one path showed.

    Attributes:
        latencies: Histogram in microseconds, from the due times.
        lateness: How long after its due time a request was sent, likewise.
        failed: Requests without an answer of status 200.
    """

    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    )
    lateness: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    )
    failed: int = 0

    def find_ms(self, percentile: float) -> float:
        """Returns a percentile of the latencies, in milliseconds."""
        found = self.latencies.get_value_at_percentile(percentile)
        return float(found) / 1000


def record_since(series: histogram.HdrHistogram, due: float) -> None:
    """Adds the time since a reading of the performance counter."""
    took = int((time.perf_counter() - due) * 1_000_000)
    series.record_value(max(1, min(HIGHEST_US, took)))


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One rate through the gateway.

    Attributes:
        rate: Requests per second.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        late_ms: 99th percentile of how late the driver sent; where it is
            not small beside the p99, the driver is the limit.
        cpu_ms: Processor time of the gateway per request, or NaN.
        busy: Share of one core that the gateway used, or NaN.
        failed: Requests without an answer of status 200.
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
    """The figures of one experiment.

    Attributes:
        direct_p50_ms: Median of the direct path.
        direct_p99_ms: 99th percentile of the direct path.
        added_p50_ms: What the gateway adds to the median.
        added_p99_ms: What the gateway adds to the 99th percentile.
        noise_p50_ms: Difference of the medians of the direct halves.
        noise_p99_ms: Difference of their 99th percentiles.
        cpu_ms: Processor time of the gateway per request.
        idle_share: Share of a core that the idle gateway uses.
        failed: Requests without an answer of status 200.
        most_per_second: Highest rate before the p99 turned, or 0.
        steps: The rates tried.
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


def read_drive(path: pathlib.Path) -> DriveOptions:
    """Returns the experiment in a YAML file.

    Raises:
        SettingsError: If the file cannot be read or breaks the schema.
    """
    document = documents.read_document(path)
    try:
        return DriveOptions.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error


def read_cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used; NaN for pid 0."""
    if pid == 0:
        return float("nan")
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def draw_due_times(rate: float, seconds: float, seed: int) -> Iterator[float]:
    """Yields random times of a given rate, in seconds from 0."""
    rng = random.Random(seed)
    due = rng.expovariate(rate)
    while due < seconds:
        yield due
        due += rng.expovariate(rate)


class Driver:
    """Sends open-loop load over some paths."""

    def __init__(
        self, session: aiohttp.ClientSession, options: DriveOptions, pid: int
    ) -> None:
        """Prepares the driver.

        Args:
            session: HTTP client to use.
            options: The experiment.
            pid: Process of the gateway, or 0 if unknown.
        """
        self._session = session
        self._options = options
        self._pid = pid
        self._targets = itertools.cycle(options.targets)

    async def run(self) -> Report:
        """Runs the whole experiment."""
        options = self._options
        paths = (*DIRECT, GATEWAY)
        await self._send_load(paths, options.rate, options.warm_seconds, 0)
        idle_share = await self._measure_idle()
        started = read_cpu_seconds(self._pid)
        series = await self._send_load(
            paths, options.rate, options.seconds, options.seed
        )
        used = read_cpu_seconds(self._pid) - started
        steps = await self._climb()
        return _build_report(series, used, idle_share, steps, options)

    async def _measure_idle(self) -> float:
        """Returns the share of a core that the idle gateway uses."""
        started = read_cpu_seconds(self._pid)
        await asyncio.sleep(self._options.idle_seconds)
        used = read_cpu_seconds(self._pid) - started
        return used / self._options.idle_seconds

    async def _climb(self) -> list[Step]:
        """Tries rising rates through the gateway until the p99 turns."""
        options = self._options
        steps: list[Step] = []
        for rate in options.steps:
            started = read_cpu_seconds(self._pid)
            done = await self._send_load(
                (GATEWAY,), rate, options.step_seconds, options.seed
            )
            used = read_cpu_seconds(self._pid) - started
            series = done[GATEWAY]
            count = max(1, series.latencies.get_total_count())
            steps.append(
                Step(
                    rate,
                    series.find_ms(50),
                    series.find_ms(99),
                    series.lateness.get_value_at_percentile(99) / 1000,
                    used * 1000 / count,
                    used / options.step_seconds,
                    series.failed,
                )
            )
            if has_turned(steps, options.turn_ratio):
                break
        return steps

    async def _send_load(
        self, paths: tuple[str, ...], rate: float, seconds: float, seed: int
    ) -> dict[str, Series]:
        """Sends load of one rate on each path, drawn from one sequence."""
        series = {path: Series() for path in paths}
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        tasks: set[asyncio.Task[None]] = set()
        start = time.perf_counter()
        for due in draw_due_times(rate * len(paths), seconds, seed):
            await _wait_until(start + due)
            path = rng.choice(paths)
            task = loop.create_task(self._call(path, start + due, series[path]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks)
        return series

    async def _call(self, path: str, due: float, series: Series) -> None:
        """Sends one request and records its latency."""
        record_since(series.lateness, due)
        address = self._options.gateway
        if path != GATEWAY:
            address = next(self._targets)
        try:
            async with self._session.get(
                f"http://{address}{self._options.path}"
            ) as response:
                await response.read()
                series.failed += response.status != 200
        except (aiohttp.ClientError, OSError):
            series.failed += 1
        record_since(series.latencies, due)


async def _wait_until(due: float) -> None:
    """Waits until a time of the performance counter, to a few microseconds."""
    while (remaining := due - time.perf_counter()) > 0:
        if remaining > TIMER_SECONDS:
            await asyncio.sleep(remaining - TIMER_SECONDS)
        else:
            await asyncio.sleep(0)


def has_turned(steps: list[Step], ratio: float) -> bool:
    """Returns True if the p99 of the last step has turned."""
    last = steps[-1]
    return last.failed > 0 or last.p99_ms > ratio * steps[0].p99_ms


def _build_report(
    series: dict[str, Series],
    used: float,
    idle_share: float,
    steps: list[Step],
    options: DriveOptions,
) -> Report:
    """Returns the figures of an experiment."""
    first, second = (series[path] for path in DIRECT)
    direct = Series()
    direct.latencies.add(first.latencies)
    direct.latencies.add(second.latencies)
    through = series[GATEWAY]
    kept = [
        step
        for index, step in enumerate(steps)
        if not has_turned(steps[: index + 1], options.turn_ratio)
    ]
    return Report(
        direct.find_ms(50),
        direct.find_ms(99),
        through.find_ms(50) - direct.find_ms(50),
        through.find_ms(99) - direct.find_ms(99),
        abs(first.find_ms(50) - second.find_ms(50)),
        abs(first.find_ms(99) - second.find_ms(99)),
        used * 1000 / max(1, through.latencies.get_total_count()),
        idle_share,
        sum(s.failed for s in series.values()),
        kept[-1].rate if kept else 0.0,
        tuple(steps),
    )


async def run_drive(options: DriveOptions, pid: int) -> Report:
    """Runs an experiment on processes that are up.

    Args:
        options: The experiment.
        pid: Process of the gateway, or 0 if unknown.
    """
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=REQUEST_SECONDS),
    ) as session:
        return await Driver(session, options, pid).run()


def print_report(report: Report) -> None:
    """Prints the figures as tables."""
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
