"""Schema of the YAML files that describe emulations of entry VMs."""

from collections.abc import Sequence
import pathlib
from typing import Annotated, Any

import pydantic

from wigeonspool.load import emulated_targets
from wigeonspool.load import emulation
from wigeonspool.load import experiment as experiments
from wigeonspool.model import documents
from wigeonspool.model import errors

PositiveFinite = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]


class LoadStep(experiments.Section):
    """A load step.

    Attributes:
        requests_per_second: Requests per second, at random times.
        seconds: Duration.
    """

    requests_per_second: PositiveFinite
    seconds: PositiveFinite


class EmulationExperiment(experiments.Section):
    """An emulation of entry VMs under load.

    Attributes:
        name: Name of the experiment.
        about: What it shows.
        seed: Seed of all random choices.
        idempotent: True if requests may run more than once.
        settings: Settings of the emulation.
        steps: Load steps, in order.
    """

    name: str
    about: str = ""
    seed: int = 1
    idempotent: bool = True
    settings: emulated_targets.EmulationSettings = emulation.DEFAULT_SETTINGS
    steps: Annotated[list[LoadStep], pydantic.Field(min_length=1)]


def read_experiment(path: pathlib.Path) -> EmulationExperiment:
    """Returns the experiment that a YAML file describes.

    Raises:
        SettingsError: If the file cannot be read or is invalid.
    """
    document = documents.read_document(path)
    try:
        return EmulationExperiment.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error


def build_experiment(
    file: pathlib.Path | None,
    steps: Sequence[str],
    assignments: Sequence[str],
    seed: int | None,
) -> EmulationExperiment:
    """Returns the experiment that a file and the command line describe.

    Args:
        file: YAML file, or None.
        steps: Load steps, each written as RATExSECONDS, that replace those of
            the file.
        assignments: field=value pairs that replace settings of the file.
        seed: Seed that replaces that of the file, or None.

    Raises:
        SettingsError: If the file or the command line is invalid, or if there
            are no load steps.
    """
    changes: dict[str, Any] = {}
    if steps:
        changes["steps"] = [
            LoadStep(requests_per_second=rate, seconds=seconds)
            for rate, seconds in emulation.read_steps(steps)
        ]
    if seed is not None:
        changes["seed"] = seed
    settings = emulation.DEFAULT_SETTINGS
    if file is not None:
        experiment = read_experiment(file)
        settings = experiment.settings
    elif not steps:
        raise errors.SettingsError("command line", "step", "no load steps")
    else:
        experiment = EmulationExperiment(
            name="command line", steps=changes["steps"]
        )
    changes["settings"] = emulation.read_settings(assignments, settings)
    return experiment.model_copy(update=changes)


def list_load_steps(
    experiment: EmulationExperiment,
) -> list[tuple[float, float]]:
    """Returns the requests per second and the seconds of each load step."""
    return [
        (step.requests_per_second, step.seconds) for step in experiment.steps
    ]


def run_experiment(experiment: EmulationExperiment) -> emulation.Emulation:
    """Runs an experiment in virtual time; returns its emulation."""
    return emulation.run_emulation(
        experiment.settings,
        list_load_steps(experiment),
        experiment.seed,
        experiment.idempotent,
    )
