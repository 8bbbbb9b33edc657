"""Evacuations from the command line, written to a store on its own socket."""

import curio
from cleo.testers.command_tester import CommandTester

from pondtiller.address import Address
from pondtiller.cli.application import build
from pondtiller.cli.table_evacuate import change
from pondtiller.platform.object_client import PutOutcome
from pondtiller.standins.store import StandInStore


def test_an_evacuation_is_written_and_revoked_once() -> None:
    async def main() -> None:
        store = StandInStore()
        serving = await curio.spawn(store.serve)
        host, port = store.listener.getsockname()
        place = Address(host, port)
        assert await change(place, "b", False) is PutOutcome.DONE
        assert store.kinds["evacuations"]["b"]["spec"] == {}
        assert await change(place, "b", False) is PutOutcome.CONFLICT
        assert await change(place, "b", True) is PutOutcome.DONE
        assert store.kinds["evacuations"] == {}
        assert await change(place, "b", True) is PutOutcome.MISSING
        await serving.cancel()

    curio.run(main)


def test_a_store_that_does_not_answer_is_reported_with_its_exit_code() -> None:
    tester = CommandTester(build().find("table evacuate"))
    assert tester.execute("b --store 127.0.0.1:1") == 3
    assert "give it again" in tester.io.fetch_error()


def test_bad_input_is_reported() -> None:
    tester = CommandTester(build().find("table evacuate"))
    assert tester.execute("b --store nowhere") == 2
    assert tester.execute("a/b --store 127.0.0.1:1") == 2
