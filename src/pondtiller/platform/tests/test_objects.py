"""Objects that gateways write to the store: written ones can be read, invalid ones are not."""

import pytest

from pondtiller.platform import objects
from pondtiller.platform.object_client import StoreObject
from pondtiller.routes.quarantine import Suspect

SUSPECT = Suspect("c", frozenset({"e0@1", "e1@1"}), 1234.5, 3, 99.0, 2)


def test_the_object_of_a_content_survives_writing_and_reading() -> None:
    spec = objects.suspect_spec(SUSPECT)
    assert objects.read_suspect(StoreObject("c", 1, spec)) == SUSPECT


@pytest.mark.parametrize(("given", "read"), [(-1, 0), (9, SUSPECT.trials), ("2", 2)])
def test_no_more_trials_are_inconclusive_than_were_made(given: object, read: int) -> None:
    spec = {**objects.suspect_spec(SUSPECT), "inconclusive": given}
    told = objects.read_suspect(StoreObject("c", 1, spec))
    assert told is not None
    assert told.inconclusive == read


@pytest.mark.parametrize("given", [None, "two", [], {}])
def test_a_content_with_invalid_trials_is_not_parsed(given: object) -> None:
    spec = {**objects.suspect_spec(SUSPECT), "inconclusive": given}
    assert objects.read_suspect(StoreObject("c", 1, spec)) is None
