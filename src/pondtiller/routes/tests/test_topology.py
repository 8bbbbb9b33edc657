from pondtiller.routes.topology import Distance, Topology, common_homes

TWO_REGIONS = Topology({"a": "south", "b": "south", "c": "north"})


def test_distance_grows_from_zone_to_region():
    assert TWO_REGIONS.distance("a", "a") is Distance.SAME_ZONE
    assert TWO_REGIONS.distance("a", "b") is Distance.SAME_REGION
    assert TWO_REGIONS.distance("a", "c") is Distance.OTHER_REGION


def test_an_unknown_zone_is_near_only_itself():
    assert TWO_REGIONS.region("x") == ""
    assert TWO_REGIONS.distance("x", "x") is Distance.SAME_ZONE
    assert TWO_REGIONS.distance("x", "a") is Distance.OTHER_REGION
    assert TWO_REGIONS.distance("x", "y") is Distance.OTHER_REGION


def test_without_regions_all_other_zones_are_equally_far():
    assert Topology().distance("a", "b") is Distance.SAME_REGION


def test_homes_allow_their_regions_only():
    assert TWO_REGIONS.allows_zone("c", frozenset())
    assert TWO_REGIONS.allows_zone("a", frozenset({"south"}))
    assert not TWO_REGIONS.allows_zone("c", frozenset({"south"}))
    assert not TWO_REGIONS.allows_zone("x", frozenset({"south"}))


def test_two_rules_both_bind():
    south, both = frozenset({"south"}), frozenset({"south", "north"})
    assert common_homes(frozenset(), frozenset()) == frozenset()
    assert common_homes(south, frozenset()) == south
    assert common_homes(south, both) == south
    assert common_homes(south, frozenset({"north"})) is None
