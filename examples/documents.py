"""A document spreads by digest and pull, and an older revision never comes back."""

from pondtiller.coordination.documents import DocumentReplica

writer, reader = DocumentReplica(), DocumentReplica()
writer.adopt("table", 7, b"newer", now=0.0)
reader.adopt("table", 6, b"older", now=0.0)

reader.receive_digests("writer", writer.digests(), now=1.0)
(pull,) = reader.take_outputs()
writer.receive("reader", pull.message, now=1.0)
(push,) = writer.take_outputs()
reader.receive("writer", push.message, now=1.0)
reader.adopt("table", 6, b"older", now=2.0)
print(reader.documents["table"].body)
