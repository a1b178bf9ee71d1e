"""Output formats of a timeline: text, JSON lines, Chrome trace."""

from collections.abc import Iterator
import dataclasses
import json
import time
from typing import Any, Final

from wigeonspool.model import events
from wigeonspool.operator import collecting

MICROSECONDS_PER_MS: Final = 1000

# A request is one span in its gateway: "b" begins it at the receipt and "e"
# ends it at the outcome. All other events of the request are instants within
# the span, with phase "n".
SPAN_PHASES: Final[dict[events.Kind, str]] = {
    events.Kind.REQUEST_RECEIVED: "b",
    events.Kind.REQUEST_SETTLED: "e",
}


def _format_time(wall_ms: int) -> str:
    """Returns a time of day in UTC, with milliseconds."""
    seconds, milliseconds = divmod(wall_ms, 1000)
    time_of_day = time.strftime("%H:%M:%S", time.gmtime(seconds))
    return f"{time_of_day}.{milliseconds:03d}"


def format_event(event: events.Event) -> str:
    """Returns an event as a line of text, with a line for each candidate."""
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


def iterate_text(collected: collecting.Timeline) -> Iterator[str]:
    """Yields a timeline as lines of text; notes begin with a number sign."""
    for event in collected.events:
        yield format_event(event)
    for note in collected.notes:
        yield f"# {note.process}: {note.problem}"


def iterate_json(collected: collecting.Timeline) -> Iterator[str]:
    """Yields a timeline as JSON lines; notes are objects with a `note`."""
    for event in collected.events:
        yield json.dumps(dataclasses.asdict(event))
    for note in collected.notes:
        yield json.dumps({"note": dataclasses.asdict(note)})


def _build_entry(event: events.Event, process_id: int) -> dict[str, Any]:
    """Returns an event as an entry of the Chrome trace format."""
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
        # Trace viewers match the begin and the end of a span by name,
        # category and ID.
        entry["ph"] = SPAN_PHASES.get(event.kind, "n")
        entry["id"] = event.request
        entry["name"] = event.request
        if entry["ph"] == "n":
            entry["name"] = f"{event.kind} {event.target}".rstrip()
    return entry


def build_chrome_trace(collected: collecting.Timeline) -> dict[str, Any]:
    """Returns a timeline as a document in the Chrome trace format."""
    names = sorted({event.stamp.process for event in collected.events})
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
        _build_entry(event, process_ids[event.stamp.process])
        for event in collected.events
    ]
    notes = [dataclasses.asdict(note) for note in collected.notes]
    return {
        "traceEvents": entries,
        "displayTimeUnit": "ms",
        "otherData": {"notes": notes},
    }
