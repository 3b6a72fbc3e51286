"""A worker starts again behind a cut: does a task run twice at the same time?"""

import asyncio
import sys

from stage import CouldNotRunError, Stage, play

JOB = '5c0e7a21d94b36f8'
# The kind `proof-render`: it lasts 18.8 s.
RUN_MS = 18_800
# Of tmlg-reorder.
BOUNDS = {'maxHoldMs': 10_000, 'stopTimeoutMs': 400}
# `node_cut` with `on = "side"`.
FIRST_CUT_S = 5.5
# The worker crashes so long after the cut began; its heartbeats follow every 1.5 s, and
# the first that arrives comes 0.5 s after the end of the cut.
CRASH_AFTER_S = 3.0
SECOND_CUT_S = 5.5
# The second cut begins so long after the start of the task.
GAP_S = 2.6
UPTIME_S = 8.0


async def cut(stage, worker, for_s, *, reborn=False):
    """Cut a worker off; it runs on, or crashes behind the cut and starts again."""
    worker.is_cut = True
    stage.note('worker cut off', worker=worker.name)
    if reborn:
        await asyncio.sleep(CRASH_AFTER_S)
        await worker.crash()
        worker.start()
        stage.note('worker started again', worker=worker.name, born=worker.born)
        for_s -= CRASH_AFTER_S
    await asyncio.sleep(for_s)
    worker.is_cut = False
    stage.note('worker reached again', worker=worker.name)


def find_overlaps(stage):
    """Return the runs of a task that were at work at the same time."""
    spans = []
    for at_s, order in stage.orders:
        if order.what == 'started':
            spans.append([order.task, order.run, order.worker, at_s, None])
            continue
        for span in spans:
            if span[:3] == [order.task, order.run, order.worker] and span[4] is None:
                span[4] = at_s
    now_s = stage.now_s()
    found = []
    for number, one in enumerate(spans):
        for other in spans[number + 1 :]:
            begin_s = max(one[3], other[3])
            end_s = min(one[4] or now_s, other[4] or now_s)
            if one[0] == other[0] and begin_s < end_s:
                runs = f'run {one[1]} on {one[2]}, run {other[1]} on {other[2]}'
                found.append(f'{one[0]}: {runs}, both for {end_s - begin_s:.1f} s')
    return found


async def case(stage, trouble):
    """Return how the rule was broken, or None."""
    await asyncio.sleep(UPTIME_S)
    worker = stage.workers['side-0']
    if trouble:
        await cut(stage, worker, FIRST_CUT_S, reborn=True)
    if await stage.submit(JOB, 'frontend-0', run_ms=RUN_MS) != 200:
        raise CouldNotRunError('the job was not accepted')

    async def has_begun():
        return stage.times_of(JOB, 'started')

    started = await stage.poll(has_begun, 5, 'the job runs')
    if trouble:
        if started[0][3] != worker.name:
            raise CouldNotRunError(f'the job runs on {started[0][3]}')
        await asyncio.sleep(GAP_S)
        await cut(stage, worker, SECOND_CUT_S)
    while stage.now_s() < 70:
        state = await stage.state(JOB, 'frontend-1')
        if state in ('completed', 'failed', 'cancelled'):
            break
        await asyncio.sleep(1)
    overlaps = find_overlaps(stage)
    return '; '.join(overlaps) or None


def make_stage(folder):
    """Return a deployment with the bounds of tmlg-reorder."""
    return Stage(folder, workers=6, entries=3, bounds=BOUNDS, attempts=3)


play(sys.argv[1], make_stage, case)
