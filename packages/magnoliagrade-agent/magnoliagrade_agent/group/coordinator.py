"""Staging and arming of one switch of the map by the holder of a group's lease."""

import enum

from magnoliagrade.wire import ArmSwitch, StageMap

__all__ = ["SwitchCoordinator", "SwitchPhase"]


class SwitchPhase(enum.Enum):
    """Phase of a switch at its coordinator."""

    STAGING = "staging"
    ARMING = "arming"
    FENCED = "fenced"


class SwitchCoordinator:
    """Stages one switch on all ranks of a generation, then orders them to arm it.

    Parameters
    ----------
    group : str
        Name of the group.
    ranks : int
        Number of ranks.
    generation : int
        Generation of the switch; ranks in another generation ignore the switch.
    fence : int
        Fencing token of the lease.
    version : int
        Version of the new map.
    packed_map : bytes
        The new map.
    choose_step : callable
        Returns the first step that uses the new map.
    send : callable
        Called with a rank and a message; the message may be lost.

    Notes
    -----
    The coordinator never decides an outcome, because the outcome follows from the
    replies of the ranks. A coordinator that was paused until its lease expired can at
    worst start a switch whose outcome the ranks then determine among themselves.
    """

    __slots__ = (
        "_choose_step",
        "_send",
        "_staged_ranks",
        "fence",
        "generation",
        "group",
        "packed_map",
        "phase",
        "ranks",
        "step",
        "version",
    )

    def __init__(
        self,
        *,
        group,
        ranks,
        generation,
        fence,
        version,
        packed_map,
        choose_step,
        send,
    ):
        self.group = group
        self.ranks = ranks
        self.generation = generation
        self.fence = fence
        self.version = version
        self.packed_map = packed_map
        self.phase = SwitchPhase.STAGING
        self.step = 0
        self._choose_step = choose_step
        self._send = send
        self._staged_ranks = set()

    def start(self):
        """Order every rank to load the experts of the new map."""
        for rank in range(self.ranks):
            self._send(rank, self._stage(packed_map=self.packed_map))

    def on_stage_ack(self, ack):
        """Handle a rank's reply to staging; arm once all ranks have loaded the map.

        A reply with a higher fencing token ends the switch, since a newer coordinator
        exists.
        """
        is_other = (ack.generation, ack.version) != (self.generation, self.version)
        if is_other or self.phase is not SwitchPhase.STAGING:
            return
        if ack.fence > self.fence:
            self.phase = SwitchPhase.FENCED
        elif ack.accepted:
            self._staged_ranks.add(ack.rank)
            if len(self._staged_ranks) == self.ranks:
                self._arm()
        elif ack.needs_map:
            self._send(ack.rank, self._stage(packed_map=self.packed_map))

    def resend(self):
        """Resend the orders of the current phase to ranks that may have missed them."""
        if self.phase is SwitchPhase.STAGING:
            for rank in set(range(self.ranks)) - self._staged_ranks:
                self._send(rank, self._stage())
        elif self.phase is SwitchPhase.ARMING:
            self._send_arm()

    def _stage(self, *, packed_map=b""):
        return StageMap(
            group=self.group,
            generation=self.generation,
            fence=self.fence,
            version=self.version,
            map=packed_map,
        )

    def _arm(self):
        self.phase = SwitchPhase.ARMING
        self.step = self._choose_step()
        self._send_arm()

    def _send_arm(self):
        for rank in range(self.ranks):
            arm = ArmSwitch(
                group=self.group,
                generation=self.generation,
                fence=self.fence,
                version=self.version,
                step=self.step,
            )
            self._send(rank, arm)
