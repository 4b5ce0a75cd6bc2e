"""Credentials and roles of operators."""

import enum
import pathlib
import tomllib

import cattrs

from galenarill.common import OperatorId, secret_matches, split_key
from galenarill.errors import AuthenticationError, Finding, SettingsError

__all__ = ["Role", "Operators", "load_operators"]


class Role(enum.IntEnum):
    """Permissions of an operator; each role includes the lower ones."""

    READ = 1
    OPERATE = 2
    ADMINISTER = 3


class Operators:
    """Operators by key id."""

    def __init__(self, by_key: dict[str, tuple[OperatorId, Role, str]]):
        """Make operators by key id; see `load_operators`."""
        self._by_key = by_key

    def authenticate(self, authorization: str | None, role: Role) -> OperatorId:
        """Authenticate an operator and check the role.

        Args:
            authorization: Value of the `Authorization` header, or None.
            role: Required role.

        Returns:
            The operator.

        Raises:
            AuthenticationError: If the credential is not valid.
            PermissionError: If the operator's role is lower than `role`.
        """
        scheme, _, presented = (authorization or "").partition(" ")
        parts = split_key(presented.strip())
        if scheme.lower() != "bearer" or parts is None:
            raise AuthenticationError("no operator credential was presented")
        name, own_role, digest = self._by_key.get(
            parts[0], (OperatorId(""), Role.READ, "0" * 64)
        )
        if not secret_matches(parts[1], digest):
            raise AuthenticationError("the operator credential is not valid")
        if own_role < role:
            raise PermissionError(
                f"{name} has role {own_role.name.lower()}, not "
                f"{role.name.lower()}"
            )
        return name


def load_operators(file: pathlib.Path) -> Operators:
    """Read the operators' file.

    Args:
        file: TOML file with a table `operators.NAME` for each operator, with
            `role`, `key_id` and `digest`.

    Returns:
        The operators.

    Raises:
        SettingsError: If the file cannot be read or is not valid.
    """
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
        tables = cattrs.structure(raw["operators"], dict[str, dict[str, str]])
        by_key = {
            table["key_id"]: (
                OperatorId(name),
                Role[table["role"].upper()],
                table["digest"],
            )
            for name, table in tables.items()
        }
    except (OSError, ValueError, KeyError, cattrs.BaseValidationError) as error:
        finding = Finding(str(file), 0, "operators", f"not valid: {error!r}")
        raise SettingsError(finding) from error
    return Operators(by_key)
