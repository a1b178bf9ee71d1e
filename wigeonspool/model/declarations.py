"""Checked models of the operators' two tables, as YAML declares them.

A file holds `pools` and `routes`. Each field is checked here, at the border;
the rest of the system sees the data classes in `entities` only.
"""

import dataclasses
import pathlib
from typing import Annotated, Any, Self, TypeVar

import pydantic
import yaml

from wigeonspool.model import entities
from wigeonspool.model import errors

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^[0-9A-Za-z.:\[\]-]+:\d+$")]
Row = TypeVar("Row", entities.Pool, entities.Route)
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class Declaration(pydantic.BaseModel):
    """Base of all declarations: unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)


class TargetDeclaration(Declaration):
    """One target of a pool."""

    address: Address
    zone: Name
    drained: bool = False


class MeasuringDeclaration(Declaration):
    """The measuring budget of a pool over all VMs together."""

    requests_per_second: Annotated[float, pydantic.Field(ge=0)] = 10.0
    bytes_per_second: Annotated[float, pydantic.Field(ge=0)] = 20_000.0


class PoolDeclaration(Declaration):
    """One row of the pools table."""

    name: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)]
    targets: list[TargetDeclaration]
    measuring: MeasuringDeclaration = MeasuringDeclaration()
    max_ejected_fraction: Fraction = 0.34
    retry_fraction: Fraction = 0.1

    @pydantic.model_validator(mode="after")
    def check_addresses(self) -> Self:
        """Rejects a target that is listed twice."""
        seen: set[str] = set()
        for target in self.targets:
            if target.address in seen:
                raise ValueError(f"target {target.address} is listed twice")
            seen.add(target.address)
        return self

    def build(self) -> entities.Pool:
        """Returns the checked row."""
        targets = tuple(
            entities.Target(t.address, t.zone, t.drained) for t in self.targets
        )
        return entities.Pool(
            name=self.name,
            slots=self.slots,
            targets=targets,
            measuring_requests_per_second=self.measuring.requests_per_second,
            measuring_bytes_per_second=self.measuring.bytes_per_second,
            max_ejected_fraction=self.max_ejected_fraction,
            retry_fraction=self.retry_fraction,
        )


class RouteDeclaration(Declaration):
    """One row of the routes table."""

    name: Name
    method: Annotated[str, pydantic.Field(pattern=r"^([A-Z]+|\*)$")] = "*"
    path_prefix: Annotated[str, pydantic.Field(pattern=r"^/")]
    pool: Name
    idempotent: bool
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 1
    time_limit_seconds: Annotated[float, pydantic.Field(gt=0, le=86_400)] = 30.0

    def build(self) -> entities.Route:
        """Returns the checked row."""
        return entities.Route(**self.model_dump())


class TablesDeclaration(Declaration):
    """The two tables of one or more files."""

    pools: list[PoolDeclaration] = []
    routes: list[RouteDeclaration] = []


def check_join(file: str, tables: entities.Tables) -> None:
    """Checks that each route names a pool that exists.

    Args:
        file: Name to report.
        tables: Tables to check.

    Raises:
        SettingsError: If a route names a missing pool.
    """
    for route in tables.routes.values():
        if route.pool not in tables.pools:
            raise errors.SettingsError(
                file,
                f"routes.{route.name}.pool",
                f"pool {route.pool!r} does not exist",
            )


def read_yaml(path: pathlib.Path) -> Any:
    """Returns the document in a YAML file.

    Args:
        path: File to read.

    Raises:
        SettingsError: If the file cannot be read or is not YAML.
    """
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.SettingsError(str(path), "file", str(error)) from error
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = "file" if mark is None else f"line {mark.line + 1}"
        problem = getattr(error, "problem", None) or "not valid YAML"
        raise errors.SettingsError(str(path), line, str(problem)) from error


def describe_problem(
    file: str, error: pydantic.ValidationError
) -> errors.SettingsError:
    """Returns the first problem of a failed check as a typed error."""
    first = error.errors()[0]
    field = ".".join(str(part) for part in first["loc"]) or "document"
    return errors.SettingsError(file, field, first["msg"])


def parse_tables(file: str, document: Any) -> entities.Tables:
    """Returns the tables that a document declares, at generation 0.

    Args:
        file: Name to report in errors.
        document: Parsed YAML or JSON.

    Raises:
        SettingsError: If the document breaks the schema.
    """
    try:
        declared = TablesDeclaration.model_validate(document or {})
    except pydantic.ValidationError as error:
        raise describe_problem(file, error) from error
    pools = merge_rows(file, "pools", [p.build() for p in declared.pools])
    routes = merge_rows(file, "routes", [r.build() for r in declared.routes])
    return entities.Tables(0, routes, pools)


def merge_rows(file: str, table: str, rows: list[Row]) -> dict[str, Row]:
    """Returns the rows by name.

    Raises:
        SettingsError: If two rows share a name.
    """
    merged: dict[str, Row] = {}
    for row in rows:
        if row.name in merged:
            raise errors.SettingsError(
                file, f"{table}.{row.name}", "name is declared twice"
            )
        merged[row.name] = row
    return merged


def read_tables(paths: list[pathlib.Path]) -> entities.Tables:
    """Returns the union of the tables in some files, at generation 0.

    Args:
        paths: YAML files; each holds pools, routes or both.

    Raises:
        SettingsError: If a file is invalid, a name stands twice or a route
            names a missing pool.
    """
    pools: list[entities.Pool] = []
    routes: list[entities.Route] = []
    for path in paths:
        tables = parse_tables(str(path), read_yaml(path))
        pools += tables.pools.values()
        routes += tables.routes.values()
    file = ", ".join(str(path) for path in paths)
    union = entities.Tables(
        0, merge_rows(file, "routes", routes), merge_rows(file, "pools", pools)
    )
    check_join(file, union)
    return union


def show_tables(tables: entities.Tables) -> dict[str, Any]:
    """Returns tables as a plain document."""
    return {
        "generation": tables.generation,
        "pools": [dataclasses.asdict(p) for p in tables.pools.values()],
        "routes": [dataclasses.asdict(r) for r in tables.routes.values()],
    }
