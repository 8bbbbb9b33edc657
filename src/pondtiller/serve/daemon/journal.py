"""The register journal on a small disk: SQLite, written before any reply leaves.

Owns the file in the data folder; it outlives restarts and carries the number under which the
member's registers are known. Holds registers only: requests, steps and documents are not kept.
"""

import sqlite3
from pathlib import Path

from pondtiller import wire
from pondtiller.coordination.registers.acceptor import (
    Acceptor,
    InstallKept,
    JournalEntry,
    Record,
    RecordChanged,
    ShardChanged,
)

FILE_NAME = "registers.sqlite3"

SCHEMA = """
CREATE TABLE IF NOT EXISTS identity (storage INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS shard (
    shard INTEGER PRIMARY KEY, epoch INTEGER NOT NULL, nonce TEXT NOT NULL, sealed INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS record (
    shard INTEGER NOT NULL, key TEXT NOT NULL, body BLOB NOT NULL, PRIMARY KEY (shard, key)
);
CREATE TABLE IF NOT EXISTS install (
    shard INTEGER NOT NULL, nonce TEXT NOT NULL, body BLOB NOT NULL, PRIMARY KEY (shard, nonce)
);
"""


class Journal:
    """Registers of one member, kept over restarts.

    Parameters
    ----------
    folder
        Data folder; it must exist and be writable.
    new_storage
        Number under which a new journal speaks, if none is there yet.
    """

    def __init__(self, folder: Path, new_storage: int) -> None:
        self._database = sqlite3.connect(folder / FILE_NAME)
        self._database.execute("PRAGMA journal_mode=WAL")
        self._database.execute("PRAGMA synchronous=FULL")
        self._database.executescript(SCHEMA)
        row = self._database.execute("SELECT storage FROM identity").fetchone()
        if row is None:
            self._database.execute("INSERT INTO identity VALUES (?)", (new_storage,))
            self._database.commit()
        self.storage = int(row[0]) if row is not None else new_storage

    def write(self, entries: tuple[JournalEntry, ...]) -> None:
        """Make entries durable; returns once they are on disk."""
        for entry in entries:
            match entry:
                case RecordChanged():
                    self._write_record(entry.shard, entry.record.to_wire(entry.key))
                case ShardChanged():
                    self._write_shard(entry)
                case InstallKept():
                    epoch = entry.install.epoch
                    self._database.execute(
                        "INSERT OR REPLACE INTO install VALUES (?, ?, ?)",
                        (epoch.shard, epoch.nonce, bytes(entry.install)),
                    )
        self._database.commit()

    def _write_record(self, shard: int, record: wire.RegisterRecord) -> None:
        self._database.execute(
            "INSERT OR REPLACE INTO record VALUES (?, ?, ?)", (shard, record.key, bytes(record))
        )

    def _write_shard(self, entry: ShardChanged) -> None:
        self._database.execute(
            "INSERT OR REPLACE INTO shard VALUES (?, ?, ?, ?)",
            (entry.shard, entry.epoch, entry.nonce, int(entry.sealed)),
        )
        if entry.records is None:
            return
        # The shard moved to another configuration: what waited for it is used up.
        self._database.execute("DELETE FROM record WHERE shard = ?", (entry.shard,))
        self._database.execute("DELETE FROM install WHERE shard = ?", (entry.shard,))
        for record in entry.records:
            self._write_record(entry.shard, record)

    def restore(self, acceptor: Acceptor, now: float) -> None:
        """Give a new acceptor what the journal holds."""
        shards = self._database.execute("SELECT shard, epoch, nonce, sealed FROM shard").fetchall()
        for number, epoch, nonce, sealed in shards:
            acceptor.restore(ShardChanged(number, epoch, nonce, bool(sealed), None), now)
        held = {number for number, epoch, _, _ in shards if epoch}
        for number, body in self._database.execute("SELECT shard, body FROM record").fetchall():
            if number in held:
                message = wire.RegisterRecord().parse(body)
                record = Record.from_wire(message, now)
                acceptor.restore(RecordChanged(number, message.key, record), now)
        for (body,) in self._database.execute("SELECT body FROM install").fetchall():
            acceptor.restore(InstallKept(wire.Install().parse(body)), now)

    def close(self) -> None:
        """Close the file."""
        self._database.close()
