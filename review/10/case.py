"""A job is cancelled after its submission got no answer: does it run later?"""

import asyncio
import json
import sys

from stage import PREFIX, Stage, play

from yuccarelay.standins import platform_store

JOBS = tuple(f'5c0e7a21d94b36f{number:x}' for number in range(6))
RUN_MS = 4_000
NEED = {'cpu': 1_000, 'memMb': 100, 'gpu': 1}
# Of `give_up` in the site file: clients leave within 900 ms.
LIMIT_MS = 900
# Of `platform_lost` with `late`: x = 0.35 of the writes are done 1 to 6 s later and not
# answered, for 4.5 s. Here it lasts for 1 s.
LOST_SHARE = 0.35
LOST_FOR_S = 1.0
LATE_S = 6.0
CANCEL_S = 3.0
STABLE_S = 4.0


class LossyTransactions:
    """The store's transactions: for a time a share is done late, unanswered."""

    def __init__(self, stage):
        self.stage = stage
        self.from_s = self.until_s = 0.0
        self.seen = self.lost = 0
        self.answer = platform_store.TransactionHandler.post

    def begin(self):
        """Lose answers from now on for `LOST_FOR_S`."""
        self.from_s = self.stage.now_s()
        self.until_s = self.from_s + LOST_FOR_S
        losses = self

        async def post(handler):
            if not losses.takes():
                return await losses.answer(handler)
            body = json.loads(handler.request.body)
            keys = ','.join(put['key'] for put in body.get('write', []))
            losses.stage.note('store: answer lost', keys=keys)
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, losses.apply, handler, body, keys)
            # Nothing further comes on this connection.
            await asyncio.Event().wait()

        platform_store.TransactionHandler.post = post

    def takes(self):
        """Whether the answer of this write is lost."""
        if self.stage.now_s() > self.until_s:
            return False
        self.seen += 1
        is_lost = self.lost + 1 <= LOST_SHARE * self.seen
        self.lost += is_lost
        return is_lost

    def apply(self, handler, body, keys):
        """Carry a write out late, if its condition still holds."""
        status, _ = handler.transact(body)
        self.stage.note('store: late write', keys=keys, status=status)


async def case(stage, trouble):
    """Return how the rule was broken, or None."""
    losses = LossyTransactions(stage)
    await asyncio.sleep(2)
    if trouble:
        losses.begin()
    nodes = list(stage.fronts)
    acknowledged = {}

    async def submit_and_cancel(number, job):
        """Submit a job; its client leaves and cancels if it gets no answer."""
        node = nodes[number % len(nodes)]
        status = await stage.submit(
            job, node, run_ms=RUN_MS, need=NEED, limit_ms=LIMIT_MS
        )
        if status not in (0, 502, 504):
            return
        other = nodes[(number + 1) % len(nodes)]
        status, _ = await stage.call('DELETE', PREFIX + job, other)
        if status == 410 or 200 <= status < 300:
            acknowledged[job] = stage.now_s()

    await asyncio.gather(*(submit_and_cancel(*pair) for pair in enumerate(JOBS)))
    await asyncio.sleep(12)
    for job in JOBS:
        await stage.state(job, nodes[2])
    stage.note('writes during the disruption', seen=losses.seen, lost=losses.lost)
    stable_from_s = losses.until_s + STABLE_S
    late = [
        (job, round(at_s - acknowledged[job], 1))
        for job in acknowledged
        for at_s, *_ in stage.times_of(job, 'started')
        if at_s > acknowledged[job] + CANCEL_S and at_s > stable_from_s
    ]
    if late:
        return f'jobs started so long after their cancelling was acknowledged: {late}'
    return None


play(sys.argv[1], lambda folder: Stage(folder, workers=3, entries=3), case)
