"""The system's own objects, and small ones of others, parsed and formatted."""

import math
from dataclasses import dataclass
from typing import Any

from pondtiller.platform.object_client import StoreObject
from pondtiller.platform.values import address, is_whole
from pondtiller.routes.quarantine import Suspect
from pondtiller.wire.steplog import Group, GroupMember

GROUP_NAME = "first"
RETIRED = "succeeded"
RETIRING = "running"


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """A version of a model's weights that a trainer published."""

    model: str
    version: int


def named_version(found: StoreObject) -> NamedVersion | None:
    """Parse a published version; None if it is invalid."""
    spec = found.spec if isinstance(found.spec, dict) else {}
    model: Any = spec.get("model")
    version: Any = spec.get("version")
    if not isinstance(model, str) or not is_whole(version) or version < 1:
        return None
    return NamedVersion(model, version)


def is_retired(found: StoreObject) -> bool:
    """Return whether a retirement is marked as done."""
    return isinstance(found.status, dict) and found.status.get("state") == RETIRED


def retirement_status(is_done: bool) -> dict[str, Any]:
    """Return the status of a retirement."""
    return {"state": RETIRED if is_done else RETIRING}


def replica_spec(member: GroupMember) -> dict[str, Any]:
    """Return a replica's own object."""
    return {"zone": member.zone, "address": f"{member.host}:{member.port}"}


def group_spec(group: Group) -> dict[str, Any]:
    """Return the first group as an object."""
    members = [
        {
            "name": member.name,
            "disk": member.disk,
            "zone": member.zone,
            "address": f"{member.host}:{member.port}",
        }
        for member in group.members
    ]
    return {"generation": group.generation, "members": members}


def read_group(found: StoreObject) -> Group | None:
    """Parse the first group's object; None if it is invalid."""
    try:
        members = []
        for given in found.spec["members"]:
            place = address(given["address"])
            members.append(
                GroupMember(
                    name=given["name"],
                    disk=given["disk"],
                    zone=given["zone"],
                    host=place.host,
                    port=place.port,
                )
            )
        return Group(generation=int(found.spec["generation"]), members=members)
    except (KeyError, TypeError, ValueError):
        return None


def suspect_spec(suspect: Suspect) -> dict[str, Any]:
    """Return the object of a content under which engines crashed."""
    spec = {"ends": sorted(suspect.ends), "until": suspect.until}
    if suspect.trials:
        spec |= {"trials": suspect.trials, "tried_at": suspect.tried_at}
    if suspect.inconclusive:
        spec["inconclusive"] = suspect.inconclusive
    return spec


def read_suspect(found: StoreObject) -> Suspect | None:
    """Parse the object of a content; None if it is invalid."""
    try:
        ends, until = found.spec["ends"], float(found.spec["until"])
        trials, tried_at = int(found.spec.get("trials", 0)), float(found.spec.get("tried_at", 0))
        inconclusive = int(found.spec.get("inconclusive", 0))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None
    if not isinstance(ends, list) or not math.isfinite(until) or not math.isfinite(tried_at):
        return None
    names_of_ends = frozenset(str(each) for each in ends)
    trials = max(0, trials)
    inconclusive = min(max(0, inconclusive), trials)
    return Suspect(found.name, names_of_ends, until, trials, tried_at, inconclusive)
