from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from pondtiller.coordination.fair_queue import FairQueue


def test_rows_are_served_in_proportion_to_weights():
    queue, weights = FairQueue(), {"heavy": 3.0, "light": 1.0}
    for row in weights:
        for number in range(400):
            queue.push(row, number)
    served = Counter()
    for _ in range(400):
        row = queue.order()[0]
        queue.pop(row, weights[row])
        served[row] += 1
    assert abs(served["heavy"] - 300) <= 1


def test_idle_row_accumulates_no_credit():
    queue = FairQueue()
    for number in range(100):
        queue.push("busy", number)
    for _ in range(50):
        queue.pop("busy", 1.0)
    for number in range(100):
        queue.push("late", number)
    first = []
    for _ in range(20):
        row = queue.order()[0]
        queue.pop(row, 1.0)
        first.append(row)
    assert abs(first.count("late") - 10) <= 1


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=60))
def test_nothing_is_lost_and_order_within_a_row_holds(operations):
    queue, expected = FairQueue(), {"a": [], "b": [], "c": []}
    for number, (row, push) in enumerate(operations):
        if push:
            queue.push(row, number)
            expected[row].append(number)
        elif expected[row]:
            assert queue.pop(row, 1.0) == expected[row].pop(0)
    assert len(queue) == sum(map(len, expected.values()))
