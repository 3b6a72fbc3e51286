"""Types that describe an experiment: its runs and how their metrics are shown."""

from collections.abc import Callable
from typing import NamedTuple

from tools.measure.bench import USERS
from tools.measure.variants import CURRENT, Variant

Metrics = dict[str, object]


class Column(NamedTuple):
    """A metric that the table shows, and its title."""

    metric: str
    title: str


class Experiment(NamedTuple):
    """
    A question with the runs that answer it.

    `run` takes a user, a variant and a seed. `bar` names the metric of the bar
    plot, and `lines` the metric of the plot over time. The cases of an experiment
    with `is_timed` run one at a time.
    """

    name: str
    question: str
    run: Callable[[str, Variant, int], Metrics]
    columns: tuple[Column, ...]
    variants: tuple[Variant, ...] = (CURRENT,)
    users: tuple[str, ...] = USERS
    bar: str = ''
    lines: str = ''
    x_title: str = ''
    is_timed: bool = False
