"""
Shows for each mechanism that a test fails when it is removed.

    python -m tests.mutations            all mechanisms
    python -m tests.mutations tombstone  those whose name contains a word

A mutation replaces one method, property or constant while one test runs. The exit
status is 1 when a test passes without its mechanism or fails with it.
"""

import io
import sys
import unittest
from typing import NamedTuple
from unittest import mock

from yuccarelay.core import acquire as acquire_module
from yuccarelay.core import agent as agent_module
from yuccarelay.core.acquire import Acquirer
from yuccarelay.core.adoption import Adopter
from yuccarelay.core.agent import AgentCore
from yuccarelay.core.announcer import Announcer
from yuccarelay.core.answer_retention import AnswerRetention
from yuccarelay.core.attempt_records import AttemptRecords
from yuccarelay.core.attempt_tracking import AttemptTracker
from yuccarelay.core.entry import EntryCore
from yuccarelay.core.entry_state import EntryState
from yuccarelay.core.events import ManifestSeen
from yuccarelay.core.forwarding import Forwarder
from yuccarelay.core.gang import Gang
from yuccarelay.core.handover import Handover
from yuccarelay.core.job_requests import JobRequests
from yuccarelay.core.jobs import Job
from yuccarelay.core.messages import AttemptStatus, Refusal, Refused, Renewed
from yuccarelay.core.models import JobState, parse_job_id
from yuccarelay.core.reservation import Admitted, Ledger
from yuccarelay.core.timing import LEASE_MS
from yuccarelay.core.worker_members import WorkerMembers
from yuccarelay.standins.simulation_store import SimulatedStore


class Mutation(NamedTuple):
    """A mechanism, the attribute to replace, and the test that must then fail."""

    mechanism: str
    owner: object
    attribute: str
    replacement: object
    test: str


def do_nothing(*_args: object) -> None:
    """Replace a method by one without effect."""


def renew_without_limit(worker_members, message, now_ms):
    """Extend a lease whether or not the member is being evicted."""
    deadline_ms = now_ms + message.lease_ms
    worker_members._update(message.attempt_id, lease_deadline_ms=deadline_ms)
    return Renewed(message.attempt_id, AttemptStatus.RUNNING)


def expire_without_lease(worker_members, entry, now_ms):
    """Stop only evicted members."""
    if entry.stop_deadline_ms and now_ms >= entry.stop_deadline_ms:
        worker_members._stop(entry.attempt_id, None, '', False)


def expire_without_eviction(worker_members, entry, now_ms):
    """Stop only members whose lease has expired."""
    if now_ms >= entry.lease_deadline_ms:
        worker_members._stop(entry.attempt_id, None, '', False)


def tick_without_losses(gang, now_ms):
    """Renew the leases without a check for lost members."""
    if now_ms < gang.next_send_ms:
        return []
    gang.next_send_ms = now_ms + 1_000
    return gang._renew_all(now_ms)


def is_any_in(gang, *phases):
    """Check whether any member is in a phase, instead of all."""
    return any(status.phase in phases for status in gang.members)


def find_status_of_any_incarnation(core, attempt_id, _incarnation):
    """Answer for an earlier incarnation as if for this one."""
    return FIND_ATTEMPT_STATUS(core, attempt_id, core.incarnation)


def take_refusal_as_proof(acquirer, attempt_id, reply, now_ms):
    """Accept every refusal of a launch as a proof."""
    match reply:
        case Refused(refusal=Refusal.WRONG_INCARNATION):
            reply = Refused(attempt_id, Refusal.DRAINING)
    TAKE_LAUNCH_REPLY(acquirer, attempt_id, reply, now_ms)


def abandon_launched(acquirer, job, index, reason, now_ms):
    """Abandon a launched attempt like one that was only prepared."""
    ABANDON(acquirer, job._replace(launched=False), index, reason, now_ms)


