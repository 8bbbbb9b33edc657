"""Saves unfinished texts of samples at replicas, and reads those that an earlier leader saved.

Holds what was sent to each replica in this term. The texts themselves belong to the scheduler;
which of them are worth saving is decided in `rollouts/progress.py`. A lost text costs only the time
that it took to make.
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
"""Time limit of a member's answer with its texts, in running time of this process; after that the
next member is asked. Limits the delay of a new leader's samples if a member is gone; seven round
trips between regions (40 ms)."""

MAX_RELAYS = 6
"""Runners that forward the texts of a leader that cannot reach the replicas, each a part of them:
50 long texts are 1 MB, five times that for five members, and a successor reads them soon."""

HAND_OVER_SECONDS = 0.1
"""How long a leader whose lease has expired waits for its texts to be sent before it ends its runs.
A successor starts none earlier than 0.3 s later: it must be elected and read the log and texts."""


class UnfinishedTexts:
    """Unfinished texts during one term.

    Parameters
    ----------
    stalls
        Measures pauses of this process, which do not count as silence of a member.
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
        """Save unfinished texts at one more replica than may be lost at a time.

        Parameters
        ----------
        is_last
            Whether this leader hands over; texts of recently started runs are then saved too.
        """
        now = clock.monotonic()
        links = self._leadership.member_links()
        chosen = links[: self._leadership.losses + 1]
        works = self._scheduler.work.values()
        for update in self._saver.updates_for(chosen, works, now, is_last):
            encoded = encode_message(SaveProgress(epoch=self._epoch, samples=update.samples))
            for number in update.links:
                link = self._leadership.replicas.link(number)
                if link is not None:
                    await link.send(encoded)

    async def hand_over(self) -> None:
        """Have runners save unfinished texts at replicas that this gateway can no longer reach.

        A leader that is disconnected from the replicas continues until its lease expires, without
        saving anything. No successor leads before `LEASE_MARGIN_SECONDS` after that, so it finds
        these texts.
        """
        samples = ProgressSaver().update_for(
            0, self._scheduler.work.values(), clock.monotonic(), True
        )
        relays = self._runners.relays(MAX_RELAYS) if samples else []
        logs.decision("texts_handed_over", epoch=self._epoch, texts=len(samples), to=len(relays))
        for place, link in enumerate(relays):
            part = samples[place :: len(relays)]
            await link.send(SaveProgress(epoch=self._epoch, samples=part))
        give_up = clock.monotonic() + HAND_OVER_SECONDS
        while any(each.has_unsent for each in relays) and clock.monotonic() < give_up:
            await curio.sleep(HAND_OVER_SECONDS / 10)

    async def read(self, samples: Iterable[str]) -> None:
        """Read the texts of some samples, each from one member, for the scheduler.

        Reading takes processor time of this gateway while engines wait, so a member is asked only
        for texts that the members before it did not have.
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
