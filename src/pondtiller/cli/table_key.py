"""`pondtiller table key`: a tenant's keys, of which the table has digests only.

A key is read from a file or standard input, never from the command line, and is not written
anywhere.
"""

import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from pydantic import ValidationError
from result import Err, Ok, Result

from pondtiller.address import Address
from pondtiller.cli.common import EXIT_OK, print_problems
from pondtiller.cli.table_edits import platform_option, read_table, run_on_platform, submit
from pondtiller.hashing import DIGEST_SHOWN
from pondtiller.process.problems import Problem
from pondtiller.routes.tenants import digest_of
from pondtiller.table.sheet import CellChange, RowKind, cell_text, explain

ADD, REVOKE = "add", "revoke"
COLUMN = "keys"


class TableKeyCommand(Command):
    """Add a key to a tenant, or revoke one."""

    name = "table key"
    description = "Add or revoke a tenant's key, read from standard input or a file."
    arguments = [
        argument("tenant", "Name of the tenant's row."),
        argument("action", f"{ADD} or {REVOKE}."),
    ]
    options = [
        platform_option(),
        option("file", "f", "File that holds the key; standard input if left out.", flag=False),
    ]

    def handle(self) -> int:
        """Submit the edit of the tenant's digests."""
        return run_on_platform(self, self._run)

    async def _run(self, platform: Address) -> int:
        tenant, action = self.argument("tenant"), self.argument("action")
        if action not in (ADD, REVOKE):
            return self._bad("action", f"give {ADD} or {REVOKE}")
        match read_key(self.option("file")):
            case Err(reason):
                return self._bad("key", reason)
            case Ok(key):
                digest = digest_of(key)
        seen = cell_text((await read_table(platform)).row(RowKind.TENANT, tenant), COLUMN)
        new = changed_digests(seen, digest, action)
        if new == seen:
            self.line(f"no difference: key {digest[:DIGEST_SHOWN]}")
            return EXIT_OK
        try:
            change = CellChange(kind=RowKind.TENANT, name=tenant, column=COLUMN, seen=seen, new=new)
        except ValidationError as error:
            return self._bad("tenant", explain(error))
        self.line(f"{action} key {digest[:DIGEST_SHOWN]}")
        return await submit(self, platform, (change,))

    def _bad(self, key: str, reason: str) -> int:
        return print_problems(self, [Problem("command line", key, reason)])


def changed_digests(seen: str, digest: str, action: str) -> str:
    """Return the cell of a tenant's digests with one added or revoked."""
    digests = set(seen.split())
    if action == ADD:
        digests.add(digest)
    else:
        digests.discard(digest)
    return " ".join(sorted(digests))


def read_key(file: str | None) -> Result[str, str]:
    """Return the key in a file or on standard input, without surrounding blanks.

    A key is never an argument, since other users of the machine can see arguments.
    """
    try:
        text = Path(file).read_text(encoding="utf-8") if file else sys.stdin.read()
    except (OSError, UnicodeDecodeError) as error:
        return Err(str(error))
    key = text.strip()
    if not key or len(key.split()) != 1:
        return Err("one key without blanks is needed")
    return Ok(key)