def expire_unreported(attempt_records, now_ms):
    """Drop ends even if their owner has not acknowledged them."""
    for attempt_id, entry in list(attempt_records.ended.items()):
        if now_ms >= entry.drop_deadline_ms:
            del attempt_records.ended[attempt_id]


def replace_blindly(store, record, _revision):
    """Write a record whatever its revision."""
    return store._put(record)


def create_without_key(store, record):
    """Write a record without binding its key."""
    return store._put(record)


def tick_without_holds(acquirer, job, now_ms):
    """Do not extend the holds while the attempt is being recorded."""
    if job.writing != 'attempt':
        ACQUIRER_TICK(acquirer, job, now_ms)


def find_any_attempt(state, attempt_id, job_state=None):
    """Return the job of an attempt even if the attempt is not current."""
    job = state.jobs.get(parse_job_id(attempt_id))
    return job if job and job_state in (None, job.state) else None


def take_any_manifest(core, event, now_ms):
    """Put every manifest in force."""
    if isinstance(event, ManifestSeen):
        core.state.generation = -1
    TAKE_CONFIG(core, event, now_ms)


def serve_any_generation(state):
    """Serve with any manifest."""
    return state.manifest is not None and not state.draining


def take_entry_reply_without_config(announcer, _address, _reply, _now_ms):
    """Ignore the configuration in the reply of the assigned entry."""
    announcer.waiting = False
    return False


def queue_at_once(attempt_tracker, job_id, _now_ms):
    """Queue the job again without settling the attempt."""
    attempt_tracker.state.update(job_id, state=JobState.QUEUED, members=())
    attempt_tracker.state.enqueue(job_id)


def launch_without_record(acquirer, job_id, now_ms):
    """Launch before the attempt is recorded."""
    acquirer._launch(job_id, now_ms)


FIND_ATTEMPT_STATUS = AgentCore._find_attempt_status
TAKE_LAUNCH_REPLY = Acquirer.take_launch_reply
ABANDON = Acquirer.abandon
ACQUIRER_TICK = Acquirer.tick
TAKE_CONFIG = EntryCore._take_config

FAULTS = 'test_promises_faults'
RECLAIM = 'test_promises_reclaim.ReclaimTest'
LENDER = 'test_promises_reclaim.LenderTest'
GANGS = 'test_promises_gangs.GangTest'
NOT_RUN = 'test_promises_not_run.NotRunTest'
ONCE = 'test_promises_once.AtMostOnceTest'
ANSWERS = 'test_promises_once.AnswerTest'
ACCEPTED = 'test_promises_once.AcceptedWorkTest'
DRAINING = 'test_promises_draining.DrainingTargetTest'
STOPS = 'test_promises_draining.PlannedStopTest'
MANIFEST = 'test_promises_manifest.ManifestTest'
REGIONS = 'test_promises_regions.RegionTest'

