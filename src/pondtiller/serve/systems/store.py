"""The platform's object service: listed once, watched by some, adopted by all.

Few daemons of a zone watch; all others get documents from their peers. Owns `World.store` and
`World.stored_replicas`; the status objects of zones are written by `status`.
"""

from result import Err, Ok

from pondtiller.coordination.documents import Document
from pondtiller.coordination.registers import configuration as replica_configuration
from pondtiller.coordination.retries import RetryBudget
from pondtiller.hashing import rank
from pondtiller.serve.core import constants
from pondtiller.serve.core.events import (
    StoredObject,
    StoreFailed,
    StoreListed,
    StoreWatched,
    StoreWriteEnded,
    StoreWriteResult,
)
from pondtiller.serve.core.instructions import ListStore, WatchStore
from pondtiller.serve.core.timers import TimerKind
from pondtiller.serve.core.views import StoredReplicas
from pondtiller.serve.core.world import World
from pondtiller.serve.systems import fleet, peers, shard_documents
from pondtiller.table import sheet

WATCHER_CHECK_SECONDS = 2.0
"""How often a daemon looks whether it is a watcher of its zone. Chosen, not measured."""
DOCUMENTS = (sheet.DOCUMENT_NAME, constants.FLEET_DOCUMENT)


def run(world: World, now: float) -> None:
    """Take the service's answers, start the next call and adopt new documents."""
    for listed in world.batch.of(StoreListed):
        _note_answer(world, now)
        world.store.listed = True
        world.store.outdated = False
        _take_objects(world, listed.objects, listed.revision, now)
    for watched in world.batch.of(StoreWatched):
        _note_answer(world, now)
        _take_objects(world, watched.objects, watched.revision, now)
    for failed in world.batch.of(StoreFailed):
        world.store.is_busy = False
        world.store.outdated = world.store.outdated or failed.expired
        world.set_timer(TimerKind.STORE, now + constants.STORE_RETRY_SECONDS)
    for ended in world.batch.of(StoreWriteEnded):
        _note_write(world, ended, now)
    _start_call(world, now)
    _write_again(world)
    _adopt_documents(world, now)


def refresh(world: World) -> None:
    """Ask for a fresh list with the next call."""
    world.store.outdated = True
    world.set_timer(TimerKind.STORE, world.store.answered_at or 0.0)


def _note_answer(world: World, now: float) -> None:
    world.store.is_busy = False
    world.store.answered_at = now
    world.clear_timer(TimerKind.STORE)


def _take_objects(
    world: World, objects: tuple[StoredObject, ...], revision: int, now: float
) -> None:
    for stored in objects:
        if stored.name in DOCUMENTS:
            world.documents.adopt(stored.name, stored.revision, stored.body, now)
        elif stored.name == replica_configuration.STORED_OBJECT:
            _take_replicas(world, stored, now)
    world.store.revision = revision


def _take_replicas(world: World, stored: StoredObject, now: float) -> None:
    if stored.revision <= world.stored_replicas.revision:
        return
    match replica_configuration.parse(stored.body):
        case Ok(configuration):
            world.stored_replicas = StoredReplicas(stored.revision, configuration)
            shard_documents.spread_configuration(world, configuration, now)
        case Err(problem):
            world.log("document_invalid", document=stored.name, problem=problem)


def _start_call(world: World, now: float) -> None:
    store = world.store
    if store.is_busy or (world.timer_is_set(TimerKind.STORE) and not store.outdated):
        return
    if not store.listed or store.outdated:
        store.is_busy = True
        store.outdated = False
        world.do(ListStore())
    elif _is_watcher(world):
        store.is_busy = True
        world.do(WatchStore(store.revision))
    else:
        world.set_timer(TimerKind.STORE, now + WATCHER_CHECK_SECONDS)


def _is_watcher(world: World) -> bool:
    ranked = rank(f"watch/{world.zone}", world.membership.live_names_in(world.zone))
    return world.name in ranked[: constants.WATCHERS_PER_ZONE]


def _write_again(world: World) -> None:
    """Repeat a write whose outcome is open; the same compare-and-swap finds out."""
    if world.due_keys(TimerKind.STORE_WRITE) and world.pending_configuration is not None:
        world.do(world.pending_configuration)


def _note_write(world: World, ended: StoreWriteEnded, now: float) -> None:
    pending = world.pending_configuration
    if ended.name != replica_configuration.STORED_OBJECT or pending is None:
        return
    if ended.result == StoreWriteResult.UNKNOWN:
        world.set_timer(TimerKind.STORE_WRITE, now + constants.STORE_RETRY_SECONDS)
        return
    world.pending_configuration = None
    if ended.result == StoreWriteResult.WRITTEN:
        _take_replicas(world, StoredObject(ended.name, ended.revision, pending.body), now)
    else:
        refresh(world)


def _adopt_documents(world: World, now: float) -> None:
    adopted = world.documents.take_adopted()
    for document in adopted:
        if document.name == sheet.DOCUMENT_NAME:
            _adopt_sheet(world, document)
        elif document.name == constants.FLEET_DOCUMENT:
            fleet.adopt_fleet(world, document)
        elif document.name.startswith(replica_configuration.DOCUMENT_PREFIX):
            shard_documents.adopt_shard(world, document, now)
    if adopted:
        peers.spread(world)


def _adopt_sheet(world: World, document: Document) -> None:
    match sheet.parse(document.body):
        case Ok(parsed):
            world.sheet = parsed
            world.rows = {row.key: row for row in parsed.rows}
            for key, row in world.rows.items():
                world.budgets.setdefault(key, RetryBudget(row.retry_ratio)).ratio = row.retry_ratio
            world.log("table_in_force", revision=document.revision, rows=len(parsed.rows))
        case Err(problem):
            world.log("document_invalid", document=document.name, problem=problem)
