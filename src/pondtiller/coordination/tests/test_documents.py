from hypothesis import given
from hypothesis import strategies as st

from pondtiller import wire
from pondtiller.coordination.documents import REPULL_SECONDS, DocumentReplica


@given(st.lists(st.integers(1, 20), max_size=30))
def test_the_current_revision_never_decreases(revisions):
    replica = DocumentReplica()
    seen = 0
    for revision in revisions:
        taken = replica.adopt("table", revision, b"%d" % revision, 0.0)
        assert taken == (revision > seen)
        seen = max(seen, revision)
        assert replica.documents["table"].body == b"%d" % seen


def test_a_missing_revision_is_pulled_once_until_the_pull_times_out():
    replica = DocumentReplica()
    digest = [wire.DocumentDigest(name="table", revision=3)]
    replica.receive_digests("peer", digest, 0.0)
    replica.receive_digests("peer", digest, 0.1)
    assert len(replica.take_outputs()) == 1
    replica.receive_digests("peer", digest, REPULL_SECONDS)
    assert len(replica.take_outputs()) == 1
    assert replica.highest_known("table") == 3


def test_a_pull_is_answered_with_the_body_unless_the_name_is_unknown():
    replica = DocumentReplica()
    replica.adopt("table", 2, b"body", 0.0)
    replica.receive("peer", wire.DocumentPull(name="other"), 0.0)
    replica.receive("peer", wire.DocumentPull(name="table"), 0.0)
    (output,) = replica.take_outputs()
    assert (output.message.revision, output.message.body) == (2, b"body")
