import random

from pondtiller.coordination.member import Member, MemberStatus
from pondtiller.coordination.membership import Membership, MembershipSettings

STEP_SECONDS = 0.1


class Group:
    """Members joined by a network that loses messages to and from disconnected members."""

    def __init__(self, names):
        self.now = 0.0
        self.cut = set()
        seed = self.describe(names[0], 1)
        self.nodes = {name: self.build(name, 1, seed) for name in names}

    def describe(self, name, incarnation):
        return Member(name=name, zone="a", incarnation=incarnation, storage=1)

    def build(self, name, incarnation, seed):
        source = random.Random(f"{name}{incarnation}")
        member = self.describe(name, incarnation)
        return Membership(member, [seed], MembershipSettings(), source)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for node in list(self.nodes.values()):
                node.run(self.now)
            self.deliver()

    def deliver(self):
        while True:
            sent = []
            for name, node in self.nodes.items():
                sent.extend((name, output) for output in node.take_outputs())
            if not sent:
                return
            for sender, output in sent:
                if output.target not in self.nodes or {sender, output.target} & self.cut:
                    continue
                self.hand_over(sender, output)

    def hand_over(self, sender, output):
        source, target = self.nodes[sender], self.nodes[output.target]
        target.note_sender(sender, source.this_member.incarnation)
        target.receive_updates(sender, source.updates_for(output.target), self.now)
        target.receive_digest(sender, source.digest_for(output.target))
        target.receive(sender, output.message, self.now)

    def views(self):
        return {name: node.live_names() for name, node in self.nodes.items()}


NAMES = [f"m{number}" for number in range(7)]


def test_all_members_find_each_other_through_one_seed():
    group = Group(NAMES)
    group.run(5)
    assert all(view == NAMES for view in group.views().values())


def test_a_dead_member_is_detected_and_returns_with_a_new_incarnation():
    group = Group(NAMES)
    group.run(5)
    del group.nodes["m3"]
    group.run(15)
    assert all("m3" not in view for view in group.views().values())
    group.nodes["m3"] = group.build("m3", 2, group.describe("m0", 1))
    group.run(8)
    assert all(view == NAMES for view in group.views().values())


def test_a_disconnected_member_is_dropped_and_returns_when_the_partition_ends():
    group = Group(NAMES)
    group.run(5)
    group.cut = {"m2"}
    group.run(20)
    assert "m2" not in group.nodes["m0"].live_names()
    # A member whose probes all fail distrusts itself first and suspects others later.
    group.run(60)
    assert group.nodes["m2"].live_names() == ["m2"]
    group.cut = set()
    group.run(40)
    assert all(view == NAMES for view in group.views().values())


def test_suspected_member_that_is_alive_refutes():
    group = Group(NAMES)
    group.run(5)
    group.cut = {"m2"}
    group.run(2)
    group.cut = set()
    group.run(6)
    assert all(node.members["m2"].is_live for node in group.nodes.values())
    assert group.nodes["m2"].this_member.incarnation == 1


def test_a_leaving_member_has_no_duty_and_is_not_declared_dead():
    group = Group(NAMES)
    group.run(5)
    group.nodes["m1"].leave()
    group.run(3)
    assert all("m1" not in view for view in group.views().values())
    statuses = {node.members["m1"].status for node in group.nodes.values()}
    assert statuses == {MemberStatus.LEAVING}


def test_messages_of_a_member_do_not_grow_with_the_group():
    counts = {}
    for size in (5, 25):
        group = Group([f"m{number:02}" for number in range(size)])
        group.run(10)
        sent = 0
        original = group.hand_over

        def count(sender, output, original=original):
            nonlocal sent
            sent += 1
            original(sender, output)

        group.hand_over = count
        group.run(20)
        counts[size] = sent / size
    assert counts[25] <= counts[5] * 1.3


def test_different_views_are_detected_by_their_digest():
    group = Group(NAMES)
    group.run(5)
    lost = group.nodes["m4"].members.pop("m5")
    group.nodes["m4"]._view_digest ^= lost.digest
    group.nodes["m4"]._held.discard(group.nodes["m4"]._encoded.pop("m5"))
    group.nodes["m4"]._live = None
    group.run(90)
    assert "m5" in group.nodes["m4"].live_names()
