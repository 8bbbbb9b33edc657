from hypothesis import given
from hypothesis import strategies as st

from pondtiller import wire
from pondtiller.coordination.documents import PULL_AGAIN_SECONDS, DocumentReplica


@given(st.lists(st.integers(1, 20), max_size=30))
def test_revision_in_force_never_falls(revisions):
    replica = DocumentReplica()
    seen = 0
    for revision in revisions:
        taken = replica.adopt("table", revision, b"%d" % revision, 0.0)
        assert taken == (revision > seen)
        seen = max(seen, revision)
        assert replica.documents["table"].body == b"%d" % seen


def test_missing_revision_is_pulled_once_until_it_is_late():
    replica = DocumentReplica()
    digest = [wire.DocumentDigest(name="table", revision=3)]
    replica.receive_digests("peer", digest, 0.0)
    replica.receive_digests("peer", digest, 0.1)
    assert len(replica.take_outputs()) == 1
    replica.receive_digests("peer", digest, PULL_AGAIN_SECONDS)
    assert len(replica.take_outputs()) == 1
    assert replica.highest_heard("table") == 3


def test_pull_is_answered_with_the_body_and_unknown_names_are_not():
    replica = DocumentReplica()
    replica.adopt("table", 2, b"body", 0.0)
    replica.receive("peer", wire.DocumentPull(name="other"), 0.0)
    replica.receive("peer", wire.DocumentPull(name="table"), 0.0)
    (output,) = replica.take_outputs()
    assert (output.message.revision, output.message.body) == (2, b"body")
