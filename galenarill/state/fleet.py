"""Replicated state of the fleet."""

import collections
import functools
from collections.abc import Iterable, Iterator

import cbor2
import msgspec

from galenarill.common import (
    AvailabilityZoneId,
    ChangeId,
    KeyId,
    TeamId,
    VmId,
)
from galenarill.settings import (
    FleetSettings,
    flatten,
    structure_settings,
    unflatten,
    upper_limit_slots,
)
from galenarill.state import budgets, commands
from galenarill.state.commands import Change, Outcome, OutcomeCode
from galenarill.state.escrow import LimitEscrow
from galenarill.state.records import (
    AuditEntry,
    ChangeRecord,
    KeyRecord,
    VmRecord,
    VmState,
    ZoneEvacuation,
)

__all__ = ["FleetState"]

MAX_CHANGE_RECORDS = 10_000
MAX_AUDIT_ENTRIES = 2_000
Path = tuple[str, ...]


class FleetState:
    """Deterministic state machine of settings, keys, VMs and allotments.

    Every entry VM applies the same log entries in the same order and so
    reaches the same state. The version is the index of the last entry applied.
    """

    def __init__(self):
        """Initialize an empty state at version 0."""
        self._version = 0
        self._values: dict[Path, object] = {}
        self._modified_versions: dict[Path, int] = {}
        self._settings = FleetSettings()
        self._keys: dict[KeyId, KeyRecord] = {}
        self._vms: dict[VmId, VmRecord] = {}
        self._limits: dict[TeamId, LimitEscrow] = {}
        self._evacuated_zones: dict[AvailabilityZoneId, ZoneEvacuation] = {}
        self._recent_outcomes: collections.OrderedDict[ChangeId, Outcome] = (
            collections.OrderedDict()
        )
        self._audit: collections.deque[AuditEntry] = collections.deque(
            maxlen=MAX_AUDIT_ENTRIES
        )

    @property
    def version(self) -> int:
        """Index of the last log entry applied."""
        return self._version

    @property
    def settings(self) -> FleetSettings:
        """Validated settings."""
        return self._settings

    @property
    def raw_settings(self) -> dict:
        """Settings as nested tables of values."""
        return unflatten(self._values)

    @property
    def keys(self) -> dict[KeyId, KeyRecord]:
        """Keys by id, including withdrawn ones."""
        return self._keys

    @property
    def vms(self) -> dict[VmId, VmRecord]:
        """VMs."""
        return self._vms

    @property
    def limits(self) -> dict[TeamId, LimitEscrow]:
        """Upper limit and allotments by team."""
        return self._limits

    @property
    def evacuated_zones(self) -> dict[AvailabilityZoneId, ZoneEvacuation]:
        """Zones on whose backend servers no request may start."""
        return self._evacuated_zones

    @property
    def audit(self) -> collections.deque[AuditEntry]:
        """Most recent accepted changes, oldest first."""
        return self._audit

    def modified_version(self, path: Path) -> int:
        """Return the version in which the setting at `path` last changed."""
        return self._modified_versions.get(path, 0)

    def outcome_of(self, change_id: ChangeId) -> Outcome | None:
        """Return the outcome of a recently applied change, or None."""
        return self._recent_outcomes.get(change_id)

    def skip(self, index: int) -> None:
        """Advance the version past a log entry without a change."""
        self._version = index

    def apply(self, index: int, change: Change) -> Outcome:
        """Apply one change idempotently.

        Args:
            index: Log index of the change.
            change: Change to apply.

        Returns:
            The outcome. A change that was applied before isn't applied again,
            and its first outcome is returned.
        """
        self._version = index
        earlier = self._recent_outcomes.get(change.change_id)
        if earlier is not None:
            return earlier
        outcome = self._dispatch(change)
        self._recent_outcomes[change.change_id] = outcome
        while len(self._recent_outcomes) > MAX_CHANGE_RECORDS:
            self._recent_outcomes.popitem(last=False)
        if outcome.is_accepted:
            text = f"{_command_name(change.command)}: {outcome.detail}"
            self._audit.append(
                AuditEntry(index, change.at, change.operator, text)
            )
        return outcome

    def encode(self) -> bytes:
        """Encode the state as a snapshot."""
        changes = [ChangeRecord(k, v) for k, v in self._recent_outcomes.items()]
        parts = [
            self._version,
            [[list(p), v] for p, v in self._values.items()],
            [[list(p), v] for p, v in self._modified_versions.items()],
            msgspec.to_builtins(list(self._keys.values())),
            msgspec.to_builtins(self._vms),
            msgspec.to_builtins(self._limits),
            msgspec.to_builtins(changes),
            msgspec.to_builtins(list(self._audit)),
        ]
        if self._evacuated_zones:
            # Earlier releases load only snapshots of eight parts.
            parts.append(msgspec.to_builtins(self._evacuated_zones))
        return cbor2.dumps(parts)

    @classmethod
    def decode(cls, data: bytes) -> "FleetState":
        """Decode a snapshot; empty data yields an empty state."""
        state = cls()
        if not data:
            return state
        version, values, modified, keys, vms, limits, changes, audit, *rest = (
            cbor2.loads(data)
        )
        state._version = version
        state._values = {tuple(p): v for p, v in values}
        state._modified_versions = {tuple(p): v for p, v in modified}
        state._settings = structure_settings(unflatten(state._values))[0]
        records = msgspec.convert(keys, list[KeyRecord])
        state._keys = {record.key_id: record for record in records}
        state._vms = msgspec.convert(vms, dict[str, VmRecord])
        state._limits = msgspec.convert(limits, dict[str, LimitEscrow])
        for record in msgspec.convert(changes, list[ChangeRecord]):
            state._recent_outcomes[record.change_id] = record.outcome
        state._audit.extend(msgspec.convert(audit, list[AuditEntry]))
        if rest:
            state._evacuated_zones = msgspec.convert(
                rest[0], dict[str, ZoneEvacuation]
            )
        return state

    def _accept(self, detail: str) -> Outcome:
        return Outcome(OutcomeCode.ACCEPTED, self._version, detail)

    def _refuse(self, code: OutcomeCode, detail: str) -> Outcome:
        return Outcome(code, self._version, detail)

    @functools.singledispatchmethod
    def _execute(self, command, change: Change) -> Outcome:
        raise NotImplementedError(
            f"no handler for command {type(command).__name__}"
        )

    def _dispatch(self, change: Change) -> Outcome:
        return self._execute(change.command, change)

    @_execute.register
    def _edit_settings(
        self, command: commands.EditSettings, change: Change
    ) -> Outcome:
        edits = list(_leaf_edits(command.edits))
        if conflicts := self._conflicts(edits, change.based_on):
            text = "; ".join(conflicts)
            return self._refuse(OutcomeCode.CONFLICT, text)
        values = dict(self._values)
        _apply_edits(values, edits)
        settings, faults = structure_settings(unflatten(values))
        if settings is None:
            return Outcome(
                OutcomeCode.INVALID,
                self._version,
                f"{len(faults)} faults in the settings",
                tuple((".".join(f.path), f.text) for f in faults),
            )
        removed = [vm for vm in self._settings.vms.keys() - settings.vms.keys()]
        if out_of_service := [
            vm for vm in removed if not self._vms[vm].is_available
        ]:
            names = ", ".join(sorted(out_of_service))
            text = f"VMs out of service cannot be removed: {names}"
            return self._refuse(OutcomeCode.CONFLICT, text)
        changed = [
            path
            for path in values.keys() | self._values.keys()
            if values.get(path) != self._values.get(path)
        ]
        for path in changed:
            self._modified_versions[path] = self._version
        self._values = values
        self._settings = settings
        self._reconcile_with_settings()
        return self._accept(f"{len(changed)} settings changed")

    def _conflicts(
        self, edits: list[commands.Edit], based_on: int
    ) -> list[str]:
        """Return a description of each edit that conflicts with a later change.

        An edit conflicts if its setting has changed since version `based_on`.
        """
        if based_on < 0:
            return []
        later = {
            p: v for p, v in self._modified_versions.items() if v > based_on
        }
        return [
            f"{'.'.join(path)} is {self._values.get(path)!r} since version "
            f"{version}, not changed to {edit.value!r} based on version "
            f"{based_on}"
            for edit in edits
            for path, version in later.items()
            if _overlaps(path, edit.path)
        ]

    def _reconcile_with_settings(self) -> None:
        """Reconcile VMs and limits with the settings."""
        for name, vm in self._settings.vms.items():
            record = self._vms.get(name)
            if record is None:
                record = VmRecord(vm.pool, vm.availability_zone, vm.rack)
            self._vms[name] = msgspec.structs.replace(
                record, availability_zone=vm.availability_zone, rack=vm.rack
            )
        for name in self._vms.keys() - self._settings.vms.keys():
            del self._vms[name]
        zones = sorted(
            {vm.availability_zone for vm in self._settings.vms.values()}
        )
        for name, team in self._settings.teams.items():
            limit = upper_limit_slots(self._settings, team)
            escrow = self._limits.setdefault(name, LimitEscrow(0))
            if escrow.limit != limit or set(zones) != escrow.targets.keys():
                escrow.set_limit(limit, zones)
        for name in self._limits.keys() - self._settings.teams.keys():
            # The zones hold their slots until they acknowledge the target 0.
            self._limits[name].set_limit(0, zones)

    @_execute.register
    def _give_key(self, command: commands.GiveKey, change: Change) -> Outcome:
        if command.team not in self._settings.teams:
            text = f"no team {command.team!r}"
            return self._refuse(OutcomeCode.NOT_FOUND, text)
        if command.key_id in self._keys:
            text = f"key {command.key_id} exists or was withdrawn"
            return self._refuse(OutcomeCode.CONFLICT, text)
        self._keys[command.key_id] = KeyRecord(
            command.key_id, command.team, command.digest
        )
        return self._accept(f"key {command.key_id} given to {command.team}")

    @_execute.register
    def _withdraw_key(
        self, command: commands.WithdrawKey, change: Change
    ) -> Outcome:
        record = self._keys.get(command.key_id)
        if record is None:
            record = KeyRecord(command.key_id, "", "")
        self._keys[command.key_id] = msgspec.structs.replace(
            record, is_withdrawn=True
        )
        return self._accept(f"key {command.key_id} withdrawn")

    @_execute.register
    def _move_vm(self, command: commands.MoveVm, change: Change) -> Outcome:
        vm = self._vms.get(command.vm)
        if vm is None or command.to_pool not in self._settings.pools:
            text = f"no VM {command.vm!r} or no pool {command.to_pool!r}"
            return self._refuse(OutcomeCode.NOT_FOUND, text)
        if vm.pool != command.from_pool or vm.target_pool:
            text = (
                f"{command.vm} belongs to pool {vm.pool}, target "
                f"{vm.target_pool or 'none'}, expected {command.from_pool}"
            )
            return self._refuse(OutcomeCode.CONFLICT, text)
        if refused := self._check_availability_budget(command.vm, vm):
            return refused
        self._vms[command.vm] = msgspec.structs.replace(
            vm,
            state=VmState.DRAINING,
            grant=change.change_id,
            target_pool=command.to_pool,
        )
        return self._accept(f"{command.vm} moves to pool {command.to_pool}")

    @_execute.register
    def _start_drain(
        self, command: commands.StartDrain, change: Change
    ) -> Outcome:
        vm = self._vms.get(command.vm)
        if vm is None:
            text = f"no VM {command.vm!r}"
            return self._refuse(OutcomeCode.NOT_FOUND, text)
        if refused := self._check_availability_budget(command.vm, vm):
            return refused
        self._vms[command.vm] = msgspec.structs.replace(
            vm, state=VmState.DRAINING, grant=change.change_id
        )
        return self._accept(f"{command.vm} drains: {command.reason}")

    def _check_availability_budget(
        self, name: VmId, vm: VmRecord
    ) -> Outcome | None:
        """Return the refusal to take `vm` out of service, or None."""
        if vm.state is not VmState.SERVING:
            text = f"{name} is {vm.state.value}"
            return self._refuse(OutcomeCode.CONFLICT, text)
        pool = self._settings.pools[vm.pool]
        if reason := budgets.budget_violation(
            vm, vm.pool, pool, self._vms.values()
        ):
            return self._refuse(OutcomeCode.BUDGET_SPENT, reason)
        return None

    @_execute.register
    def _advance_drain(
        self, command: commands.AdvanceDrain, change: Change
    ) -> Outcome:
        vm = self._vms.get(command.vm)
        if (
            vm is None
            or vm.grant != command.grant
            or (vm.state is not VmState.DRAINING)
        ):
            text = f"{command.vm} does not drain under {command.grant}"
            return self._refuse(OutcomeCode.STALE, text)
        self._vms[command.vm] = msgspec.structs.replace(
            vm, state=VmState.MAINTAINED
        )
        return self._accept(f"{command.vm} is drained")

    @_execute.register
    def _finish_drain(
        self, command: commands.FinishDrain, change: Change
    ) -> Outcome:
        vm = self._vms.get(command.vm)
        if (
            vm is None
            or vm.grant != command.grant
            or (vm.state is not VmState.MAINTAINED)
        ):
            text = f"{command.vm} is not maintained under {command.grant}"
            return self._refuse(OutcomeCode.STALE, text)
        pool = vm.target_pool or vm.pool
        self._vms[command.vm] = msgspec.structs.replace(
            vm,
            pool=pool,
            state=VmState.SERVING,
            grant="",
            target_pool="",
        )
        return self._accept(f"{command.vm} serves pool {pool}")

    @_execute.register
    def _report_loss(
        self, command: commands.ReportLoss, change: Change
    ) -> Outcome:
        vm = self._vms.get(command.vm)
        if vm is None or vm.state is not VmState.SERVING:
            text = f"{command.vm} is not serving"
            return self._refuse(OutcomeCode.STALE, text)
        self._vms[command.vm] = msgspec.structs.replace(vm, state=VmState.LOST)
        return self._accept(f"{command.vm} is lost")

    @_execute.register
    def _report_return(
        self, command: commands.ReportReturn, change: Change
    ) -> Outcome:
        vm = self._vms.get(command.vm)
        if vm is None or vm.state is not VmState.LOST:
            text = f"{command.vm} is not lost"
            return self._refuse(OutcomeCode.STALE, text)
        self._vms[command.vm] = msgspec.structs.replace(
            vm, state=VmState.SERVING
        )
        return self._accept(f"{command.vm} is back")

    @_execute.register
    def _give_allotment(
        self, command: commands.GiveAllotment, change: Change
    ) -> Outcome:
        escrow = self._limits.get(command.team)
        if not escrow or not escrow.give(
            command.availability_zone, command.count
        ):
            return self._refuse(OutcomeCode.STALE, "the zone has less")
        return self._accept(f"{command.count} slots given up")

    @_execute.register
    def _take_allotment(
        self, command: commands.TakeAllotment, change: Change
    ) -> Outcome:
        escrow = self._limits.get(command.team)
        if not escrow or not escrow.take(
            command.availability_zone, command.count
        ):
            return self._refuse(OutcomeCode.STALE, "too few are free")
        return self._accept(f"{command.count} slots taken")

    @_execute.register
    def _acknowledge_allotment(
        self, command: commands.AcknowledgeAllotment, change: Change
    ) -> Outcome:
        escrow = self._limits.get(command.team)
        if not escrow or not escrow.acknowledge(
            command.availability_zone, command.target
        ):
            return self._refuse(OutcomeCode.STALE, "the target has changed")
        return self._accept(f"keeps to {command.target} slots")

    @_execute.register
    def _evacuate_zone(
        self, command: commands.EvacuateZone, change: Change
    ) -> Outcome:
        zone = command.availability_zone
        zones = {vm.availability_zone for vm in self._settings.vms.values()}
        if zone not in zones:
            text = f"no VM of the settings is in zone {zone!r}"
            return self._refuse(OutcomeCode.NOT_FOUND, text)
        if zone in self._evacuated_zones:
            return self._accept(f"zone {zone} was evacuated already")
        self._evacuated_zones[zone] = ZoneEvacuation(
            self._version, change.at, change.operator, command.reason
        )
        in_service = sorted(zones - self._evacuated_zones.keys())
        return self._accept(
            f"zone {zone} is evacuated: {command.reason}; zones in service: "
            f"{', '.join(in_service) or 'none'}"
        )

    @_execute.register
    def _restore_zone(
        self, command: commands.RestoreZone, change: Change
    ) -> Outcome:
        zone = command.availability_zone
        if self._evacuated_zones.pop(zone, None) is not None:
            return self._accept(f"zone {zone} is restored")
        if all(
            vm.availability_zone != zone for vm in self._settings.vms.values()
        ):
            text = f"no VM of the settings is in zone {zone!r}"
            return self._refuse(OutcomeCode.NOT_FOUND, text)
        return self._accept(f"zone {zone} was not evacuated")


def _leaf_edits(edits: Iterable[commands.Edit]) -> Iterator[commands.Edit]:
    """Flatten edits of tables into edits of single values."""
    for edit in edits:
        if isinstance(edit.value, dict) and edit.value:
            for path, value in flatten(edit.value).items():
                yield commands.Edit((*edit.path, *path), value)
        else:
            yield edit


def _apply_edits(
    values: dict[Path, object], edits: list[commands.Edit]
) -> None:
    """Apply edits to a mapping of paths to values, in place.

    A value replaces a table at its path, and a table replaces a value. All
    values are scanned only for edits whose path is a table.
    """
    tables = {path[:n] for path in values for n in range(1, len(path))}
    for edit in edits:
        path = edit.path
        if path in tables:
            for nested in [p for p in values if _overlaps(p, path)]:
                del values[nested]
        for length in range(1, len(path) + 1):
            values.pop(path[:length], None)
        if not edit.is_removed:
            values[path] = edit.value
            tables.update(path[:n] for n in range(1, len(path)))


def _overlaps(path: Path, other: Path) -> bool:
    """Return whether one path is equal to the other or a prefix of it."""
    length = min(len(path), len(other))
    return path[:length] == other[:length]


def _command_name(command) -> str:
    return type(command).__name__
