"""Calls to the platform's advice service."""

import msgspec
from result import Err, Ok, Result

from yuccarelay.adapters.http_client import HttpClient, HttpFailure
from yuccarelay.adapters.http_connection import HttpResponse


class WireApproved(msgspec.Struct):
    """Answer: rows of the id of a worker and its ticket."""

    approved: tuple[tuple[str, str], ...]


APPROVED_DECODER = msgspec.json.Decoder(WireApproved)


class HttpAdvisor:
    """The advice port over the platform's HTTP call."""

    def __init__(self, address: str):
        self.client = HttpClient(address)

    async def query(
        self,
        step: str,
        workers: tuple[str, ...],
        limit_ms: int,
    ) -> Result[dict[str, str], str]:
        """Return a ticket for each worker that may run a step."""
        answer = await self.client.call(
            'POST',
            '/api/advise',
            body=msgspec.json.encode({'step': step, 'workers': workers}),
            timeout_s=limit_ms / 1000,
        )
        match answer:
            case Ok(HttpResponse(status=200, body=data)):
                try:
                    return Ok(dict(APPROVED_DECODER.decode(data).approved))
                except (msgspec.MsgspecError, ValueError) as fault:
                    return Err(f'unreadable answer: {fault}')
            case Ok(HttpResponse(status=status)):
                return Err(f'status {status}')
            case Err(HttpFailure(reason)):
                return Err(reason)

    async def close(self) -> None:
        """Close the connections."""
        await self.client.close()
