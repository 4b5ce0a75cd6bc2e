"""HTTP client of the platform's machine interface."""

import asyncio
import logging

import aiohttp
import msgspec

from galenarill.common import AvailabilityZoneId, MachineId, PoolId, WorkerId
from galenarill.errors import ProtocolError
from galenarill.platform.fields import Amount, is_id
from galenarill.pools import (
    Machine,
    MachineClient,
    MachineList,
    MachineListError,
    MachineState,
    MachineVerdict,
)
from galenarill.routing import Resources

__all__ = ["HttpMachineClient"]

logger = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 1.5
LEASE_HOLDER_HEADER = "X-Galenarill-Lease-Holder"
FENCING_TOKEN_HEADER = "X-Galenarill-Fencing-Token"

_VERDICT_BY_REASON = {
    "fence": MachineVerdict.FENCED,
    "busy": MachineVerdict.BUSY,
    "wave": MachineVerdict.NOT_OF_WAVE,
}


class _Capacity(msgspec.Struct):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: MachineState
    # The machine's kind, followed by its rack.
    labels: list[str] = []
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # Id of the worker that runs on the machine now.
    id: str | None = None
    zone: str | None = None


class _MachineId(msgspec.Struct):
    machine: str


class _Page(msgspec.Struct):
    # Decoded one by one: one odd entry must not hide the others.
    machines: list[msgspec.Raw]
    next_token: str | int | None = None


# What malformed JSON raises. Deep nesting is a RecursionError.
_DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class _Refusal(msgspec.Struct):
    reason: str = ""


class HttpMachineClient(MachineClient):
    """Lists and controls machines over the platform's HTTP interface."""

    def __init__(self, address: str):
        """Create a client of the interface at `address` (`host:port`)."""
        self._url = f"http://{address}/galenarill"
        self._session = aiohttp.ClientSession()

    async def aclose(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def list(self) -> MachineList:
        """Return all machines, from every page of the platform's list.

        Raises:
            MachineListError: If a page could not be fetched or decoded, or
                follows itself.
        """
        machines: list[Machine] = []
        unreadable: set[MachineId] = set()
        is_complete = True
        page_token = None
        page_tokens = set()
        while True:
            params = (
                {} if page_token is None else {"page_token": str(page_token)}
            )
            status, data = await self._call("GET", "machines", params=params)
            if status != 200:
                raise MachineListError(
                    f"listing machines failed with HTTP status {status}"
                )
            try:
                page = msgspec.json.decode(data, type=_Page)
            except _DECODE_ERRORS as error:
                raise MachineListError(
                    f"invalid page of the machine list: {error}"
                ) from error
            for raw in page.machines:
                try:
                    machines.append(_decode_machine(raw))
                except ProtocolError as error:
                    machine_id = _decode_id(raw)
                    if machine_id:
                        unreadable.add(machine_id)
                    else:
                        is_complete = False
                    logger.warning(
                        "entry of the machine list skipped",
                        extra={"machine": machine_id, "why": str(error)},
                    )
            page_token = page.next_token
            if not page_token:
                return MachineList(machines, frozenset(unreadable), is_complete)
            if page_token in page_tokens:
                raise MachineListError(
                    f"page {page_token!r} of the machine list follows itself"
                )
            page_tokens.add(page_token)

    async def move(
        self, machine: MachineId, pool: PoolId, holder: str, token: int
    ) -> MachineVerdict:
        """Move a machine to a pool, which ends its runs immediately."""
        return await self._send_order(
            "machine-move", {"machine": machine, "pool": pool}, holder, token
        )

    async def maintain(
        self, machine: MachineId, wave: int, holder: str, token: int
    ) -> MachineVerdict:
        """Start maintenance of a machine, which ends its runs immediately."""
        return await self._send_order(
            "machine-upkeep", {"machine": machine, "wave": wave}, holder, token
        )

    async def _send_order(
        self, name: str, body: dict, holder: str, token: int
    ) -> MachineVerdict:
        status, data = await self._call(
            "POST",
            name,
            data=msgspec.json.encode(body),
            headers={
                "Content-Type": "application/json",
                LEASE_HOLDER_HEADER: holder,
                FENCING_TOKEN_HEADER: str(token),
            },
        )
        match status:
            case 200:
                return MachineVerdict.DONE
            case 400:
                return MachineVerdict.INVALID
            case 429:
                return MachineVerdict.RATE_LIMITED
            case 409:
                try:
                    refusal = msgspec.json.decode(data, type=_Refusal)
                except _DECODE_ERRORS:
                    return MachineVerdict.BUSY
                return _VERDICT_BY_REASON.get(
                    refusal.reason, MachineVerdict.BUSY
                )
        return MachineVerdict.NO_ANSWER

    async def _call(self, method: str, name: str, **options):
        """Return the HTTP status (0 if there is no response) and the body."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._session.request(
                    method, f"{self._url}/{name}", **options
                ) as response:
                    return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The caller logs the consequences of a missing response.
            return 0, b""


def _decode_id(data: msgspec.Raw) -> MachineId | None:
    """Return the id in an entry that can't be read otherwise, or None."""
    try:
        text = msgspec.json.decode(data, type=_MachineId).machine
    except _DECODE_ERRORS:
        return None
    return MachineId(text) if is_id(text) else None


def _decode_machine(data: msgspec.Raw) -> Machine:
    try:
        raw = msgspec.json.decode(data, type=_Machine)
    except _DECODE_ERRORS as error:
        raise ProtocolError(str(error)) from error
    if not is_id(raw.machine):
        raise ProtocolError(f"not an id of a machine: {raw.machine[:80]!r}")
    if raw.id and not is_id(raw.id):
        raise ProtocolError(f"not an id of a worker: {raw.id[:80]!r}")
    return Machine(
        MachineId(raw.machine),
        PoolId(raw.pool),
        raw.state,
        raw.labels[1] if len(raw.labels) > 1 else "",
        raw.labels[0] if raw.labels else "",
        Resources(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        WorkerId(raw.id or ""),
        AvailabilityZoneId(raw.zone or ""),
    )
