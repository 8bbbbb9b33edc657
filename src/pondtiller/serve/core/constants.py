"""Sizes and times that daemons agree on; seconds unless a name says otherwise.

All daemons must use the same values: leases and retentions are promises to other members. A time
that only one system uses is a constant of that system's module.
"""

DEFAULT_LIVE_DEADLINE_SECONDS = 30.0
"""Of a live request whose row and caller give none. Chosen, not measured: longer than any answer of
the shipped deployments takes."""
DEFAULT_ROLLOUT_DEADLINE_SECONDS = 3600.0
"""Of a sample whose row gives none. Chosen, not measured: a step waits for its longest sample, so
this only ends what would never end."""
DEFAULT_LIVE_PRIORITY = 6
"""Of 0 to 9, the highest first. Chosen: above `URGENT_PRIORITY`, so that live requests go before
rollouts where a row says nothing."""
DEFAULT_ROLLOUT_PRIORITY = 2
"""Of 0 to 9. Chosen: below `URGENT_PRIORITY`."""
URGENT_PRIORITY = 5
"""From this priority up a request sees only requests that are urgent too as occupying an engine,
since engines push the others aside."""

QUEUE_LIMIT_PER_ROW = 2048
"""Requests of a row that may wait at one daemon; more are refused as not run. Chosen, not measured:
it bounds memory, and waits are bounded by deadlines."""
MAXIMUM_ATTEMPTS = 8
"""Of a live request, at engines. Chosen, not measured: the retry budget of its row bounds attempts
long before."""
ATTEMPT_SILENCE_SECONDS = 10.0
"""Time without anything from an engine after which it has lost the attempt. Chosen: engines send a
sign of life at least every 3 s also while a request waits there."""
ADMISSION_WAIT_SECONDS = 1.5
"""Longest wait of a live request for a place in its limited rows; then it is refused as not run.
Chosen, not measured: one round of the allocator is 0.25 s to 1 s."""

CLAIM_PREFIX = "once/"
"""Registers of claims: row, caller and key follow."""
CLAIM_TIMEOUT_SECONDS = 2.0
"""Of one change of a claim; then the request is refused as not run. Two round trips between zones
take about 8 ms at 1.5 ms a trip, so this is time for a replica that is replaced."""
CLAIM_RETENTION_SECONDS = 900.0
"""How long a claim is kept, and for how long a caller may repeat a key. A shard that lost its
majority for good starts empty only after it: nothing can be read, so nothing may be
contradicted."""
CONTROL_RESET_SECONDS = 60.0
"""How long the shard of limits and fences waits instead of `CLAIM_RETENTION_SECONDS`. Chosen:
longer than leases of shares, which are 25 s at 340 members."""
CLAIM_POLL_SECONDS = 0.25
"""How often a repeated request looks whether the first one with its key has ended. Chosen, not
measured: each look is a register read, an answer is late by half of it in the mean."""
KEPT_ANSWER_BYTES = 32_768
"""Longest answer that is kept with its claim, in UTF-8. Chosen, not measured: a record lies on five
members for `CLAIM_RETENTION_SECONDS`."""
SWEEP_SECONDS = 60.0
"""How often expired claims are dropped. Chosen, not measured: a small part of
`CLAIM_RETENTION_SECONDS`."""

SHARE_PREFIX = "control/limit/"
"""Registers of the books of shares, one a limited row."""
SHARE_TIMEOUT_SECONDS = 2.0
"""Of one change of a row's book of shares. Chosen, not measured: below the 3 s of a share's
lease."""

STEWARD_PREFIX = "control/steward/"
"""Registers of engines' fences, one an engine."""
STEWARD_TIMEOUT_SECONDS = 3.0
"""Of taking a fence. Chosen, not measured."""
ORDER_TIMEOUT_SECONDS = 30.0
"""Time after which an unanswered order to an engine is given again, under the same fence.
Chosen, not measured: above a transfer and a swap of weights (1 s and 0.3 s in the shipped
deployments) with the wait for a lane of the weight store."""
SWAP_WAVES = 2
"""Groups in which engines change to a new version, so that a model's other engines serve meanwhile.
Chosen: two keep half of them; at 160 engines the last one had the version after 4.5 s
(simulated)."""
WAVE_SECONDS = 1.0
"""Pause between two waves. Chosen: a swap takes 0.3 s in the shipped deployments."""

ENGINE_SUBSET = 16
"""Engines of a model that one daemon sends to, own zone first. Chosen, not measured: it bounds
connections and polls, 16 a second and model."""
ENGINE_POLL_SECONDS = 1.0
"""How often the load of an engine in the subset is asked for while there is work. Chosen,
not measured: own attempts correct the report meanwhile."""
IDLE_POLL_SECONDS = 3.0
"""The same while there is none. Chosen, not measured."""
ENGINE_DOWN_AFTER_FAILED_POLLS = 3
"""Polls without an answer in a row after which an engine gets no new work until one is answered.
Chosen, not measured: one lost answer costs nothing."""
PREFIX_HINT_SECONDS = 60.0
"""Age at which a prompt's last engine counts for nothing. Chosen, not measured: an engine's cache
evicts sooner where it is busy."""
PREFIX_HINT_CHARACTERS = 256
"""Beginning of a prompt that is remembered. Chosen: what the emulated engines cache by."""
OTHER_ZONE_PENALTY = 0.15
"""Against an engine in another zone, in parts of an engine's places. Chosen, not measured."""
PREFIX_BONUS = 0.1
"""For an engine that has read a prompt's beginning just now, in parts of an engine's places; it
falls to nothing over `PREFIX_HINT_SECONDS`. Chosen, not measured: below `OTHER_ZONE_PENALTY`."""

WATCHERS_PER_ZONE = 2
"""Daemons of a zone that watch the object service, which bears few readers. Chosen: two, so that
the loss of one is not noticed."""
WATCH_SECONDS = 10.0
"""How long one call to the object service waits for changes. Chosen, not measured."""
STORE_RETRY_SECONDS = 1.0
"""Pause before the object service is asked again after a failure. Chosen, not measured."""
FIRST_CONTACT_SECONDS = 3.0
"""How long a daemon that starts waits for its peers before it relies on the object service alone.
Chosen: three probes of membership."""
STATUS_SECONDS = 5.0
"""How often a daemon reports to its zone's status writer. At 340 daemons and 40 rows the writer
spends 0.2% of a core (docs/CAPACITY.md, worked out)."""
REPAIR_SECONDS = 2.0
"""How often a replica looks whether a shard has lost one of its replicas. Chosen, not measured: a
replacement took six seconds in all with it (simulated)."""

SAMPLE_POLL_MAXIMUM_SECONDS = 30.0
"""Longest wait of a trainer that reads samples. Chosen, not measured: below the usual 60 s of
connections that carry nothing."""
SAMPLES_PER_READ = 256
"""Samples in one answer. Chosen, not measured."""
SCORE_TIMEOUT_SECONDS = 10.0
"""Time after which a scorer that does not answer is asked again. Chosen, not measured."""
OPEN_STEPS_PER_TRAINER = 4
"""Steps of one trainer that may be open at a home; another is refused. Chosen, not measured: it
bounds memory."""

FLEET_DOCUMENT = "fleet"
"""Document of the engines that the platform lists."""
STATUS_DOCUMENT_PREFIX = "status-"
"""Documents of status, one a zone."""
