"""The platform that drains, reboots and replaces VMs."""

import abc
import enum

import aiohttp
import msgspec

from galenarill.errors import GalenarillError
from galenarill.world import VmId

__all__ = [
    "PlatformClient",
    "HttpPlatform",
    "PlatformVm",
    "PlatformVmState",
    "PlatformError",
]

CALL_TIMEOUT_SECONDS = 5.0


class PlatformError(GalenarillError):
    """The platform did not answer, or not as its interface says."""


class PlatformVmState(enum.Enum):
    """What the platform says of a VM."""

    RUNNING = "running"
    REBOOTING = "rebooting"
    GONE = "gone"


class PlatformVm(msgspec.Struct, frozen=True):
    """The platform's view of a VM.

    Attributes:
        vm: VM.
        state: Whether it runs.
        last_command: Id of the last command that it has carried out, or "".
    """

    vm: VmId
    state: PlatformVmState
    last_command: str = ""


class PlatformClient(abc.ABC):
    """Commands to the platform; each is idempotent by its id."""

    @abc.abstractmethod
    async def reboot(self, vm: VmId, command: str) -> None:
        """Ask for a reboot.

        Raises:
            PlatformError: If there is no answer. The command may have arrived.
        """

    @abc.abstractmethod
    async def describe(self, vm: VmId) -> PlatformVm:
        """Return the platform's view of `vm`.

        Raises:
            PlatformError: If there is no valid answer.
        """


class HttpPlatform(PlatformClient):
    """The platform's HTTP interface."""

    def __init__(self, url: str):
        """Use the interface at `url`."""
        self._url = url.rstrip("/")
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        )

    async def reboot(self, vm: VmId, command: str) -> None:
        """Ask for a reboot."""
        await self._call("PUT", f"/v1/vms/{vm}/reboots/{command}")

    async def describe(self, vm: VmId) -> PlatformVm:
        """Return the platform's view of `vm`."""
        data = await self._call("GET", f"/v1/vms/{vm}")
        try:
            return msgspec.json.decode(data, type=PlatformVm)
        except msgspec.DecodeError as error:
            raise PlatformError(f"not a VM: {error}") from error

    async def aclose(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _call(self, method: str, path: str) -> bytes:
        try:
            async with self._session.request(
                method, f"{self._url}{path}"
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(f"no answer: {error!r}") from error
        if response.status >= 300:
            raise PlatformError(f"{method} {path}: status {response.status}")
        return data
