"""The memory of a process, split into private and shared pages."""

import dataclasses
import pathlib

KIB_PER_MIB = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Memory of a process, in MiB.

    Attributes:
        resident: All resident pages.
        private: Pages that only this process maps.
        shared: Pages that other processes map too, such as libraries.
    """

    resident: float
    private: float
    shared: float


def parse_smaps_rollup(text: str) -> ProcessMemory:
    """Returns the memory that the text of a `smaps_rollup` file states.

    Raises:
        KeyError: If a size is missing.
    """
    sizes: dict[str, float] = {}
    for line in text.splitlines():
        name, _, rest = line.partition(":")
        fields = rest.split()
        if len(fields) == 2 and fields[1] == "kB":
            sizes[name] = int(fields[0]) / KIB_PER_MIB
    return ProcessMemory(
        sizes["Rss"],
        sizes["Private_Clean"] + sizes["Private_Dirty"],
        sizes["Shared_Clean"] + sizes["Shared_Dirty"],
    )


def read_process_memory(pid: int) -> ProcessMemory:
    """Returns the memory of a process.

    Args:
        pid: Its process id.

    Raises:
        OSError: If the process does not exist or may not be read.
    """
    path = pathlib.Path(f"/proc/{pid}/smaps_rollup")
    return parse_smaps_rollup(path.read_text(encoding="ascii"))
