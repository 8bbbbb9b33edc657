"""Unfinished texts of samples: left at replicas for a successor, and read by it.

Owns what each replica was sent in this term. The texts themselves are the scheduler's; which of
them are worth keeping is decided in `rollouts/progress.py`. A text that is lost costs the time that
it took to make, no promise.
"""

from collections.abc import Iterable

import curio

from pondtiller.gateway.leader.leadership import Leadership
from pondtiller.gateway.leader.runner_directory import RunnerDirectory
from pondtiller.links.frames import encode_message
from pondtiller.links.link import LinkLostError
from pondtiller.process import clock, logs
from pondtiller.process.stalls import StallWatch
from pondtiller.rollouts.progress import ProgressSaver
from pondtiller.rollouts.samples import SampleScheduler
from pondtiller.wire.steplog import ProgressList, ReadProgress, SaveProgress

PROGRESS_CALL_SECONDS = 0.3
"""How long a member may take to answer with the texts that it has, in seconds in which this process
runs; then the next one is asked. Bounds what a member that is gone costs a new leader's samples;
seven ways there and back between regions (40 ms)."""

MOST_RELAYS = 6
"""Runners that pass on the texts of a leader that replicas do not hear, each a part of them: 50
long texts are 1 MB, five times as much to five members, and a successor reads them soon."""

HAND_OVER_SECONDS = 0.1
"""How long a leader whose lease has ended waits for its texts to leave, before it ends its runs.
A successor begins none before it was elected and has read log and texts: 0.3 s at least."""


class UnfinishedTexts:
    """The texts of one term.

    Parameters
    ----------
    stalls
        Knows how long this process was paused, which is no silence of a member.
    """

    def __init__(
        self,
        leadership: Leadership,
        epoch: int,
        scheduler: SampleScheduler,
        runners: RunnerDirectory,
        stalls: StallWatch,
    ) -> None:
        self._leadership = leadership
        self._epoch = epoch
        self._scheduler = scheduler
        self._runners = runners
        self._stalls = stalls
        self._saver = ProgressSaver()

    async def save(self, is_last: bool = False) -> None:
        """Leave unfinished texts at replicas, one more than may be lost at a time.

        Parameters
        ----------
        is_last
            Whether this leader hands over: texts of young runs are worth keeping then too.
        """
        now = clock.monotonic()
        links = self._leadership.member_links()
        chosen = links[: self._leadership.losses + 1]
        works = self._scheduler.work.values()
        for news in self._saver.news_of(chosen, works, now, is_last):
            encoded = encode_message(SaveProgress(epoch=self._epoch, samples=news.samples))
            for number in news.links:
                link = self._leadership.replicas.link(number)
                if link is not None:
                    await link.send(encoded)

    async def hand_over(self) -> None:
        """Have runners leave unfinished texts at replicas that this gateway no longer reaches.

        A leader that is cut from the replicas goes on until its lease ends, and saves nothing
        meanwhile. No successor leads before `LEASE_MARGIN_SECONDS` later, so it finds them.
        """
        samples = ProgressSaver().news(0, self._scheduler.work.values(), clock.monotonic(), True)
        relays = self._runners.relays(MOST_RELAYS) if samples else []
        logs.decision("texts_handed_over", epoch=self._epoch, texts=len(samples), to=len(relays))
        for place, link in enumerate(relays):
            part = samples[place :: len(relays)]
            await link.send(SaveProgress(epoch=self._epoch, samples=part))
        give_up = clock.monotonic() + HAND_OVER_SECONDS
        while any(each.has_unsent for each in relays) and clock.monotonic() < give_up:
            await curio.sleep(HAND_OVER_SECONDS / 10)

    async def read(self, samples: Iterable[str]) -> None:
        """Read the texts of some samples, each from one member, for the scheduler.

        Reading takes this gateway's processor while engines wait, so a member is asked only for
        what those before it did not have.
        """
        wanted = set(samples)
        for number in self._leadership.member_links():
            link = self._leadership.replicas.link(number)
            if link is None or not wanted:
                continue
            message = ReadProgress(ids=list(wanted))
            try:
                answer = await self._stalls.call(PROGRESS_CALL_SECONDS, link.call, message, None)
            except LinkLostError:
                continue
            if isinstance(answer, ProgressList):
                for sample in answer.samples:
                    self._scheduler.keep_progress(sample)
                    wanted.discard(sample.id)
