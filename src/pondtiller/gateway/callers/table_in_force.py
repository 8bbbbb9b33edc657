"""The table that is in force at this gateway.

Owns the table: set by the gateway's watches, read by whoever decides by its rows. It does not last;
a gateway that starts reads the table from the store. Whether a table may replace the one in force
is decided in `gateway/watches.py`.
"""

from pondtiller.routes.table import RouteTable


class TableInForce:
    """Holds the table.

    Attributes
    ----------
    table
        Rows in force; None until the first are known.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
