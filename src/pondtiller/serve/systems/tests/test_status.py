from pondtiller.serve.core.reports import RowFigures
from pondtiller.serve.systems.status import ZoneRow, add_rows, quantile


def row(name, answered, median, age):
    figures = RowFigures(
        row=name,
        in_flight=1,
        queued=2,
        answered=answered,
        refused=0,
        failed=0,
        tokens=10,
        median_seconds=median,
        slowest_seconds=median * 2,
        samples=0,
        staleness=0,
        limit_share=3,
    )
    return ZoneRow(figures=figures, age_seconds=age)


def test_rows_are_added_up_with_the_age_of_the_oldest():
    total, other = add_rows([row("a", 1, 1.0, 4.0), row("b", 5, 1.0, 1.0), row("a", 3, 2.0, 9.0)])
    assert (total.figures.answered, total.figures.in_flight, total.age_seconds) == (4, 2, 9.0)
    assert total.figures.median_seconds == 1.75
    assert other.figures.row == "b"


def test_quantiles_of_few_values():
    assert quantile([], 0.5) == 0.0
    assert quantile([1.0, 2.0, 3.0], 0.5) == 2.0
    assert quantile([1.0, 2.0], 1.0) == 2.0
