"""Every failure that this system raises, and its text.

Callers of a function decide by type, operators read the text. Both live here
so that one reading shows all that can go wrong.
"""

import reprlib
from typing import ClassVar


class WigeonspoolError(Exception):
    """Base of all typed failures.

    Attributes:
        code: Stable name of the failure, used in metrics and JSON output.
    """

    code: ClassVar[str] = "internal"


class SettingsError(WigeonspoolError):
    """A settings or tables file is invalid; nothing of it was applied.

    Attributes:
        file: Name of the file.
        field: Dotted name of the field, or "document" or "file".
        problem: What is wrong with it.
        line: Line of the field, from 1, or 0 if it is not known.
    """

    code = "invalid-settings"

    def __init__(
        self, file: str, field: str, problem: str, line: int = 0
    ) -> None:
        place = f"{file}:{line}" if line else file
        super().__init__(f"{place}: {field}: {problem}")
        self.file = file
        self.field = field
        self.problem = problem
        self.line = line


class BodyUnreadableError(WigeonspoolError):
    """A caller's request body did not arrive whole; nothing was sent."""

    code = "body-unreadable"

    def __init__(self, problem: str, timed_out: bool) -> None:
        super().__init__(f"request body could not be read: {problem}")
        self.timed_out = timed_out


class WireError(WigeonspoolError):
    """A peer broke the stream protocol; the connection is closed."""

    code = "wire"


class FrameTooLongError(WireError):
    """A frame announced more bytes than the bound allows."""

    code = "frame-too-long"

    def __init__(self, length: int, bound: int) -> None:
        super().__init__(f"frame of {length} bytes exceeds {bound} bytes")


class FrameEncodingError(WireError):
    """A frame is not a msgpack array of the expected shape."""

    code = "frame-encoding"

    def __init__(self, problem: str) -> None:
        super().__init__(f"frame cannot be decoded: {problem}")


class FrameVersionError(WireError):
    """A frame speaks a protocol version that this process does not."""

    code = "frame-version"

    def __init__(self, version: object) -> None:
        # What a peer sent may be huge or nested too deeply for repr().
        shown = reprlib.repr(version)
        super().__init__(f"protocol version {shown} is not supported")


class FrameKindError(WireError):
    """A frame is of a kind that this process does not know."""

    code = "frame-kind"

    def __init__(self, kind: object) -> None:
        shown = reprlib.repr(kind)
        super().__init__(f"message kind {shown} is not known")


class FrameCutError(WireError):
    """The connection ended inside a frame."""

    code = "frame-cut"

    def __init__(self, missing: int) -> None:
        super().__init__(f"connection ended {missing} bytes before frame end")


class FrameStalledError(WireError):
    """A frame began, but the rest of it did not come in time."""

    code = "frame-stalled"

    def __init__(self, seconds: float) -> None:
        super().__init__(f"frame was not whole after {seconds:g} s")


class SenderRoleError(WireError):
    """A peer sent a message that its role may not send."""

    code = "sender-role"

    def __init__(self, role: str, kind: str) -> None:
        shown = reprlib.repr(role)
        super().__init__(f"role {shown} may not send {kind}")


class PeerUnknownError(WireError):
    """A message came from a peer that is not in the membership."""

    code = "peer-unknown"

    def __init__(self, peer: str) -> None:
        super().__init__(f"peer {peer!r} is not a member")


class TokenError(WigeonspoolError):
    """An assignment token was forged, damaged or signed by an old key."""

    code = "token-invalid"

    def __init__(self, problem: str) -> None:
        super().__init__(f"assignment token: {problem}")


class StoreError(WigeonspoolError):
    """The platform's store could not serve a call."""

    code = "store"


class StoreUnavailableError(StoreError):
    """The store did not answer; whether a write took effect is unknown."""

    code = "store-unavailable"

    def __init__(self, call: str, problem: str) -> None:
        super().__init__(f"store call {call} failed: {problem}")


class StoreAnswerError(StoreError):
    """The store answered with something that is not its protocol."""

    code = "store-answer"

    def __init__(self, call: str, problem: str) -> None:
        super().__init__(f"store call {call} answered badly: {problem}")


class VmListError(WigeonspoolError):
    """The VM list could not be read."""

    code = "vm-list"

    def __init__(self, problem: str) -> None:
        super().__init__(f"VM list: {problem}")


