"""HTTP interface for the announcements of backend servers."""

import hmac
import json
import logging

import msgspec
from aiohttp import web

from galenarill.common import AttemptId, AvailabilityZoneId, PoolId, VmId
from galenarill.entry.problems import problem_response
from galenarill.entry.slots import SlotManager
from galenarill.scheduling.messages import ServerReport

__all__ = ["ServerInterface", "Announcement"]

MAX_ANNOUNCEMENT_BYTES = 64 * 1024

logger = logging.getLogger(__name__)


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """Periodic announcement by a backend server.

    Attributes:
        pool: Pool that it serves.
        address: `host:port` on which it accepts requests.
        incarnation: Incarnation of the process, different after each start.
        sequence: Sequence number within the incarnation, from 1.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts.
        running: Attempts that are running.
        leaving: Whether it is shutting down.
        seen: Stamp of the last reply received before this announcement.
    """

    pool: str
    address: str
    incarnation: str
    sequence: int
    slots: int
    connections: int
    running: list[str] = []
    leaving: bool = False
    seen: str = ""


class ServerInterface:
    """Forwards announcements of backend servers to the zone's scheduler."""

    def __init__(self, get_state, slots: SlotManager, secret: str):
        """Make the interface of one entry VM.

        Args:
            get_state: Returns the replicated state.
            slots: Slot manager of this VM.
            secret: Secret that backend servers present, or "" for none.
        """
        self._get_state = get_state
        self._slots = slots
        self._secret = secret

    def add_routes(self, app: web.Application) -> None:
        """Add the backend servers' endpoints to `app`."""
        app.router.add_post("/v1/backend-servers/{vm}", self._announce)

    async def _announce(self, request: web.Request) -> web.Response:
        expected = f"Bearer {self._secret}"
        presented = request.headers.get("Authorization", "")
        if self._secret and not hmac.compare_digest(
            presented.encode(), expected.encode()
        ):
            return problem_response(
                401, "key-invalid", "the secret is not valid"
            )
        if (request.content_length or 0) > MAX_ANNOUNCEMENT_BYTES:
            return problem_response(
                413, "bad-request", "the announcement is too large"
            )
        vm = VmId(request.match_info["vm"])
        try:
            data = json.loads(await request.text())
            announcement = msgspec.convert(data, Announcement)
            _validate(announcement)
        except ValueError as error:
            return problem_response(
                400, "bad-request", f"not an announcement: {error}"
            )
        record = self._get_state().vms.get(vm)
        if record is None:
            detail = f"VM {vm!r} is not in the settings"
            return problem_response(404, "no-vm", detail, retry_after=1)
        report = ServerReport(
            server=vm,
            availability_zone=AvailabilityZoneId(record.availability_zone),
            pool=PoolId(announcement.pool),
            address=announcement.address,
            incarnation=announcement.incarnation,
            sequence=announcement.sequence,
            slots=announcement.slots,
            connections=announcement.connections,
            running=tuple(AttemptId(a) for a in announcement.running),
            leaving=announcement.leaving,
            seen=announcement.seen,
        )
        try:
            reply = await self._slots.report(report)
        except TimeoutError:
            detail = "the scheduler of the zone does not answer"
            return problem_response(503, "no-scheduler", detail, retry_after=1)
        return web.json_response(
            {
                "accepted": reply.accepted,
                "reason": reply.reason,
                "pool": record.pool,
                "stop": list(reply.stop),
                "stamp": reply.stamp,
                "renew_after_seconds": reply.renew_after,
            }
        )


def _validate(announcement: Announcement) -> None:
    for name in ("sequence", "slots", "connections"):
        value = getattr(announcement, name)
        if value < 0:
            raise ValueError(f"{name} must not be negative, not {value}")
    host, _, port = announcement.address.rpartition(":")
    if not host or not port.isdigit():
        text = announcement.address
        raise ValueError(f"address must be host:port, not {text!r}")
