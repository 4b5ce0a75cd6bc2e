"""Settings of the fleet, as checked values."""

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
    """One version of a capacity unit of the previous system.

    Attributes:
        version: Version that contracts refer to.
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
    """Limit of a team, in a unit of the previous system.

    Attributes:
        unit: Name of the unit.
        unit_version: Version of the unit.
        limit: Number of units that the team may use at once.
    """

    unit: str
    unit_version: int
    limit: Decimal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamSettings:
    """One team.

    Attributes:
        share: Weight when the fleet is full.
        upper_limit: Slots that the team may use at once, if no contract says.
        contract: Contract that the limit follows from.
    """

    share: Decimal
    upper_limit: int | None = None
    contract: ContractSettings | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """One queue that callers submit to.

    Attributes:
        pool: Pool that runs its requests.
        open: Whether requests need no key.
        max_waiting: Requests of one team that may wait at one entry VM.
    """

    pool: str
    open: bool = False
    max_waiting: int = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolSettings:
    """One pool of VMs.

    Attributes:
        max_unavailable: VMs of the pool that may be unavailable at once.
        max_unavailable_per_rack: The same, for one rack.
        is_spare: Whether its VMs stand in for VMs of other pools.
    """

    max_unavailable: int = 1
    max_unavailable_per_rack: int = 1
    is_spare: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """One VM that runs backend servers.

    Attributes:
        availability_zone: Zone.
        rack: Rack, unique in the fleet.
        pool: Pool that the VM joins when it is first known.
        processors: Processors.
        memory_gib: Memory in GiB.
        accelerators: Accelerators.
    """

    availability_zone: str
    rack: str
    pool: str
    processors: Decimal = Decimal(16)
    memory_gib: Decimal = Decimal(64)
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSettings:
    """Resources behind one slot, for limits in old units.

    Attributes:
        processors: Processors.
        memory_gib: Memory in GiB.
        accelerators: Accelerators.
    """

    processors: Decimal = Decimal(2)
    memory_gib: Decimal = Decimal(8)
    accelerators: Decimal = Decimal(0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteSettings:
    """What a site cares for in maintenance; weights from 0 to 1.

    Attributes:
        name: Name of the site.
        buffer_weight: Weight of idle reserve.
        share_weight: Weight of closeness to share.
        rollout_weight: Weight of roll-out time.
        move_weight: Weight of job moves.
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
        site: The site.
        slot: Resources behind one slot.
        units: Versions of each unit of the previous system.
        teams: Teams.
        queues: Queues.
        pools: Pools.
        vms: VMs.
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
    """Return the slots that `team` may use at once.

    A contract's limit is converted exactly and rounded down, so that the slots
    never exceed what the contract allows of any resource.

    Args:
        settings: Settings of the fleet.
        team: A team with an upper limit or a contract that have been checked.

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
    """Return how many units of `contract` the given slots are."""
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
