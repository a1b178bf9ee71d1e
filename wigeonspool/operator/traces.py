"""Forms in which a time line is shown: text, JSON lines, Chrome trace."""

from collections.abc import Iterator
import dataclasses
import json
import time
from typing import Any, Final

from wigeonspool.model import events
from wigeonspool.operator import collecting

MICROSECONDS_PER_MS: Final = 1000

# A request is one span in its gateway; what happens to it lies within.
SPAN_PHASES: Final[dict[events.Kind, str]] = {
    events.Kind.REQUEST_RECEIVED: "b",
    events.Kind.REQUEST_SETTLED: "e",
}


def _format_time(wall_ms: int) -> str:
    """Returns a time of day in UTC, with milliseconds."""
    seconds, milliseconds = divmod(wall_ms, 1000)
    clock = time.strftime("%H:%M:%S", time.gmtime(seconds))
    return f"{clock}.{milliseconds:03d}"


def format_event(event: events.Event) -> str:
    """Returns the line that shows an event, and one for each candidate."""
    parts = [
        f"{_format_time(event.stamp.wall_ms)}+{event.stamp.counter}",
        event.stamp.process,
        event.kind,
        event.request,
        event.target,
        event.vm,
        *(
            f"{name}={value}"
            for name, value in event.detail.items()
            if value and not name.startswith(events.CANDIDATE_PREFIX)
        ),
    ]
    candidates = [
        f"\n    {value}"
        for name, value in event.detail.items()
        if name.startswith(events.CANDIDATE_PREFIX)
    ]
    return "  ".join(part for part in parts if part) + "".join(candidates)


def iterate_text(line: collecting.TimeLine) -> Iterator[str]:
    """Yields a time line as text; notes begin with a number sign."""
    for event in line.events:
        yield format_event(event)
    for note in line.notes:
        yield f"# {note.process}: {note.problem}"


def iterate_json(line: collecting.TimeLine) -> Iterator[str]:
    """Yields a time line as JSON lines; notes are objects with a `note`."""
    for event in line.events:
        yield json.dumps(dataclasses.asdict(event))
    for note in line.notes:
        yield json.dumps({"note": dataclasses.asdict(note)})


def _build_span(event: events.Event, process_id: int) -> dict[str, Any]:
    """Returns an event in the Chrome trace format."""
    stamp = event.stamp
    entry: dict[str, Any] = {
        "name": event.kind,
        "cat": "request" if event.request else "state",
        "ph": "i",
        "s": "p",
        "ts": stamp.wall_ms * MICROSECONDS_PER_MS + stamp.counter,
        "pid": process_id,
        "tid": 0,
        "args": dataclasses.asdict(event),
    }
    if event.request:
        # Begin and end of a span are matched by name, category and id.
        entry["ph"] = SPAN_PHASES.get(event.kind, "n")
        entry["id"] = event.request
        entry["name"] = event.request
        if entry["ph"] == "n":
            entry["name"] = f"{event.kind} {event.target}".rstrip()
    return entry


def build_chrome_trace(line: collecting.TimeLine) -> dict[str, Any]:
    """Returns a time line as a document that trace viewers open."""
    names = sorted({event.stamp.process for event in line.events})
    process_ids = {name: index + 1 for index, name in enumerate(names)}
    entries: list[dict[str, Any]] = [
        {
            "name": "process_name",
            "ph": "M",
            "pid": process_id,
            "tid": 0,
            "args": {"name": name},
        }
        for name, process_id in process_ids.items()
    ]
    entries += [
        _build_span(event, process_ids[event.stamp.process])
        for event in line.events
    ]
    notes = [dataclasses.asdict(note) for note in line.notes]
    return {
        "traceEvents": entries,
        "displayTimeUnit": "ms",
        "otherData": {"notes": notes},
    }
