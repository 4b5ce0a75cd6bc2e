"""Settings of the process of one entry VM."""

import dataclasses
import pathlib

from galenarill.common import AvailabilityZoneId, VmId
from galenarill.settings.loading import load_checked

__all__ = ["PeerSettings", "ProcessSettings", "load_process_settings"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSettings:
    """Addresses and role of one entry VM.

    Attributes:
        id: VM id.
        availability_zone: Availability zone of the VM.
        links: `host:port` for links between entry VMs.
        callers: `host:port` for callers, backend servers and operators.
        voter: Whether the VM has a disk and votes in the replicated log.
    """

    id: str
    availability_zone: str
    links: str
    callers: str
    voter: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Settings of one `galenarill serve`.

    Attributes:
        vm: Id of this entry VM, one of `entry_vms`.
        link_secret_file: File with the secret shared by all entry VMs.
        operators_file: TOML file with the operators' roles and key digests.
        entry_vms: All entry VMs of the fleet.
        data_folder: Directory of the replicated log, required on voters.
        log_file: Log file, or "" for standard error.
        platform: Base URL of the platform's interface, or "".
        server_secret_file: File with the secret that authenticates backend
            servers, or "" if they need none.
        tls_certificate_file: PEM file of this VM's certificate, or "" to
            disable TLS.
        tls_key_file: PEM file of the certificate's private key.
        tls_ca_file: PEM file of the certificate authority that signs the
            certificates of all entry VMs.
    """

    vm: str
    link_secret_file: str
    operators_file: str
    entry_vms: list[PeerSettings]
    data_folder: str = ""
    log_file: str = ""
    platform: str = ""
    server_secret_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    tls_ca_file: str = ""

    @property
    def local_peer(self) -> PeerSettings:
        """Entry of this VM in `entry_vms`."""
        return next(peer for peer in self.entry_vms if peer.id == self.vm)

    @property
    def server_secret(self) -> str:
        """Secret that authenticates backend servers, or ""."""
        if not self.server_secret_file:
            return ""
        return pathlib.Path(self.server_secret_file).read_text().strip()

    @property
    def zones(self) -> dict[VmId, AvailabilityZoneId]:
        """Availability zone of each entry VM."""
        return {
            VmId(peer.id): AvailabilityZoneId(peer.availability_zone)
            for peer in self.entry_vms
        }

    @property
    def voters(self) -> frozenset[VmId]:
        """Entry VMs that vote in the replicated log."""
        return frozenset(VmId(p.id) for p in self.entry_vms if p.voter)


def load_process_settings(file: pathlib.Path) -> ProcessSettings:
    """Read and validate the settings of one entry VM's process.

    Args:
        file: TOML file.

    Returns:
        The settings.

    Raises:
        SettingsErrorGroup: If the file is invalid; holds every fault.
    """
    return load_checked(file, ProcessSettings, _find_faults)


def _find_faults(settings: ProcessSettings) -> list[tuple[str, str]]:
    faults = []
    ids = [peer.id for peer in settings.entry_vms]
    if settings.vm not in ids:
        faults.append(("vm", f"{settings.vm!r} is not among entry_vms"))
    if len(set(ids)) < len(ids):
        faults.append(("entry_vms", "two entries have the same id"))
    voters = len(settings.voters)
    if voters % 2 == 0:
        faults.append(
            ("entry_vms", f"the number of voters must be odd, not {voters}")
        )
    for peer in settings.entry_vms:
        for key in ("links", "callers"):
            host, _, port = getattr(peer, key).rpartition(":")
            if not host or not port.isdigit():
                text = f"must be host:port, not {getattr(peer, key)!r}"
                faults.append((f"entry_vms.{peer.id}.{key}", text))
    tls = (
        settings.tls_certificate_file,
        settings.tls_key_file,
        settings.tls_ca_file,
    )
    if any(tls) and not all(tls):
        text = "certificate, key and authority go together"
        faults.append(("tls_certificate_file", text))
    if not faults and settings.local_peer.voter and not settings.data_folder:
        faults.append(("data_folder", "a voter needs a data folder"))
    return faults
