"""Three members find each other; the driver here is a list of messages in flight."""

import random

from pondtiller.coordination.member import Member
from pondtiller.coordination.membership import Membership, MembershipSettings


def member(name: str) -> Member:
    """Return a member's description of itself."""
    return Member(name=name, zone="a", incarnation=1)


settings = MembershipSettings()
seed = member("one")
nodes = {
    name: Membership(member(name), [seed], settings, random.Random(name))
    for name in ("one", "two", "three")
}
for now in range(5):
    for name, node in nodes.items():
        node.run(float(now))
        for output in node.take_outputs():
            updates = node.updates_for(output.target)
            nodes[output.target].receive_updates(name, updates, float(now))
            nodes[output.target].receive(name, output.message, float(now))
print(nodes["three"].live_names())
