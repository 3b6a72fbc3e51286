"""Intervals and limits that several modules share; times are in milliseconds."""

# A member is stopped when its lease was not renewed for this long. It bounds the
# time in which a gang may run with only some members after a loss.
LEASE_MS = 3_000
RENEW_INTERVAL_MS = 1_000
# All members of a gang must have started within this time after the launch.
START_WINDOW_MS = 2_000
# Messages of the launch are resent at this interval, so that a few lost ones in a
# row do not use up the start window.
START_REPEAT_MS = 400
# A reservation that is not started or extended is released after this time.
HOLD_MS = 3_000
# A borrower is stopped this long after its eviction notice.
RECLAIM_MS = 2_000
# The agent resends stops and unacknowledged reports at this interval.
REPEAT_INTERVAL_MS = 1_000
TICK_MS = 250
# An agent that starts does not know which tasks an earlier incarnation left on the
# target. It starts nothing until their leases have expired and the target has
# noticed it. A call of the earlier incarnation may reach the target late.
QUARANTINE_MS = LEASE_MS + 2 * TICK_MS
# A draining worker starts only what it had reserved before, and only for this long.
DRAIN_START_WINDOW_MS = HOLD_MS

HEARTBEAT_INTERVAL_MS = 2_000
# An entry with many workers sets a longer heartbeat interval, so that it receives
# about this many per second. At 248 bytes with the reply they take 2.5 KB/s, and the
# rest of the 6 KB/s is for the configuration and for other entries.
HEARTBEATS_PER_S = 10
# An agent that missed a push gets the configuration from the reply to its next
# heartbeat. With jitter that is 7.5 s, within the 9 s that a change may take.
HEARTBEAT_MAX_INTERVAL_MS = 6_000
# A worker whose last contact was three heartbeats ago gets no new work.
SUSPECT_MS = 3 * HEARTBEAT_INTERVAL_MS
# Guaranteed cells of an absent worker move to others only after this time, so that
# a restart of an agent does not move them.
REPLAN_ABSENCE_MS = 30_000
ANNOUNCE_INTERVAL_MS = 100

REQUEST_TIMEOUT_MS = 1_000
# The status of an attempt is queried for this long; after that it is unknown.
SETTLE_MS = 10_000
ENDED_RETENTION_MS = 900_000
TOMBSTONE_LIMIT = 20_000
# An entry sends each peer an update at least this often, even without a change. With
# many entries it sends about four updates per second in total, because each one costs
# 320 bytes and the time of two messages at both ends.
PEER_UPDATE_MIN_INTERVAL_MS = 1_000
PEER_UPDATE_PER_PEER_MS = 250
PEER_UPDATE_MAX_INTERVAL_MS = 5_000


def compute_peer_update_ms(peers: int) -> int:
    """Return the interval of updates to each peer for an entry with `peers` peers."""
    interval_ms = peers * PEER_UPDATE_PER_PEER_MS
    return min(
        max(PEER_UPDATE_MIN_INTERVAL_MS, interval_ms), PEER_UPDATE_MAX_INTERVAL_MS
    )


def compute_heartbeat_interval_ms(workers: int) -> int:
    """Return the heartbeat interval for an entry that `workers` workers report to."""
    interval_ms = workers * 1_000 // HEARTBEATS_PER_S
    return min(max(HEARTBEAT_INTERVAL_MS, interval_ms), HEARTBEAT_MAX_INTERVAL_MS)