class ChangeConflictError(WigeonspoolError):
    """Another operator's change took the generation first.

    Attributes:
        generation: Generation that the other change holds.
        author: Operator that wrote the winning change.
        change_id: Identity of the winning change.
    """

    code = "change-conflict"

    def __init__(self, generation: int, author: str, change_id: str) -> None:
        super().__init__(
            f"generation {generation} was taken by {author}"
            f" (change {change_id}); nothing of yours was applied"
        )
        self.generation = generation
        self.author = author
        self.change_id = change_id


class ChainBrokenError(WigeonspoolError):
    """A change follows other tables than those at its generation.

    Attributes:
        generation: Generation at which two histories differ.
    """

    code = "chain-broken"

    def __init__(self, generation: int) -> None:
        super().__init__(
            f"generation {generation} exists in two versions;"
            " the store may have been restored from a backup"
        )
        self.generation = generation


class ChangeUnknownError(WigeonspoolError):
    """It could not be learned whether a change took effect."""

    code = "change-unknown"

    def __init__(self, generation: int, change_id: str) -> None:
        super().__init__(
            f"change {change_id} may hold generation {generation};"
            " read the history before applying again"
        )


class ChangeTooLargeError(WigeonspoolError):
    """A change exceeds the value size that the store can hold."""

    code = "change-too-large"

    def __init__(self, size: int, bound: int) -> None:
        super().__init__(f"change of {size} bytes exceeds {bound} bytes")


class ProbeExpiredError(WigeonspoolError):
    """A probe was late, or its lease lapsed; nothing was sent."""

    code = "probe-expired"

    def __init__(self, target: str) -> None:
        super().__init__(f"probe of {target} came too late")
        self.target = target


class TargetGoneError(WigeonspoolError, ConnectionError):
    """A target broke a connection and then answered on no new one."""

    code = "target-gone"

    def __init__(self, address: str) -> None:
        super().__init__(
            f"target {address} is gone; what was sent may have run"
        )


class AgentUnavailableError(WigeonspoolError):
    """An agent did not answer an operator's command."""

    code = "agent-unavailable"

    def __init__(self, address: str, problem: str) -> None:
        super().__init__(f"agent {address} did not answer: {problem}")


class NotInForceError(WigeonspoolError):
    """A generation was accepted but did not reach all VMs in time."""

    code = "not-in-force"

    def __init__(self, generation: int, holders: int, vms: int) -> None:
        super().__init__(
            f"generation {generation} is accepted and in force on"
            f" {holders} of {vms} VMs"
        )


class BaseOutdatedError(WigeonspoolError):
    """The tables have changed since the state that a change is based on.

    Attributes:
        base: Generation that the operator worked from.
        head: Generation that the tables have.
        intervening_changes: One line for each difference that came between.
    """

    code = "base-outdated"

    def __init__(
        self, base: int, head: int, intervening_changes: tuple[str, ...]
    ) -> None:
        listed = "".join(f"\n  {line}" for line in intervening_changes)
        super().__init__(
            f"the tables are at generation {head}, not at {base};"
            f" nothing of yours was applied; what came between:{listed}"
        )
        self.base = base
        self.head = head
        self.intervening_changes = intervening_changes


class GenerationMissingError(WigeonspoolError):
    """The log does not hold a generation, or not any more."""

    code = "generation-missing"

    def __init__(self, generation: int, oldest: int, head: int) -> None:
        super().__init__(
            f"generation {generation} is not in the log, which holds"
            f" {oldest} to {head}"
        )


class TargetUnknownError(WigeonspoolError):
    """No pool lists a target, or the VM list does not name a VM."""

    code = "target-unknown"

    def __init__(self, name: str) -> None:
        super().__init__(f"no pool has a target at {name!r}")


class PlatformFormatError(WigeonspoolError):
    """What the platform says does not have the form that it documents."""

    code = "platform-format"

    def __init__(self, problem: str) -> None:
        super().__init__(f"unreadable word of the platform: {problem}")


class HistoryGoneError(StoreError):
    """The store dropped the history after a revision; read all anew."""

    code = "history-gone"

    def __init__(self, revision: int) -> None:
        super().__init__(f"the store has no history after {revision}")


class ConditionFailedError(StoreError):
    """A key was changed since it was read; nothing was written."""

    code = "condition-failed"

    def __init__(self, keys: tuple[str, ...]) -> None:
        super().__init__(f"changed since read: {', '.join(keys)}")
        self.keys = keys


class LeaseEndedError(StoreError):
    """A lease has ended; its keys are gone."""

    code = "lease-ended"

    def __init__(self, lease: int) -> None:
        super().__init__(f"lease {lease} has ended")
