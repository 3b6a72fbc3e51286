"""Bearer tokens, which are stored only as SHA-256 digests."""

import hashlib
import hmac
from collections.abc import Iterable
from typing import NamedTuple

from yuccarelay.core.manifest import Manifest

SCHEME = 'Bearer '


class Caller(NamedTuple):
    """Who sent a request; `organisation` is empty if the token is of none."""

    organisation: str
    operator: bool

    @property
    def known(self) -> bool:
        """Whether the token belongs to an organisation or an operator."""
        return self.operator or bool(self.organisation)


def make_digest(token: str) -> str:
    """Return the digest of a token as the manifest holds it, `sha256:<hex>`."""
    return 'sha256:' + hashlib.sha256(token.encode()).hexdigest()


def parse_bearer(header: str) -> str:
    """Return the token of an `Authorization` header, or an empty string."""
    if header[: len(SCHEME)].lower() != SCHEME.lower():
        return ''
    return header[len(SCHEME) :].strip()


def match_digest(digest: str, digests: Iterable[str]) -> bool:
    """Compare with all digests, so that the duration does not show which matched."""
    matched = False
    for candidate in digests:
        matched |= hmac.compare_digest(digest.encode(), candidate.encode())
    return matched


def identify_caller(
    token: str,
    manifest: Manifest | None,
    bootstrap_digests: tuple[str, ...],
) -> Caller:
    """
    Return the caller that a token belongs to.

    The bootstrap digests are valid only while there is no manifest.
    """
    if not token:
        return Caller(organisation='', operator=False)
    digest = make_digest(token)
    if manifest is None:
        operator = match_digest(digest, bootstrap_digests)
        return Caller(organisation='', operator=operator)
    organisation = ''
    for name, candidate in manifest.organisations.items():
        if match_digest(digest, candidate.token_digests):
            organisation = name
    operator = match_digest(digest, manifest.operator_digests)
    return Caller(organisation=organisation, operator=operator)
