"""The store is down while more runs end on one worker than it lists at a time."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'common'))

import stage as st

# The site's steps have up to 55 tasks.
JOBS = [f'c3{n:014}' for n in range(12)]
WIDTH = 52
COUNT = len(JOBS) * WIDTH
STEP = {
    'count': WIDTH,
    'cpu': 100,
    'memMb': 64,
    'estimatedMs': 9_000,
    'requirements': 'b',
}
# The site's store is down for 4.5 s at the most in `troubles`.
DOWN_S = 4.5


def play(stage):
    for job in JOBS:
        stage.submit(job, [STEP], 'ms=9000')
    down = stage.folder / 'operator' / 'down'
    stage.wait_for(
        lambda: len(stage.events('start', job='c3')) >= COUNT,
        'all tasks have started',
        limit_s=15,
        optional=True,
    )
    starts = stage.events('start', job='c3')
    stage.record(f'{len(starts)} tasks have started')
    time.sleep(max(0, starts[0]['t'] + 8.8 - time.time()))
    if stage.trouble:
        down.touch()
        stage.record('the store is down')
        time.sleep(DOWN_S)
        down.unlink()
        stage.record('the store is back')
    stage.wait_for(
        lambda: all(stage.state(job) in ('completed', 'failed') for job in JOBS),
        'the jobs end',
        limit_s=60,
        optional=True,
    )
    for job in JOBS:
        stage.call('GET', f'/q/{job}', stage.entry_names[1])
    noted = stage.noted('c3')
    ended: dict[str, float] = {}
    again = []
    for task, run, _, begin, end, how in sorted(stage.runs('c3'), key=lambda r: r[3]):
        if task in ended:
            again.append((task, run, begin - ended[task]))
        elif how == 'done' and (task, run) in noted:
            ended[task] = end
    stage.record(f'{len(noted)} ends were taken note of without a lapse of the lease')
    if again:
        task, run, after_s = again[0]
        return st.BROKEN, (
            f'TWICE: {len(again)} tasks were started after they had ended done, such as'
            f' {task} as run {run}, {after_s:.1f} s after that end'
        )
    return st.HELD, 'no task was started after it had ended done'


st.main(pathlib.Path(__file__).parent, play, workers=4, kinds={0: 'b'})
