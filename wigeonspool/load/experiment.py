"""Schema of the YAML files that describe experiments in virtual time."""

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
    """Base of all sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid")


class Zone(Section):
    """One availability zone."""

    name: str
    region: str


class Links(Section):
    """One-way delays of links, and bandwidth between regions.

    Attributes:
        zone_ms: Delay between two availability zones of a region.
        region_ms: Delay between two regions.
        caller_ms: Delay between a caller and a gateway of its region.
        region_gbit: Bandwidth between two regions in each direction, in Gbit/s.
    """

    zone_ms: NotNegative = 1.0
    region_ms: NotNegative = 12.0
    caller_ms: NotNegative = 3.0
    region_gbit: Positive = 4.0


class Targets(Section):
    """The targets of the pool, assigned to the zones in turn.

    Attributes:
        count: Number of targets.
        slots: Requests that one target runs at once.
        queue: Queue length at which a target refuses further requests.
        max_ejected_fraction: Largest fraction of the targets that may be
            ejected at the same time.
    """

    count: Count = 14
    slots: Count = 4
    queue: Count = 100_000
    max_ejected_fraction: Fraction = 0.34


class Gateways(Section):
    """The gateways, assigned to the zones in turn.

    Attributes:
        count: Number of gateways.
        requests_per_second: Requests per second that one gateway can handle.
        least: Fewest gateways assigned to each pool and zone.
        tick_ms: Period of the ticks of the core.
        beat_ms: Period at which the gateways exchange digests of their demand.
        tell_ms: Delay from the crash of a target until the gateways have shared
            the requests that they suspect of it.
    """

    count: Count = 16
    requests_per_second: Positive = 1400.0
    least: Count = 2
    tick_ms: Positive = 10.0
    beat_ms: Positive = 500.0
    tell_ms: Positive = 100.0


class RequestKind(Section):
    """One kind of request.

    Attributes:
        name: Name of its route.
        share: Number of its requests relative to that of the other kinds.
        service_ms: Mean service time on a healthy target.
        spread: Distribution of the service times.
        deadline_ms: Time within which the caller needs the response.
        priority: Priority of its route; priority 0 is refused last.
        idempotent: True if it may run more than once.
        long: True if it counts as "long" in the statistics.
        request_bytes: Size of a request, in bytes.
        answer_bytes: Size of a response, in bytes.
        fingerprint: Hash that is equal for resends of the same request; 0 if
            it has none.
        crashes: True if every target that begins it crashes.
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
    """One request that its caller sends repeatedly.

    Attributes:
        work: The request.
        at_s: When it is sent first, in seconds.
        every_ms: Time between two submissions.
        count: Number of submissions.
        restart_s: Time that a crashed target takes to restart.
    """

    work: RequestKind
    at_s: NotNegative
    every_ms: Positive = 200.0
    count: Count = 20
    restart_s: Positive = 5.0

    def list_times(self) -> list[float]:
        """Returns the times at which the request is sent, in seconds."""
        step = self.every_ms / 1000
        return [self.at_s + index * step for index in range(self.count)]


class Step(Section):
    """A change of demand.

    Attributes:
        at_s: When it takes effect, in seconds.
        load: Demand from then on, as a multiple of the pool's capacity.
    """

    at_s: NotNegative
    load: NotNegative


class Fault(Section):
    """A fault of targets for a period of time.

    Attributes:
        at_s: When it begins, in seconds.
        until_s: When it ends, in seconds; 1e9 or later for never.
        kind: "slow" and "cold" slow the targets down, "cold" less and less;
            "fail" makes attempts fail; "shed" makes targets reject attempts as
            not run; "drain" makes targets report that they are draining;
            "lost" stops targets, so that their attempts are lost and new
            connections are refused; "silent" makes open connections
            unresponsive for good.
        targets: Number of targets that it affects, the first ones of the list.
        zone: If set, it affects all targets of this zone instead and, if the
            kind is "lost", the gateways of the zone.
        factor: Slowdown of a slow target, and of a cold one at the beginning
            of the fault.
        fraction: Fraction of the attempts that fail or are shed, or of the
            connections that become unresponsive.
        listed_after_s: Delay until the VM list reports a draining target.
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
    """Load reports that targets send with their responses.

    Attributes:
        age_ms: Age of the measurement in a report.
        idle: True if every report claims that its target is idle.
    """

    age_ms: NotNegative = 0.0
    idle: bool = False


class Window(Section):
    """An interval of the run with its own statistics; times in seconds."""

    name: str
    from_s: NotNegative
    to_s: Positive


class Experiment(Section):
    """One experiment.

    Attributes:
        name: Name, the same as that of its file.
        about: Description for the report.
        seed: Seed of all random choices.
        seconds: How long callers send requests.
        warmup_seconds: Time at the beginning that is not measured.
        load: Demand until the first step, as a multiple of the capacity.
        zones: Availability zones.
        links: Delays and bandwidth.
        targets: Targets of the pool.
        gateways: Gateways of the fleet.
        works: Kinds of requests.
        steps: Changes of demand, in order of time.
        faults: Faults of targets.
        resends: A request that is sent repeatedly, if any.
        windows: Intervals of the run with their own statistics.
        reports: Load reports of targets; None if they send none.
        answer_seconds: Time for which callers cache resolved gateways.
        caller_groups: Number of groups of callers in each zone; callers of a
            group share their resolved gateways.
        policies: Policies to compare.
    """

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
    works: Annotated[list[RequestKind], pydantic.Field(min_length=1)]
    steps: list[Step] = []
    faults: list[Fault] = []
    resends: Resends | None = None
    windows: list[Window] = []
    reports: Reports | None = None
    answer_seconds: Positive = 2.0
    caller_groups: Count = 24
    policies: list[str] = ["policy", "two-choices", "random", "one-queue"]

    def compute_capacity(self) -> float:
        """Returns the capacity of all targets, in requests per second."""
        total_share = sum(kind.share for kind in self.works)
        mean_ms = sum(k.share * k.service_ms for k in self.works) / total_share
        return self.targets.count * self.targets.slots / (mean_ms / 1000)

    def find_load(self, now: float) -> float:
        """Returns the demand at a time, as a multiple of the capacity.

        Args:
            now: Time in seconds.
        """
        load = self.load
        for step in self.steps:
            if step.at_s <= now:
                load = step.load
        return load


def read_experiment(
    path: pathlib.Path, assignments: Sequence[str] = ()
) -> Experiment:
    """Reads an experiment from a YAML file.

    Args:
        path: YAML file.
        assignments: field=value pairs that replace fields of the file; a
            field is a dotted path, in which a number indexes a list.

    Raises:
        SettingsError: If the file cannot be read or is invalid, or if an
            assignment is invalid.
        YAMLError: If the value of an assignment is not valid YAML.
    """
    document = documents.read_document(path)
    for assignment in assignments:
        _assign_field(document.content, assignment)
    try:
        return Experiment.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error


def _assign_field(document: Any, assignment: str) -> None:
    """Replaces one field of a document in place.

    Raises:
        SettingsError: If the assignment has no value or its field does not
            exist.
        YAMLError: If the value is not valid YAML.
    """
    field, equals, text = assignment.partition("=")
    if not equals:
        raise errors.SettingsError("--set", assignment, "expected field=value")
    *parents, last = field.split(".")
    try:
        for key in parents:
            if isinstance(document, list):
                document = document[int(key)]
            else:
                document = document.setdefault(key, {})
        index = int(last) if isinstance(document, list) else last
        document[index] = yaml.safe_load(text)
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        raise errors.SettingsError("--set", field, "no such field") from error