# fmt: off
MUTATIONS = tuple(Mutation(*fields) for fields in (
    # 1: reclaim
    ('eviction of borrowers', Ledger, '_choose_victims', do_nothing,
     f'{RECLAIM}.test_whole_rack_is_reclaimed_within_the_bound'),
    ('stop at the reclaim deadline', WorkerMembers, '_expire_running',
     expire_without_eviction,
     f'{FAULTS}.EvictedLeaseTest.test_victim_is_stopped_at_the_deadline'),
    ('no renewal past the eviction notice', WorkerMembers, 'renew', renew_without_limit,
     f'{FAULTS}.EvictedLeaseTest.test_lease_is_not_renewed_past_the_warning'),
    ('only stoppable work borrows', Ledger, '_admit_borrowed',
     lambda *_: Admitted(),
     f'{LENDER}.test_refuses_to_lend_to_non_preemptible_work'),
    ('guaranteed work fits what is owned', Ledger, '_admit_guaranteed',
     lambda *_: Admitted(),
     f'{LENDER}.test_refuses_more_than_the_organisation_owns'),
    ('quarantine of a restarted agent', agent_module, 'QUARANTINE_MS', 0,
     f'{FAULTS}.RestartedAgentTest.test_starts_nothing_before_earlier_leases_lapsed'),
    ('quarantine, in a simulation', agent_module, 'QUARANTINE_MS', 0,
     f'{RECLAIM}.test_agent_lost_during_the_reclaim'),
    ('unanswered agents are retried', acquire_module, 'UNANSWERED_LIMIT', 1,
     f'{RECLAIM}.test_lost_messages'),
    # 2: gangs
    ('leader notices a lost member', Gang, '_tick_running', tick_without_losses,
     f'{GANGS}.test_loss_of_a_member_or_leader'),
    ('leases follow the earliest deadline', Gang, '_find_lease_ms',
     lambda *_: LEASE_MS,
     f'{GANGS}.test_loss_together_with_a_cut_of_the_leader'),
    ('renewal only when all started', Gang, '_all_in', is_any_in,
     f'{GANGS}.test_starts_lost_to_other_members'),
    ('member stops at its lease', WorkerMembers, '_expire_running',
     expire_without_lease,
     f'{FAULTS}.EvictedLeaseTest.test_member_stops_when_its_lease_lapses'),
    # 3: answers
    ('replies belong to the current attempt', EntryState, 'find_current',
     find_any_attempt, f'{ANSWERS}.test_reply_of_an_earlier_attempt_is_ignored'),
    # 4: not run
    ('tombstone after a proof', AttemptRecords, 'add_tombstone', do_nothing,
     f'{NOT_RUN}.test_launch_after_the_refusal_starts_nothing'),
    ('tombstone after a refused start', AttemptRecords, 'add_tombstone', do_nothing,
     f'{FAULTS}.RefusedStartTest.test_refused_start_leaves_a_tombstone'),
    ('launched attempts are settled', Acquirer, 'abandon', abandon_launched,
     f'{NOT_RUN}.test_cancelled_reclaim_asks_the_leader'),
    ('restarted agents prove nothing', Acquirer, 'take_launch_reply',
     take_refusal_as_proof,
     f'{NOT_RUN}.test_second_launch_refused_by_a_restarted_agent_proves_nothing'),
    ('adopters do not deny earlier runs', Job, 'has_run',
     property(lambda job: job.starts > 0),
     f'{NOT_RUN}.test_adopter_does_not_deny_what_the_dead_owner_ran'),
    ('lost attempts count as run', Job, 'has_run',
     property(lambda job: job.starts > 0),
     f'{NOT_RUN}.test_unanswered_launch_is_not_before_start'),
    ('attempt status checks the incarnation', AgentCore, '_find_attempt_status',
     find_status_of_any_incarnation,
     f'{NOT_RUN}.test_restarted_agent_does_not_deny'),
    # 5: at most once
    ('attempt recorded before its launch', Acquirer, '_launch_when_recorded',
     launch_without_record, f'{ONCE}.test_adopter_that_knows_only_the_record'),
    ('adopters settle the open attempt', AttemptTracker, 'settle', queue_at_once,
     f'{ONCE}.test_entry_killed_at_each_event'),
    ('compare-and-swap on the record', SimulatedStore, '_replace', replace_blindly,
     f'{ONCE}.test_paused_owner_resumes_after_its_registration'),
    ('key bound with the record', SimulatedStore, '_create', create_without_key,
     f'{ONCE}.test_entry_killed_at_each_event'),
    ('dropped attempts are not denied', AttemptRecords, 'may_have_started',
     lambda *_: False,
     f'{FAULTS}.ExpiredAttemptTest.'
     'test_status_of_an_expired_attempt_is_not_not_started'),
    ('unreported ends are kept', AttemptRecords, 'expire', expire_unreported,
     f'{ONCE}.test_store_outage_longer_than_ends_are_kept'),
    ('holds extended while recording', Acquirer, 'tick', tick_without_holds,
     f'{ONCE}.test_slow_store_does_not_lose_the_holds'),
    ('adoption', Adopter, '_adopt_if_orphaned', do_nothing,
     f'{ACCEPTED}.test_other_entry_adopts_the_jobs_of_a_dead_one'),
    ('adoption in the own region first', Adopter, '_may_adopt_from',
     lambda *_: True, f'{REGIONS}.test_jobs_stay_in_the_region_of_their_cells'),
    # 6: draining targets
    ('refusal while draining', AgentCore, '_refuses_to_start', lambda *_: False,
     f'{DRAINING}.test_entries_that_missed_the_notice'),
    ('end of starts while draining', agent_module, 'DRAIN_START_WINDOW_MS', 10**9,
     f'{FAULTS}.DrainingAgentTest.test_held_work_starts_only_for_a_stated_time'),
    # 7: planned stops
    ('eviction at the drain deadline', WorkerMembers, 'evict_all', do_nothing,
     f'{FAULTS}.DrainingAgentTest.test_leader_elsewhere_is_warned_at_the_deadline'),
    ('answers kept until fetched', AnswerRetention, 'is_done', lambda *_: True,
     f'{FAULTS}.DrainingAgentTest.test_keeps_an_answer_until_it_was_fetched'),
    ('ends reported before the exit', Ledger, 'find_unreported', lambda _: [],
     f'{FAULTS}.DrainingAgentTest.test_waits_until_the_leader_knows_the_end'),
    ('entries wait for their writes', Handover, '_find_open', lambda _: [],
     f'{STOPS}.test_entry_waits_for_the_store'),
    ('open waits answered before the exit', JobRequests, 'has_open', lambda _: False,
     f'{STOPS}.test_entry_waits_for_another_one_and_the_store'),
    ('long polls answered while draining', Forwarder, 'tick', do_nothing,
     f'{STOPS}.test_entry_answers_those_who_wait'),
    # 8: manifest
    ('older manifests are ignored', EntryCore, '_take_config', take_any_manifest,
     f'{MANIFEST}.test_older_manifest_after_a_newer_one'),
    ('outdated entries do not serve', EntryState, 'is_serving',
     property(serve_any_generation),
     f'{MANIFEST}.test_entry_with_an_older_manifest_than_its_agents_does_not_serve'),
    ('heartbeats carry the generation', Announcer, 'take_reply',
     take_entry_reply_without_config,
     f'{MANIFEST}.test_lost_pushes_are_recovered_by_heartbeats'),
    ('peers carry the generation', EntryState, 'note_generation', do_nothing,
     f'{MANIFEST}.test_entry_learns_a_newer_generation_from_its_peers'),
))
# fmt: on


def run_test(name: str) -> bool:
    """Run one test and return whether it passed."""
    suite = unittest.defaultTestLoader.loadTestsFromName(f'tests.{name}')
    result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    for _, text in result.errors:
        print(f'    error, not a failure: {text.splitlines()[-1]}', file=sys.stderr)
    return result.testsRun > 0 and result.wasSuccessful()


def main() -> int:
    """Run the mutations and print a table."""
    word = sys.argv[1] if len(sys.argv) > 1 else ''
    chosen = [mutation for mutation in MUTATIONS if word in mutation.mechanism]
    faults = 0
    passing = {name: run_test(name) for name in {mutation.test for mutation in chosen}}
    for mutation in chosen:
        with mock.patch.object(
            mutation.owner, mutation.attribute, mutation.replacement
        ):
            fails = not run_test(mutation.test)
        faults += not fails or not passing[mutation.test]
        answer = 'yes' if fails else 'NO'
        if not passing[mutation.test]:
            answer = 'fails with it too'
        print(f'{mutation.mechanism:40} {mutation.test:90} fails without it: {answer}')
    print(f'{len(chosen)} mechanisms, {faults} without a test that needs them')
    return 1 if faults or not chosen else 0


if __name__ == '__main__':
    sys.exit(main())
