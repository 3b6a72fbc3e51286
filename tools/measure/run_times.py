"""
Compares predictions of run times on the log lines of planners.

    python -m tools.measure.run_times FILE...

Each file is one run of the system. Its lines are replayed in order: a step is predicted
when its first task is assigned, and learned when its tasks end. For each queue the
command prints the median factor by which the median time of a step's tasks differs from
the estimate that was in use, from the mean of the queue in hindsight, from the
regression of `yuccarelay.core.batch.run_time_model`, and from the figure that decisions
would get with it.
"""

import argparse
import math
import re
import statistics
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from yuccarelay.core.batch.models import Resources, Step, TaskId, parse_task_id
from yuccarelay.core.batch.run_times import GroupKey, Quantile, RunTimes

FIELD = re.compile(r'(\w+)=(\S*)')
HEADINGS = (
    'queue',
    'steps',
    'estimate used',
    'mean in hindsight',
    'regression',
    'in use',
    'below 10 %',
    'above 90 %',
    'correlation',
    'changed after',
)


@dataclass(slots=True)
class Prediction:
    """What was predicted of a step at its first assignment, and its tasks' times."""

    queue: str
    step: Step
    estimate_ms: float
    learned_ms: tuple[float, float, float]
    in_use_ms: float
    ran_ms: list[int] = field(default_factory=list)

    def error(self, predicted_ms: float) -> float:
        """Return by how much a prediction is off, as the logarithm of the factor."""
        return math.log(statistics.median(self.ran_ms) / predicted_ms)


class Row(NamedTuple):
    """
    Median factors off for one queue, and the shares outside the quantiles.

    `changed_after` is how many steps had tasks that were done when the regression was
    first used; None if it never was.
    """

    queue: str
    steps: int
    estimate: float
    hindsight: float
    learned: float
    in_use: float
    below_low: float
    above_high: float
    correlation: float | None
    changed_after: int | None


class Replay:
    """
    Predicts and learns from log lines in order.

    Lines of older versions lack the submitted estimate. It is computed from the one in
    use, which is the submitted one times a ratio, by following that ratio; a ratio that
    an earlier planner learned is not known and left out.
    """

    def __init__(self):
        self.run_times = RunTimes()
        self.queues: dict[str, str] = {}
        self.predictions: dict[GroupKey, Prediction] = {}
        self.changed_after: dict[str, int] = {}

    def read(self, fields: dict[str, str]) -> None:
        """Handle the fields of one line."""
        match fields:
            case {'event': 'job_seen', 'job': job, 'queue': queue}:
                self.queues[job] = queue
            case {'event': 'run_assigned', 'job': job} if job in self.queues:
                self._predict(fields)
            case {'event': 'run_ended', 'task': name, 'how': how, 'ran_ms': ran_ms}:
                task = parse_task_id(name)
                if task is not None and int(ran_ms) > 0:
                    self._learn(task, how, int(ran_ms))

    def _predict(self, fields: dict[str, str]) -> None:
        key = GroupKey(fields['job'], int(fields['occurrence']), int(fields['step']))
        if key in self.predictions:
            return
        queue = self.queues[key.job]
        run_times, tasks = self.run_times, int(fields['tasks'])
        estimate_ms = int(fields['estimate_ms'])
        ratio = run_times.durations.ratios.get(queue, 1.0)
        submitted_ms = int(fields.get('submitted_ms', round(estimate_ms / ratio)))
        image = fields.get('image', '')
        step = Step(tasks, Resources(), submitted_ms, gang=tasks > 1, image=image)
        self.predictions[key] = Prediction(
            queue,
            step,
            estimate_ms,
            tuple(run_times.learned_ms(queue, step, one) for one in Quantile),
            run_times.total_ms(queue, step, Quantile.MEDIAN),
        )

    def _learn(self, task: TaskId, how: str, ran_ms: int) -> None:
        key = GroupKey(*task[:3])
        found = self.predictions.get(key)
        if found is None:
            return
        if how == 'done':
            found.ran_ms.append(ran_ms)
            switch = self.run_times.learn_done(
                found.queue, key, found.step, ran_ms, is_whole=True
            )
            if switch is not None:
                steps = sum(
                    one.queue == found.queue and bool(one.ran_ms)
                    for one in self.predictions.values()
                )
                self.changed_after.setdefault(found.queue, steps)
        elif how == 'stopped':
            self.run_times.learn_stopped(found.queue, key, found.step, ran_ms)


def replay_lines(lines: Iterable[str]) -> list[Row]:
    """Replay the lines of one run and return a row for each queue."""
    replay = Replay()
    for line in lines:
        replay.read(dict(FIELD.findall(line)))
    by_queue: dict[str, list[Prediction]] = {}
    for found in replay.predictions.values():
        if found.ran_ms:
            by_queue.setdefault(found.queue, []).append(found)
    return [
        make_row(queue, by_queue[queue], replay.changed_after.get(queue))
        for queue in sorted(by_queue)
    ]


def make_row(queue: str, found: list[Prediction], changed_after: int | None) -> Row:
    """Return the figures of one queue."""
    logs = [math.log(statistics.median(one.ran_ms)) for one in found]
    mean_ms = math.exp(statistics.fmean(logs))
    submitted = [math.log(max(1, one.step.estimated_ms)) for one in found]
    correlation = None
    if len(set(logs)) > 1 and len(set(submitted)) > 1:
        correlation = statistics.correlation(submitted, logs)
    return Row(
        queue,
        len(found),
        find_factor(one.error(max(1, one.estimate_ms)) for one in found),
        find_factor(one.error(mean_ms) for one in found),
        find_factor(one.error(one.learned_ms[1]) for one in found),
        find_factor(one.error(one.in_use_ms) for one in found),
        statistics.fmean(one.error(one.learned_ms[0]) < 0 for one in found),
        statistics.fmean(one.error(one.learned_ms[2]) > 0 for one in found),
        correlation,
        changed_after,
    )


def find_factor(errors: Iterable[float]) -> float:
    """Return the median factor off."""
    return math.exp(statistics.median(abs(error) for error in errors))


def format_rows(rows: list[Row]) -> str:
    """Return a Markdown table."""
    lines = ['| ' + ' | '.join(HEADINGS) + ' |', '|' + '---|' * len(HEADINGS)]
    for row in rows:
        cells = [row.queue, str(row.steps)]
        cells += ['' if value is None else f'{value:.2f}' for value in row[2:-1]]
        cells.append('' if row.changed_after is None else str(row.changed_after))
        lines.append('| ' + ' | '.join(cells) + ' |')
    return '\n'.join(lines)


def main() -> int:
    """Print a table for each file and return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m tools.measure.run_times')
    parser.add_argument('files', nargs='+', help='log lines of one run each')
    for name in parser.parse_args().files:
        with open(name, errors='replace') as lines:
            print(f'{name}\n\n{format_rows(replay_lines(lines))}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
