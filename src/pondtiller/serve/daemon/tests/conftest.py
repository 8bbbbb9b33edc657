import pytest

from pondtiller.serve.daemon.tests.harness import running


@pytest.fixture(scope="package")
def service():
    with running() as started:
        yield started
