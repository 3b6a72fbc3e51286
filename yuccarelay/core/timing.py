"""Intervals that several parts must agree on, in milliseconds."""

# A member stops when its lease was not renewed for this long. The time in which
# a gang may run partially after a loss follows from it.
LEASE_MS = 3_000
RENEW_INTERVAL_MS = 1_000
# All members of a gang must have started within this time after the launch.
START_WINDOW_MS = 2_000
# Messages of the launch are repeated at this interval, so that a few lost ones in
# a row do not use up the start window.
START_REPEAT_MS = 400
# A reservation that is not started or extended is given up after this time.
HOLD_MS = 3_000
# A borrower that was warned is stopped after this time.
RECLAIM_MS = 2_000
# The agent stops what did not stop by itself, and reports again, at this interval.
REPEAT_INTERVAL_MS = 1_000
TICK_MS = 250
# An agent that starts does not know which tasks an earlier incarnation left on
# the target. It lets nothing start until their leases have lapsed and the target
# has noticed it. A call of the dead agent may reach the target late.
QUARANTINE_MS = LEASE_MS + 2 * TICK_MS
# A leaving worker starts only what it had reserved before, and only for so long.
DRAIN_START_WINDOW_MS = HOLD_MS

HEARTBEAT_INTERVAL_MS = 2_000
# An entry with many workers asks for fewer heartbeats, so that it takes about
# this many in a second. At 248 bytes with the answer they take 2.5 KB/s, and the
# rest of the 6 KB/s is for the configuration and for other entries.
HEARTBEATS_PER_S = 10
# An agent that missed a push takes the configuration from the answer to its next
# heartbeat. With jitter that is 7.5 s, inside the 9 s that a change may take.
HEARTBEAT_MAX_INTERVAL_MS = 6_000
# A worker that was not heard of for three heartbeats gets no new work.
SUSPECT_MS = 3 * HEARTBEAT_INTERVAL_MS
# Its guaranteed cells move to other workers only after a longer absence, so that
# a restart of an agent does not move them.
REPLAN_ABSENCE_MS = 30_000
ANNOUNCE_INTERVAL_MS = 100

REQUEST_TIMEOUT_MS = 1_000
# The fate of an attempt is asked for until then; after that it is unknown.
SETTLE_MS = 10_000
ENDED_RETENTION_MS = 900_000
TOMBSTONE_LIMIT = 20_000
# An entry sends each peer a sign of life at least this often. With many entries it
# sends about four a second in all, because each one costs 320 bytes and the time
# of two messages at both ends.
PEER_UPDATE_MIN_INTERVAL_MS = 1_000
PEER_UPDATE_PER_PEER_MS = 250
PEER_UPDATE_MAX_INTERVAL_MS = 5_000


def compute_peer_update_ms(peers: int) -> int:
    """Return the interval of signs of life between entries with so many peers."""
    interval_ms = peers * PEER_UPDATE_PER_PEER_MS
    return min(
        max(PEER_UPDATE_MIN_INTERVAL_MS, interval_ms), PEER_UPDATE_MAX_INTERVAL_MS
    )


def compute_heartbeat_interval_ms(workers: int) -> int:
    """Return the interval of heartbeats to an entry that so many workers report to."""
    interval_ms = workers * 1_000 // HEARTBEATS_PER_S
    return min(max(HEARTBEAT_INTERVAL_MS, interval_ms), HEARTBEAT_MAX_INTERVAL_MS)
