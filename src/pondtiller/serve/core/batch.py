"""The events that the systems read in one pass of a tick, by type.

Lasts for one pass: what a system emits into `World.inbox` is in the next one; what it adds here is
seen only by the systems after it in this pass.
"""

from collections.abc import KeysView
from typing import TypeVar, cast

from pondtiller.serve.core.events import Event

EventType = TypeVar("EventType")


class Batch:
    """The events of one pass, by type."""

    def __init__(self, events: list[Event]) -> None:
        self._by_type: dict[type, list[Event]] = {}
        for event in events:
            self.add(event)

    @property
    def types(self) -> KeysView[type]:
        """Types of the events in the batch."""
        return self._by_type.keys()

    def add(self, event: Event) -> None:
        """Add an event for the systems that follow in this pass."""
        self._by_type.setdefault(type(event), []).append(event)

    def of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of one type, in order of arrival."""
        return cast(list[EventType], self._by_type.get(event_type, []))
