"""A value outlives its leader: two of three replicas sync it, and the next leader reads it."""

from pondtiller.steplog.instructions import Committed, ElectionWon, Send
from pondtiller.steplog.leader import LeaderLog
from pondtiller.steplog.replica import Replica
from pondtiller.wire.steplog import Append, Group, GroupMember, Prepare

members = [GroupMember(name=f"r{number}", disk=f"d{number}") for number in range(3)]
replicas = [Replica(member, may_form=True, started_at=0.0) for member in members]


def carry_out(log: LeaderLog, reachable: set[int], now: float) -> list[ElectionWon | Committed]:
    """Deliver messages and answers; a driver would sync each reply's record first."""
    told: list[ElectionWon | Committed] = []
    while instructions := log.pop_instructions():
        for each in instructions:
            if isinstance(each, ElectionWon | Committed):
                told.append(each)
            elif isinstance(each, Send) and each.link in reachable:
                replica, message = replicas[each.link], each.message
                if isinstance(message, Prepare):
                    log.promised(each.link, replica.prepare(message, now).message, now)
                elif isinstance(message, Append):
                    log.appended(each.link, replica.append(message, now).message, now)
                else:
                    log.fetched(each.link, replica.fetch(message).message, now)
    return told


def lead(name: str, identity: int, reachable: set[int], now: float) -> LeaderLog:
    """Stand and win."""
    log = LeaderLog(name, "127.0.0.1", 1, identity)
    for link in reachable:
        log.connected(link, members[link], now)
    log.campaign(replicas[2].promised, Group(generation=1, members=members), now)
    print(
        name,
        [each.entries for each in carry_out(log, reachable, now) if isinstance(each, ElectionWon)],
    )
    return log


first = lead("first", 1, {0, 1}, now=2.0)
first.put("sample/1", b"kept")
first.flush(2.0)
print(carry_out(first, {0, 1}, 2.0))
second = lead("second", 2, {1, 2}, now=4.0)
