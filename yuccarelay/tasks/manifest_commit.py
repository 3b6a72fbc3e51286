"""Commits of the manifest: validation, compare-and-swap, and lost replies."""

import asyncio

from yuccarelay.adapters.records import (
    ManifestValue,
    decode_document,
    decode_manifest,
    encode_manifest,
)
from yuccarelay.core.manifest import MANIFEST_LIMIT_BYTES, FieldError
from yuccarelay.ports.clock import Clock
from yuccarelay.ports.randomness import RandomSource
from yuccarelay.ports.store import (
    VALUE_LIMIT_BYTES,
    Guard,
    Put,
    StoredValue,
    StoreFailure,
    TransactionResult,
)
from yuccarelay.tasks.breaker import CircuitBreakerStore, jitter
from yuccarelay.tasks.config_watch import MANIFEST_KEY, ConfigWatch, SeenVersion
from yuccarelay.tasks.messages import (
    CommitManifest,
    CommitRefused,
    Committed,
    CommitUndecided,
)
from yuccarelay.tasks.registration import make_token

SETTLE_MS = 8_000
SETTLE_PAUSE_MS = 200

CommitResult = Committed | CommitRefused | CommitUndecided


def refuse_field(code: str, rule: str) -> CommitRefused:
    """Return a refusal that concerns the manifest as a whole."""
    return CommitRefused(code, (FieldError('manifest', rule),))


class ManifestCommitter:
    """Commits manifests; part of the store task."""

    def __init__(
        self,
        store: CircuitBreakerStore,
        clock: Clock,
        rng: RandomSource,
        config: ConfigWatch,
        settle_ms: int = SETTLE_MS,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.config = config
        self.settle_ms = settle_ms

    async def commit(self, request: CommitManifest) -> CommitResult:
        """Check the manifest and write it if the store holds generation `replaces`."""
        text = request.text.strip()
        refusal = self.check(text)
        if refusal is not None:
            return refusal
        token = make_token(self.rng)
        value = ManifestValue(request.replaces + 1, token, text)
        data = encode_manifest(value)
        if len(data) > VALUE_LIMIT_BYTES:
            return self.refuse_size()
        found = await self.find_replaced_version(request.replaces)
        if isinstance(found, CommitRefused):
            return found
        return await self.write(value, data, Guard(MANIFEST_KEY, found.mod_revision))

    def refuse_size(self) -> CommitRefused:
        """Return the refusal of a text that does not fit into one value."""
        rule = f'must be at most {MANIFEST_LIMIT_BYTES} bytes with its header'
        return refuse_field('manifest_too_large', rule)

    def check(self, text: bytes) -> CommitRefused | None:
        """Return a refusal if the text is not a valid manifest, else None."""
        if len(text) > MANIFEST_LIMIT_BYTES:
            return self.refuse_size()
        document = decode_document(text)
        if document.is_err():
            return refuse_field('manifest_not_json', document.unwrap_err())
        checked = self.config.check_manifest(document.unwrap())
        if checked.is_err():
            return CommitRefused('manifest_invalid', checked.unwrap_err())
        return None

    async def find_replaced_version(self, replaces: int) -> SeenVersion | CommitRefused:
        """Return the version to replace, or a refusal if the store holds another."""
        seen = self.config.manifest
        if seen.number < replaces or not self.config.revision:
            read = await self.store.read(MANIFEST_KEY)
            if read.is_err():
                return CommitRefused('store_unavailable')
            seen = max(seen, self.read_version(read.unwrap()))
        if seen.number != replaces:
            return CommitRefused('generation_conflict', generation=seen.number)
        return seen

    def read_version(self, stored: StoredValue | None) -> SeenVersion:
        """Return the generation of a stored value; 0 if there is none."""
        if stored is None:
            return SeenVersion()
        decoded = decode_manifest(stored.value)
        if decoded.is_err():
            self.config.report_malformed(stored.key, decoded.unwrap_err())
            return SeenVersion()
        return SeenVersion(decoded.unwrap().generation, stored.mod_revision)

    async def write(
        self,
        value: ManifestValue,
        data: bytes,
        guard: Guard,
    ) -> CommitResult:
        """Write the value; retry until the outcome is known or `settle_ms` passes."""
        deadline_ms = self.clock.now_ms() + self.settle_ms
        put = Put(MANIFEST_KEY, data)
        outcome_unknown = False
        while True:
            result = await self.store.transact((guard,), (put,))
            if result.is_ok():
                return self.find_commit_result(value, result.unwrap(), outcome_unknown)
            failure = result.unwrap_err()
            outcome_unknown = outcome_unknown or failure.ambiguous
            if not outcome_unknown:
                return self.refuse_failure(failure)
            if self.clock.now_ms() >= deadline_ms:
                return CommitUndecided(failure.reason)
            await asyncio.sleep(jitter(self.rng, SETTLE_PAUSE_MS))
            await self.store.wait_closed((deadline_ms - self.clock.now_ms()) / 1000)

    def refuse_failure(self, failure: StoreFailure) -> CommitRefused:
        """Return the refusal when nothing was written."""
        if failure.refused:
            return refuse_field('store_refused', failure.reason)
        return CommitRefused('store_unavailable')

    def find_commit_result(
        self,
        value: ManifestValue,
        done: TransactionResult,
        outcome_unknown: bool,
    ) -> CommitResult:
        """Return the result of a commit from what the store holds now."""
        if done.succeeded:
            return Committed(value.generation)
        stored = done.current[0] if done.current else None
        stored_generation = self.read_version(stored).number
        if stored is not None and stored_generation == value.generation:
            if decode_manifest(stored.value).unwrap().writer == value.writer:
                return Committed(value.generation)
        elif outcome_unknown and stored_generation > value.generation:
            # A later generation hides whether this write took effect before it.
            return CommitUndecided(
                f'generation {stored_generation} has been committed since'
            )
        return CommitRefused('generation_conflict', generation=stored_generation)
