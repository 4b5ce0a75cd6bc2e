"""Data classes of the fleet's settings."""

import dataclasses
import fractions
from decimal import Decimal

__all__ = [
    "FleetSettings",
    "UnitSettings",
    "ContractSettings",
    "TeamSettings",
    "QueueSettings",
    "PoolSettings",
    "VmSettings",
    "SlotSettings",
    "SiteSettings",
    "upper_limit_slots",
    "slots_in_units",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnitSettings:
    """One version of a capacity unit that the previous system defined.

    Attributes:
        version: Version number that contracts refer to.
        processors: Processors in one unit.
        memory_gib: Memory in one unit, in GiB.
        accelerators: Accelerators in one unit.
    """

    version: int
    processors: Decimal = Decimal(0)
    memory_gib: Decimal = Decimal(0)
    accelerators: Decimal = Decimal(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ContractSettings:
    """Upper limit of a team, stated in a unit of the previous system.

    Attributes:
        unit: Name of the unit.
        unit_version: Version of the unit.
        limit: Number of units that the team may use at the same time.
    """

    unit: str
    unit_version: int
    limit: Decimal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamSettings:
    """Settings of one team, with either an upper limit or a contract.

    Attributes:
        share: Weight in the fair sharing of a full fleet.
        upper_limit: Slots that the team may use at the same time.
        contract: Contract from which the upper limit is derived.
    """

    share: Decimal
    upper_limit: int | None = None
    contract: ContractSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Settings of one queue that accepts callers' requests.

    Attributes:
        pool: Pool that runs the queue's requests.
        open: Whether requests are accepted without a key.
        max_waiting: Requests of one team that may wait at one entry VM.
    """

    pool: str
    open: bool = False
    max_waiting: int = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolSettings:
    """Settings of one pool of VMs.

    Attributes:
        max_unavailable: VMs of the pool that may be unavailable at the same
            time.
        max_unavailable_per_rack: VMs of the pool in one rack that may be
            unavailable at the same time.
        is_spare: Whether the pool's VMs replace VMs of other pools.
    """

    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1
    is_spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """Settings of one VM that runs backend servers.

    Attributes:
        availability_zone: Availability zone of the VM.
        rack: Rack name, unique in the fleet.
        pool: Initial pool of the VM.
        processors: Number of processors.
        memory_gib: Memory in GiB.
        accelerators: Number of accelerators.
    """

    availability_zone: str
    rack: str
    pool: str
    processors: Decimal = Decimal(16)
    memory_gib: Decimal = Decimal(64)
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSettings:
    """Resources of one slot, used to convert contracts into slots.

    Attributes:
        processors: Processors of one slot.
        memory_gib: Memory of one slot, in GiB.
        accelerators: Accelerators of one slot.
    """

    processors: Decimal = Decimal(2)
    memory_gib: Decimal = Decimal(8)
    accelerators: Decimal = Decimal(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteSettings:
    """Objectives of a site in maintenance, with weights from 0 to 1.

    Attributes:
        name: Name of the site.
        buffer_weight: Weight of the idle reserve.
        share_weight: Weight of closeness to the teams' shares.
        rollout_weight: Weight of the rollout time.
        move_weight: Weight of the number of moved jobs.
    """

    name: str = ""
    buffer_weight: Decimal = Decimal("0.25")
    share_weight: Decimal = Decimal("0.25")
    rollout_weight: Decimal = Decimal("0.25")
    move_weight: Decimal = Decimal("0.25")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetSettings:
    """Settings of the whole fleet.

    Attributes:
        site: Objectives of the site.
        slot: Resources of one slot.
        units: Versions of each unit of the previous system, by unit name.
        teams: Teams by name.
        queues: Queues by name.
        pools: Pools by name.
        vms: VMs by name.
    """

    site: SiteSettings = SiteSettings()
    slot: SlotSettings = SlotSettings()
    units: dict[str, list[UnitSettings]] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[str, TeamSettings] = dataclasses.field(default_factory=dict)
    queues: dict[str, QueueSettings] = dataclasses.field(default_factory=dict)
    pools: dict[str, PoolSettings] = dataclasses.field(default_factory=dict)
    vms: dict[str, VmSettings] = dataclasses.field(default_factory=dict)


def upper_limit_slots(settings: FleetSettings, team: TeamSettings) -> int:
    """Return the number of slots that `team` may use at the same time.

    A contract's limit is converted with exact arithmetic and rounded down, so
    the slots never exceed the contract's limit of any resource.

    Args:
        settings: Settings of the fleet.
        team: Team with a validated upper limit or contract.

    Returns:
        Number of slots.

    Example:
        >>> unit = UnitSettings(version=1, processors=Decimal("0.3"))
        >>> team = TeamSettings(
        ...     share=Decimal(1),
        ...     contract=ContractSettings(
        ...         unit="disc", unit_version=1, limit=Decimal(100)
        ...     ),
        ... )
        >>> fleet = FleetSettings(units={"disc": [unit]})
        >>> upper_limit_slots(fleet, team)
        15
    """
    contract = team.contract
    if contract is None:
        return team.upper_limit or 0
    ratio = _slots_per_unit(settings, contract)
    return int(fractions.Fraction(contract.limit) * ratio)


def slots_in_units(
    settings: FleetSettings, contract: ContractSettings, slots: int
) -> fractions.Fraction:
    """Return the number of the contract's units that equal `slots` slots."""
    return slots / _slots_per_unit(settings, contract)


def _slots_per_unit(
    settings: FleetSettings, contract: ContractSettings
) -> fractions.Fraction:
    unit = next(
        u
        for u in settings.units[contract.unit]
        if u.version == contract.unit_version
    )
    slot = settings.slot
    ratios = [
        fractions.Fraction(per_unit) / fractions.Fraction(per_slot)
        for per_unit, per_slot in (
            (unit.processors, slot.processors),
            (unit.memory_gib, slot.memory_gib),
            (unit.accelerators, slot.accelerators),
        )
        if per_slot and per_unit
    ]
    return min(ratios)
