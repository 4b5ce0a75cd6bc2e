"""Evacuation of the zone of a scheduler."""

from galenarill.common import AvailabilityZoneId
from galenarill.scheduling import messages
from galenarill.scheduling.policy import SchedulingPolicy

__all__ = ["EvacuationGate"]


class EvacuationGate:
    """Withholds the slots of a zone while its policy says it is evacuated.

    The state of the backend servers does not change. They keep their leases
    and can be used at once when the zone is restored.
    """

    def __init__(
        self,
        availability_zone: AvailabilityZoneId,
        epoch: str,
        policy: SchedulingPolicy,
    ):
        """Initialize the gate of the scheduler of `epoch`.

        Args:
            availability_zone: Zone of the scheduler.
            epoch: Epoch of the scheduler.
            policy: Policy of the zone.
        """
        self._availability_zone = availability_zone
        self._epoch = epoch
        self._policy = policy
        self._was_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether no permit may be granted."""
        return self._policy.is_evacuated()

    def has_just_closed(self) -> bool:
        """Return whether the zone was evacuated since the last call."""
        was_closed, self._was_closed = self._was_closed, self.is_closed
        return self._was_closed and not was_closed

    def recall(self) -> messages.Recall:
        """Return the message that reclaims every permit of the zone."""
        return messages.Recall(self._availability_zone, self._epoch, hard=True)
