"""The platform's machine interface over HTTP."""

import asyncio

import aiohttp
import msgspec

from galenarill.pools import (
    Machine,
    MachineClient,
    MachineListError,
    MachineState,
    MachineVerdict,
)
from galenarill.routing import Resources
from galenarill.world import MachineId, PoolId, WorkerId

__all__ = ["HttpMachineClient"]

CALL_TIMEOUT_SECONDS = 1.5
LEASE_HOLDER_HEADER = "X-Galenarill-Lease-Holder"
FENCING_TOKEN_HEADER = "X-Galenarill-Fencing-Token"

_VERDICT_BY_REASON = {
    "fence": MachineVerdict.FENCED,
    "busy": MachineVerdict.BUSY,
    "wave": MachineVerdict.NOT_OF_WAVE,
}


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: MachineState
    # Kind of machine, then its rack.
    labels: list[str] = []
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # Its present worker.
    id: str | None = None


class _Page(msgspec.Struct):
    machines: list[_Machine]
    next_token: str | int | None = None


class _Refusal(msgspec.Struct):
    reason: str = ""


class HttpMachineClient(MachineClient):
    """The platform's calls on machines."""

    def __init__(self, address: str):
        """Use the interface at `address`, `host:port`."""
        self._url = f"http://{address}/galenarill"
        self._session = aiohttp.ClientSession()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def list(self) -> list[Machine]:
        """Return all machines."""
        machines: list[Machine] = []
        page_token = None
        while True:
            params = (
                {} if page_token is None else {"page_token": str(page_token)}
            )
            status, data = await self._call("GET", "machines", params=params)
            if status != 200:
                raise MachineListError(f"the list has status {status}")
            try:
                page = msgspec.json.decode(data, type=_Page)
            except msgspec.DecodeError as error:
                raise MachineListError(f"no list: {error}") from error
            machines += [_to_machine(raw) for raw in page.machines]
            page_token = page.next_token
            if not page_token:
                return machines

    async def move(
        self, machine: MachineId, pool: PoolId, holder: str, token: int
    ) -> MachineVerdict:
        """Move a machine to a pool; what runs on it ends at once."""
        return await self._send_order(
            "machine-move", {"machine": machine, "pool": pool}, holder, token
        )

    async def maintain(
        self, machine: MachineId, wave: int, holder: str, token: int
    ) -> MachineVerdict:
        """Begin a machine's upkeep; what runs on it ends at once."""
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
                return MachineVerdict.THROTTLED
            case 409:
                try:
                    refusal = msgspec.json.decode(data, type=_Refusal)
                except msgspec.DecodeError:
                    return MachineVerdict.BUSY
                return _VERDICT_BY_REASON.get(
                    refusal.reason, MachineVerdict.BUSY
                )
        return MachineVerdict.NO_ANSWER

    async def _call(self, method: str, name: str, **options):
        """Return the status, or 0 without an answer, and the body."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                async with self._session.request(
                    method, f"{self._url}/{name}", **options
                ) as response:
                    return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The caller logs what follows from having no answer.
            return 0, b""


def _to_machine(raw: _Machine) -> Machine:
    return Machine(
        MachineId(raw.machine),
        PoolId(raw.pool),
        raw.state,
        raw.labels[1] if len(raw.labels) > 1 else "",
        raw.labels[0] if raw.labels else "",
        Resources(raw.capacity.cpu, raw.capacity.mem_mb, raw.capacity.gpu),
        WorkerId(raw.id or ""),
    )
