"""The order of the kinds decides what a seed draws: one in the middle would change every seed."""

from pondtiller.soak.fault_kinds import KINDS


def test_kinds_keep_their_order() -> None:
    assert list(KINDS) == [
        "kill",
        "kill_all",
        "terminate",
        "freeze",
        "kill_leader",
        "terminate_leader",
        "freeze_leader",
        "cut_leader",
        "cut_runner",
        "cut_region",
        "store_down",
        "store_lossy",
        "slow_link",
        "silent_link",
        "silent_zone",
        "evacuate",
        "cold",
        "end_engine",
        "odd_entries",
    ]
