"""Experiments in virtual time, as their YAML files describe them."""

from collections.abc import Sequence
import pathlib
from typing import Annotated, Any, Literal

import pydantic
import yaml

from wigeonspool.model import documents
from wigeonspool.model import errors

Positive = Annotated[float, pydantic.Field(gt=0)]
NotNegative = Annotated[float, pydantic.Field(ge=0)]
Count = Annotated[int, pydantic.Field(ge=1)]
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class Section(pydantic.BaseModel):
    """Base of all sections: unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Zone(Section):
    """One availability zone."""

    name: str
    region: str


class Links(Section):
    """One-way delays between places, and what crosses regions.

    Attributes:
        zone_ms: Delay between availability zones of a region.
        region_ms: Delay between regions.
        caller_ms: Delay between a caller and a gateway of its region.
        region_gbit: Bandwidth between two regions, each way.
    """

    zone_ms: NotNegative = 1.0
    region_ms: NotNegative = 12.0
    caller_ms: NotNegative = 3.0
    region_gbit: Positive = 4.0


class Targets(Section):
    """The targets of the pool, spread over the zones in turn."""

    count: Count = 14
    slots: Count = 4
    queue: Count = 100_000
    max_ejected_fraction: Fraction = 0.34


class Gateways(Section):
    """The gateways, spread over the zones in turn.

    Attributes:
        count: Gateways of the fleet.
        requests_per_second: What one gateway process can carry.
        least: Fewest gateways named for a pool and zone.
        tick_ms: Time between two ticks of the core.
        beat_ms: Time between two digests of demand.
        tell_ms: Time in which gateways hear of each other's suspects.
    """

    count: Count = 16
    requests_per_second: Positive = 1400.0
    least: Count = 2
    tick_ms: Positive = 10.0
    beat_ms: Positive = 500.0
    tell_ms: Positive = 100.0


class Work(Section):
    """One kind of request.

    Attributes:
        name: Name of its route.
        share: Part of all requests, relative to the other kinds.
        service_ms: Mean service time on an idle target.
        spread: How service times are spread around the mean.
        deadline_ms: Time in which the caller wants the answer.
        priority: Priority of its route; 0 is refused last.
        idempotent: True if it may run more than once.
        long: True if it counts as long work in the figures.
        request_bytes: Size of a request.
        answer_bytes: Size of an answer.
        fingerprint: Equal for resends of the same request; 0 for none.
        crashes: True if each target that begins it crashes.
    """

    name: str
    share: Positive
    service_ms: Positive
    spread: Literal["exponential", "fixed"] = "exponential"
    deadline_ms: Positive = 5000.0
    priority: int = 1
    idempotent: bool = True
    long: bool = False
    request_bytes: Count = 500
    answer_bytes: Count = 2000
    fingerprint: int = 0
    crashes: bool = False


class Resends(Section):
    """One request that its caller sends again and again.

    Attributes:
        work: What is sent.
        at_s: When it is sent first.
        every_ms: Time between two sends.
        count: How often it is sent.
        restart_s: Time that a crashed target needs to come back.
    """

    work: Work
    at_s: NotNegative
    every_ms: Positive = 200.0
    count: Count = 20
    restart_s: Positive = 5.0

    def list_times(self) -> list[float]:
        """Returns when the request is sent, in seconds."""
        step = self.every_ms / 1000
        return [self.at_s + index * step for index in range(self.count)]


class Step(Section):
    """Demand from a time on, as a multiple of the pool's capacity."""

    at_s: NotNegative
    load: NotNegative


class Fault(Section):
    """A timed change of targets.

    Attributes:
        at_s: When it begins.
        until_s: When it ends.
        kind: What changes.
        targets: How many of the targets change, the first ones of the list.
        zone: The zone whose targets, and gateways if lost, change.
        factor: How many times slower a slow or cold target is.
        fraction: Part of attempts that fail, are shed or fall silent.
        listed_after_s: Delay until the VM list tells of a draining target.
    """

    at_s: NotNegative
    until_s: NotNegative = 1e9
    kind: Literal["slow", "cold", "fail", "shed", "drain", "lost", "silent"]
    targets: int = 0
    zone: str = ""
    factor: Positive = 10.0
    fraction: Fraction = 1.0
    listed_after_s: NotNegative = 1.0


class Reports(Section):
    """Load reports that targets send with their answers.

    Attributes:
        age_ms: Age of the reading in a report.
        idle: True if every report claims that its target is idle.
    """

    age_ms: NotNegative = 0.0
    idle: bool = False


class Window(Section):
    """A part of the run for which figures are given of their own."""

    name: str
    from_s: NotNegative
    to_s: Positive


class Experiment(Section):
    """One experiment."""

    name: str
    about: str = ""
    seed: int = 1
    seconds: Positive = 30.0
    warmup_seconds: NotNegative = 3.0
    load: Positive = 0.8
    zones: list[Zone] = [Zone(name="ege-1", region="ege")]
    links: Links = Links()
    targets: Targets = Targets()
    gateways: Gateways = Gateways()
    works: Annotated[list[Work], pydantic.Field(min_length=1)]
    steps: list[Step] = []
    faults: list[Fault] = []
    resends: Resends | None = None
    windows: list[Window] = []
    reports: Reports | None = None
    answer_seconds: Positive = 2.0
    caller_groups: Count = 24
    policies: list[str] = ["policy", "two-choices", "random", "one-queue"]

    def compute_capacity(self) -> float:
        """Returns the requests per second that all slots together serve."""
        shares = sum(work.share for work in self.works)
        mean_ms = sum(w.share * w.service_ms for w in self.works) / shares
        return self.targets.count * self.targets.slots / (mean_ms / 1000)

    def find_load(self, now: float) -> float:
        """Returns the demand at a time, as a multiple of the capacity."""
        load = self.load
        for step in self.steps:
            if step.at_s <= now:
                load = step.load
        return load


def read_experiment(
    path: pathlib.Path, assignments: Sequence[str] = ()
) -> Experiment:
    """Returns the experiment in a YAML file.

    Args:
        path: File to read.
        assignments: field=value pairs that replace fields; a field is a
            dotted path, in which a number indexes a list.

    Raises:
        SettingsError: If the file or an assignment breaks the schema.
    """
    document = documents.read_document(path)
    for assignment in assignments:
        _assign_field(document.content, assignment)
    try:
        return Experiment.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error


def _assign_field(document: Any, assignment: str) -> None:
    """Replaces one field of a document in place."""
    field, found, text = assignment.partition("=")
    if not found:
        raise errors.SettingsError("--set", assignment, "expected field=value")
    *parents, last = field.split(".")
    try:
        for part in parents:
            if isinstance(document, list):
                document = document[int(part)]
            else:
                document = document.setdefault(part, {})
        index = int(last) if isinstance(document, list) else last
        document[index] = yaml.safe_load(text)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise errors.SettingsError("--set", field, "no such field") from error
