"""An unresponsive zone comes last, and is used again soon after it recovers."""

from pondtiller.routes.silent_zones import SILENT_SECONDS, SilentZones


def test_two_silent_engines_mark_their_zone_and_one_does_not() -> None:
    zones = SilentZones("own")
    assert not zones.note_silent("far", "e1", 10.0)
    assert not zones.note_silent("far", "e1", 10.2)
    assert not zones.is_silent("far", 10.3)
    assert zones.note_silent("far", "e2", 10.3)
    assert zones.is_silent("far", 10.4) and not zones.is_silent("other", 10.4)
    assert not zones.note_silent("far", "e3", 10.5)


def test_a_zone_is_tried_again_within_a_second_and_one_more_timeout_marks_it() -> None:
    zones = SilentZones("own")
    for engine in ("e1", "e2"):
        zones.note_silent("far", engine, 10.0)
    assert SILENT_SECONDS < 1.0
    assert not zones.is_silent("far", 10.0 + SILENT_SECONDS)
    zones.note_silent("far", "e1", 11.5)
    assert zones.is_silent("far", 11.6)


def test_an_answer_clears_the_mark_and_the_observations() -> None:
    zones = SilentZones("own")
    zones.note_silent("far", "e1", 10.0)
    assert not zones.note_answer("far")
    zones.note_silent("far", "e2", 10.1)
    assert not zones.is_silent("far", 10.2)
    zones.note_silent("far", "e1", 10.2)
    assert zones.note_answer("far")
    assert not zones.is_silent("far", 10.3)


def test_the_own_zone_is_never_silent() -> None:
    zones = SilentZones("own")
    for engine in ("e1", "e2", "e3"):
        assert not zones.note_silent("own", engine, 10.0)
    assert not zones.is_silent("own", 10.1)
