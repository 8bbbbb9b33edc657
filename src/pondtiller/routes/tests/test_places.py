from pondtiller.routes.places import Distance, Places, common_homes

TWO_REGIONS = Places({"a": "south", "b": "south", "c": "north"})


def test_distance_grows_from_the_zone_to_another_region():
    assert TWO_REGIONS.distance("a", "a") is Distance.SAME_ZONE
    assert TWO_REGIONS.distance("a", "b") is Distance.SAME_REGION
    assert TWO_REGIONS.distance("a", "c") is Distance.OTHER_REGION


def test_an_unknown_zone_is_near_nothing_but_itself():
    assert TWO_REGIONS.region("x") == ""
    assert TWO_REGIONS.distance("x", "x") is Distance.SAME_ZONE
    assert TWO_REGIONS.distance("x", "a") is Distance.OTHER_REGION
    assert TWO_REGIONS.distance("x", "y") is Distance.OTHER_REGION


def test_without_regions_all_other_zones_are_alike():
    assert Places().distance("a", "b") is Distance.SAME_REGION


def test_homes_allow_their_regions_only():
    assert TWO_REGIONS.may_hold("c", frozenset())
    assert TWO_REGIONS.may_hold("a", frozenset({"south"}))
    assert not TWO_REGIONS.may_hold("c", frozenset({"south"}))
    assert not TWO_REGIONS.may_hold("x", frozenset({"south"}))


def test_two_rules_both_bind():
    south, both = frozenset({"south"}), frozenset({"south", "north"})
    assert common_homes(frozenset(), frozenset()) == frozenset()
    assert common_homes(south, frozenset()) == south
    assert common_homes(south, both) == south
    assert common_homes(south, frozenset({"north"})) is None
