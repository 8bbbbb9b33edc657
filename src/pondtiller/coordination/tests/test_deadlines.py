from hypothesis import given
from hypothesis import strategies as st

from pondtiller.coordination.deadlines import DeadlineIndex

OPERATIONS = st.lists(
    st.tuples(st.sampled_from(["set", "clear"]), st.integers(0, 5), st.floats(0, 10)), max_size=40
)


@given(OPERATIONS, st.floats(0, 10))
def test_index_agrees_with_a_plain_dictionary(operations, now):
    index, model = DeadlineIndex(), {}
    for operation, key, due in operations:
        if operation == "set":
            index.set(key, due)
            model[key] = due
        else:
            index.clear(key)
            model.pop(key, None)
    assert index.next_due() == min(model.values(), default=None)
    taken = index.take_due(now)
    assert set(taken) == {key for key, due in model.items() if due <= now}
    assert [model[key] for key in taken] == sorted(model[key] for key in taken)
    assert len(index) == len(model) - len(taken)
