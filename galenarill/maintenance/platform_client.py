"""Client of the platform that reboots and replaces VMs."""

import abc
import enum

import aiohttp
import msgspec

from galenarill.common import VmId
from galenarill.errors import GalenarillError

__all__ = [
    "PlatformClient",
    "HttpPlatformClient",
    "PlatformVm",
    "PlatformVmState",
    "PlatformError",
]

CALL_TIMEOUT_SECONDS = 5.0


class PlatformError(GalenarillError):
    """The platform did not respond, or its response was invalid."""


class PlatformVmState(enum.Enum):
    """State of a VM as reported by the platform."""

    RUNNING = "running"
    REBOOTING = "rebooting"
    GONE = "gone"


class PlatformVm(msgspec.Struct, frozen=True):
    """A VM as reported by the platform.

    Attributes:
        vm: Id of the VM.
        state: State of the VM.
        last_command: Id of the last completed command for the VM, or "".
    """

    vm: VmId
    state: PlatformVmState
    last_command: str = ""


class PlatformClient(abc.ABC):
    """Sends commands to the platform; a command's id makes it idempotent."""

    @abc.abstractmethod
    async def reboot(self, vm: VmId, command: str) -> None:
        """Request a reboot of `vm`.

        Args:
            vm: VM to reboot.
            command: Id of the command; repeating it causes no second reboot.

        Raises:
            PlatformError: If the platform did not confirm the command, which
                it may have received nevertheless.
        """

    @abc.abstractmethod
    async def describe(self, vm: VmId) -> PlatformVm:
        """Return the state of `vm` as reported by the platform.

        Raises:
            PlatformError: If there is no valid response.
        """


class HttpPlatformClient(PlatformClient):
    """Client of the platform's HTTP interface."""

    def __init__(self, url: str):
        """Create a client of the interface at the base URL `url`."""
        self._url = url.rstrip("/")
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        )

    async def reboot(self, vm: VmId, command: str) -> None:
        """Request a reboot of `vm`."""
        await self._call("PUT", f"/v1/vms/{vm}/reboots/{command}")

    async def describe(self, vm: VmId) -> PlatformVm:
        """Return the state of `vm` as reported by the platform."""
        data = await self._call("GET", f"/v1/vms/{vm}")
        try:
            return msgspec.json.decode(data, type=PlatformVm)
        except msgspec.DecodeError as error:
            raise PlatformError(
                f"invalid description of VM {vm!r}: {error}"
            ) from error

    async def aclose(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    async def _call(self, method: str, path: str) -> bytes:
        try:
            async with self._session.request(
                method, f"{self._url}{path}"
            ) as response:
                data = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(
                f"{method} {path}: no response: {error!r}"
            ) from error
        if response.status >= 300:
            raise PlatformError(f"{method} {path}: status {response.status}")
        return data
