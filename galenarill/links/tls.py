"""TLS contexts for links and listeners, with certificate reloading."""

import pathlib
import ssl

from galenarill.errors import Finding, SettingsError

__all__ = ["Certificates", "load_certificates"]


class Certificates:
    """A certificate with its key, and the CA of the peers' certificates.

    After a reload, new connections use the new files. Open connections are not
    affected.
    """

    def __init__(
        self, certificate: pathlib.Path, key: pathlib.Path, ca: pathlib.Path
    ):
        """Load the files; use `load_certificates`, which wraps errors."""
        self._certificate = certificate
        self._key = key
        self._ca = ca
        self._caller_listener_context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=ca
        )
        self._peer_listener_context = ssl.create_default_context(
            ssl.Purpose.CLIENT_AUTH, cafile=ca
        )
        self._peer_listener_context.verify_mode = ssl.CERT_REQUIRED
        self._peer_client_context = ssl.create_default_context(cafile=ca)
        # Peers are dialed by numeric address, without a host name to check. The
        # CA proves that the peer belongs to the fleet, and the handshake on the
        # link proves which entry VM it is.
        self._peer_client_context.check_hostname = False
        self._modified = self._modification_times()
        self._load()

    @property
    def caller_listener_context(self) -> ssl.SSLContext:
        """Context of the listener for callers, without client certificates."""
        return self._caller_listener_context

    @property
    def peer_listener_context(self) -> ssl.SSLContext:
        """Context of the listener for links, with mutual TLS."""
        return self._peer_listener_context

    @property
    def peer_client_context(self) -> ssl.SSLContext:
        """Context for outgoing connections to other entry VMs."""
        return self._peer_client_context

    def reload(self) -> bool:
        """Load the files again if they have changed.

        Returns:
            Whether they had changed.

        Raises:
            SettingsError: If the new files cannot be used. New connections keep
                using the old ones.
        """
        modified = self._modification_times()
        if modified == self._modified:
            return False
        self._load()
        self._modified = modified
        return True

    def _modification_times(self) -> tuple[int, ...]:
        try:
            files = (self._certificate, self._key)
            return tuple(path.stat().st_mtime_ns for path in files)
        except OSError as error:
            raise _certificate_error(self._certificate, error) from error

    def _load(self) -> None:
        for context in (
            self._caller_listener_context,
            self._peer_listener_context,
            self._peer_client_context,
        ):
            try:
                context.load_cert_chain(self._certificate, self._key)
            except (OSError, ssl.SSLError) as error:
                raise _certificate_error(self._certificate, error) from error


def load_certificates(
    certificate: str, key: str, ca: str
) -> Certificates | None:
    """Load certificates for TLS.

    Args:
        certificate: PEM file of this VM's certificate, or "" for no TLS.
        key: PEM file of its private key.
        ca: PEM file of the CA that signs the certificates of all entry VMs.

    Returns:
        The certificates, or None for no TLS.

    Raises:
        SettingsError: If the files cannot be used.
    """
    if not certificate:
        return None
    try:
        return Certificates(
            pathlib.Path(certificate), pathlib.Path(key), pathlib.Path(ca)
        )
    except (OSError, ssl.SSLError) as error:
        raise _certificate_error(pathlib.Path(ca), error) from error


def _certificate_error(path: pathlib.Path, error: Exception) -> SettingsError:
    return SettingsError(Finding(str(path), 0, "tls", f"not usable: {error}"))
