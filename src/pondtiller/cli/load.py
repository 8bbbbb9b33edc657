"""`pondtiller load`: open-loop load on a running service, with histograms."""

import random

import curio
from cleo.commands.command import Command
from cleo.helpers import option
from result import Err

from pondtiller.cli.common import (
    EXIT_OK,
    EXIT_VIOLATION,
    bad_option,
    read_address,
    read_number,
)
from pondtiller.config.deployment import Traffic
from pondtiller.demo.load import LiveLoad
from pondtiller.emulator.text import expected_answer


class LoadCommand(Command):
    """Send requests at a rate and print the latencies."""

    name = "load"
    description = "Open-loop load on a running service on loopback."
    options = [
        option("url", None, "Where callers send requests, HOST:PORT.", flag=False),
        option("service", None, "Service row.", flag=False, default="quote"),
        option("caller", None, "Caller row.", flag=False, default="estimator"),
        option("rate", None, "Requests a second.", flag=False, default="20"),
        option("seconds", None, "Length.", flag=False, default="10"),
        option("max-tokens", None, "Longest answer.", flag=False, default="64"),
        option("once-share", None, "Share that must not be repeated.", flag=False, default="0"),
        option("stream-share", None, "Share that is streamed.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Run the load; exit 1 where an answer was wrong."""
        address = read_address(self.option("url") or "")
        if isinstance(address, Err):
            return bad_option(self, "url", address.err_value)
        if not address.ok_value.host.startswith("127."):
            return bad_option(self, "url", "load goes to loopback only")
        numbers: dict[str, float] = {}
        bounds = {
            "rate": (0.1, 10_000),
            "seconds": (1, 3_600),
            "max-tokens": (1, 100_000),
            "once-share": (0, 1),
            "stream-share": (0, 1),
        }
        for name, (smallest, largest) in bounds.items():
            value = read_number(self.option(name), smallest, largest)
            if isinstance(value, Err):
                return bad_option(self, name, value.err_value)
            numbers[name] = value.ok_value
        traffic = Traffic(
            service=self.option("service"),
            caller=self.option("caller"),
            requests_a_second=numbers["rate"],
            maximum_tokens=int(numbers["max-tokens"]),
            once_share=numbers["once-share"],
            stream_share=numbers["stream-share"],
        )
        load = LiveLoad([address.ok_value], {}, random.Random())
        curio.run(load.run, (traffic,), numbers["seconds"])
        return self._report(load)

    def _report(self, load: LiveLoad) -> int:
        requests = load.result.requests
        wrong = 0
        errors: dict[str, int] = {}
        for request in requests:
            answered = request.answered()
            if answered is None:
                last = request.tries[-1].error if request.tries else None
                name = last.value if last is not None else "connection"
                errors[name] = errors.get(name, 0) + 1
            elif answered.text != expected_answer(request.prompt, request.maximum_tokens):
                wrong += 1
        latencies = load.result.latencies
        answered_count = latencies.get_total_count()
        self.line(f"requests {len(requests)}, answered {answered_count}, wrong {wrong}")
        for name, count in sorted(errors.items()):
            self.line(f"  {name}: {count}")
        for percentile in (50, 90, 99, 99.9):
            seconds = latencies.get_value_at_percentile(percentile) / 1e6
            self.line(f"  {percentile:g}%: {seconds:.4f} s")
        return EXIT_VIOLATION if wrong else EXIT_OK
