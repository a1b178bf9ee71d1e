"""The memory of a process, told apart by whether others share it."""

import dataclasses
import pathlib

KIB_PER_MIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """Memory of a process, in MiB.

    Attributes:
        resident: All that is in memory.
        private: What only this process maps.
        shared: What others map too, as libraries are.
    """

    resident: float
    private: float
    shared: float


def parse_footprint(text: str) -> Footprint:
    """Returns the memory that a `smaps_rollup` file tells of."""
    sizes: dict[str, float] = {}
    for line in text.splitlines():
        name, _, rest = line.partition(":")
        fields = rest.split()
        if len(fields) == 2 and fields[1] == "kB":
            sizes[name] = int(fields[0]) / KIB_PER_MIB
    return Footprint(
        sizes["Rss"],
        sizes["Private_Clean"] + sizes["Private_Dirty"],
        sizes["Shared_Clean"] + sizes["Shared_Dirty"],
    )


def read_footprint(pid: int) -> Footprint:
    """Returns the memory of a process.

    Args:
        pid: Its process id.

    Raises:
        OSError: If it does not exist or may not be read.
    """
    path = pathlib.Path(f"/proc/{pid}/smaps_rollup")
    return parse_footprint(path.read_text(encoding="ascii"))
