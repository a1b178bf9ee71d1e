"""Validation models of the pools and routes tables, as operators declare them.

A YAML file contains `pools`, `routes` or both. All fields are validated here;
the rest of the system uses only the data classes in `entities`.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import pathlib
from typing import Annotated, Any, Final, Generic, TypeVar

import pydantic
import yaml

from wigeonspool.model import documents
from wigeonspool.model import entities
from wigeonspool.model import errors

MAX_PORT: Final = 65_535
MAX_LINE_CHARS: Final = 200


def check_port(address: str) -> str:
    """Returns an address unchanged if its port is a valid TCP port.

    Raises:
        ValueError: If the port is invalid; pydantic adds the field's name.
    """
    port = int(address.rpartition(":")[2])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is not between 1 and {MAX_PORT}")
    return address


Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9A-Za-z.:\[\]-]+:\d{1,5}$"),
    pydantic.AfterValidator(check_port),
]
Row = TypeVar("Row", entities.Pool, entities.Route)
Fraction = Annotated[float, pydantic.Field(ge=0, le=1)]


class Declaration(pydantic.BaseModel):
    """Base class of all declarations; rejects unknown fields."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False
    )


class TargetDeclaration(Declaration):
    """One target of a pool."""

    address: Address
    zone: Name
    drained: bool = False


class MeasuringDeclaration(Declaration):
    """The probe budget of a pool for all VMs together."""

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

    def build(self) -> entities.Pool:
        """Returns the pool as an entity."""
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
        """Returns the route as an entity."""
        return entities.Route(**self.model_dump())


class TablesDeclaration(Declaration):
    """The two tables of one or more files."""

    pools: list[PoolDeclaration] = []
    routes: list[RouteDeclaration] = []


@dataclasses.dataclass(frozen=True, slots=True)
class _DeclaredRow(Generic[Row]):
    """A validated row and its position.

    Attributes:
        row: The row.
        document: File that declares it.
        path: Path of the row in that file.
    """

    row: Row
    document: documents.Document
    path: tuple[str | int, ...]

    def build_error(self, field: str, problem: str) -> errors.SettingsError:
        """Returns the error for a field of this row."""
        return self.document.build_error((*self.path, field), problem)


def _parse_rows(
    document: documents.Document,
) -> tuple[
    list[_DeclaredRow[entities.Pool]], list[_DeclaredRow[entities.Route]]
]:
    """Returns the pools and routes that one file declares.

    Raises:
        SettingsError: If a field is missing, unknown or invalid.
    """
    try:
        tables = TablesDeclaration.model_validate(document.content)
    except pydantic.ValidationError as error:
        raise document.build_validation_error(error) from error
    pools = [
        _DeclaredRow(pool.build(), document, ("pools", index))
        for index, pool in enumerate(tables.pools)
    ]
    routes = [
        _DeclaredRow(route.build(), document, ("routes", index))
        for index, route in enumerate(tables.routes)
    ]
    return pools, routes


def _check_duplicate_targets(pools: list[_DeclaredRow[entities.Pool]]) -> None:
    """Checks that no pool lists a target twice.

    Raises:
        SettingsError: If a pool lists a target twice.
    """
    for pool in pools:
        seen: set[str] = set()
        for index, target in enumerate(pool.row.targets):
            if target.address in seen:
                raise pool.document.build_error(
                    (*pool.path, "targets", index, "address"),
                    f"target {target.address} is listed twice in the pool",
                )
            seen.add(target.address)


def _check_duplicate_matches(
    routes: list[_DeclaredRow[entities.Route]],
) -> None:
    """Checks that no two routes have the same method and path prefix.

    Raises:
        SettingsError: If two routes have the same method and path prefix.
    """
    seen: dict[tuple[str, str], str] = {}
    for route in routes:
        match = (route.row.method, route.row.path_prefix)
        if match in seen:
            raise route.build_error(
                "path_prefix", f"route {seen[match]!r} matches the same"
            )
        seen[match] = route.row.name


def _check_pool_references(
    routes: list[_DeclaredRow[entities.Route]],
    pools: Mapping[str, entities.Pool],
) -> None:
    """Checks that the pool of each route exists.

    Raises:
        SettingsError: If the pool of a route does not exist.
    """
    for route in routes:
        if route.row.pool not in pools:
            raise route.build_error(
                "pool", f"pool {route.row.pool!r} does not exist"
            )


def _merge_rows(rows: list[_DeclaredRow[Row]]) -> dict[str, Row]:
    """Returns the rows by name.

    Raises:
        SettingsError: If two rows have the same name.
    """
    merged: dict[str, _DeclaredRow[Row]] = {}
    for row in rows:
        first = merged.setdefault(row.row.name, row)
        if first is not row:
            line = first.document.find_line(first.path)
            raise row.build_error(
                "name",
                f"{row.row.name!r} is declared twice, first in"
                f" {first.document.file}:{line}",
            )
    return {name: row.row for name, row in merged.items()}


def build_tables(sources: Iterable[documents.Document]) -> entities.Tables:
    """Returns the merged tables of the documents, at generation 0.

    Raises:
        SettingsError: If a field is invalid, if a name, a target of a pool or
            a match of a route is declared twice, or if the pool of a route
            does not exist.
    """
    pools: list[_DeclaredRow[entities.Pool]] = []
    routes: list[_DeclaredRow[entities.Route]] = []
    for document in sources:
        more_pools, more_routes = _parse_rows(document)
        pools += more_pools
        routes += more_routes
    pools_by_name = _merge_rows(pools)
    routes_by_name = _merge_rows(routes)
    _check_duplicate_targets(pools)
    _check_duplicate_matches(routes)
    _check_pool_references(routes, pools_by_name)
    return entities.Tables(0, routes_by_name, pools_by_name)


def parse_tables(file: str, content: Any) -> entities.Tables:
    """Returns the tables that parsed content declares, at generation 0.

    Args:
        file: File name for error messages.
        content: Parsed YAML or JSON.

    Raises:
        SettingsError: If the tables are invalid; see `build_tables`.
    """
    return build_tables([documents.Document(file, content)])


def read_tables(paths: Iterable[pathlib.Path]) -> entities.Tables:
    """Returns the merged tables of the files, at generation 0.

    Args:
        paths: YAML files with pools, routes or both.

    Raises:
        SettingsError: If a file cannot be read or parsed, or if the tables are
            invalid; see `build_tables`.
    """
    return build_tables([documents.read_document(path) for path in paths])


def dump_tables(tables: entities.Tables) -> dict[str, Any]:
    """Returns the content that declares the tables; see `parse_tables`."""
    return {
        "pools": [_dump_pool(pool) for pool in tables.pools.values()],
        "routes": [
            dataclasses.asdict(route) for route in tables.routes.values()
        ],
    }


def _dump_pool(pool: entities.Pool) -> dict[str, Any]:
    """Returns the declaration of a pool."""
    fields = dataclasses.asdict(pool)
    measuring = {
        "requests_per_second": fields.pop("measuring_requests_per_second"),
        "bytes_per_second": fields.pop("measuring_bytes_per_second"),
    }
    targets = list(fields.pop("targets"))
    return fields | {"measuring": measuring, "targets": targets}


def format_tables(tables: entities.Tables) -> str:
    """Returns the YAML text that declares the tables."""
    return yaml.safe_dump(
        dump_tables(tables), sort_keys=False, width=MAX_LINE_CHARS
    ).rstrip("\n")
