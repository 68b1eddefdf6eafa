"""Until when the leases that are granted under a hold may run.

See docs/design/hold-terms.md. A holder counts the times at which it certainly
still was the holder: signs of life that the store has answered, and
confirmations of all of its witnesses. Its successor finds the last of them in
the store, and by asking one witness. All times are those of
`clocks.elapsed_s`, which goes on while a machine is suspended.
"""

import math
import typing

from wisteriawood.links import clocks

# Longest time between two heartbeats of which the later is a sign, and longest
# time until the store answers one.
SIGN_GAP_S = 2.4
SIGN_ANSWER_S = 1.6
# Allowance for the clocks of two hosts.
CLOCK_MARGIN_S = 0.1
# Time without a later heartbeat after which one was the last sign.
LAST_SIGN_S = SIGN_GAP_S + SIGN_ANSWER_S + CLOCK_MARGIN_S
# Age of the last sign from which the witnesses are asked.
ASK_WITNESSES_S = 1.5
# Time after which a heartbeat without an answer takes effect no more.
LATE_WRITE_S = 12.0
# Time for which a holder may go on without a read of the claims.
RENEW_WITHOUT_STORE_S = 12.0


class Signs:
    """The signs of life of a host's process, as it knows them itself.

    Attributes:
        last_s: Time at which the last sign was sent; infinitely early before
            the first.
        chain_sent_s: Time at which the first sign of its chain was sent.
        chain_answered_s: Time at which that one was answered.
    """

    __slots__ = ("chain_answered_s", "chain_sent_s", "last_s")

    def __init__(self) -> None:
        self.last_s = -math.inf
        self.chain_sent_s = -math.inf
        self.chain_answered_s = -math.inf

    def record(self, *, sent_s: float, answered_s: float) -> None:
        """Record a heartbeat that the store has answered.

        Args:
            sent_s: Time at which it was sent.
            answered_s: Time at which it was answered.
        """
        if answered_s - sent_s > SIGN_ANSWER_S:
            return
        if sent_s - self.last_s > SIGN_GAP_S:
            self.chain_sent_s = sent_s
            self.chain_answered_s = answered_s
        self.last_s = sent_s


class WitnessSets:
    """The witnesses that a host's heartbeats name.

    As long as it is not known which heartbeat the store shows, those of all
    of them are needed. One without an answer may take effect late.
    """

    __slots__ = ("_acknowledged", "_unanswered")

    def __init__(self) -> None:
        self._acknowledged: dict[str, str] = {}
        # With the times at which they were sent.
        self._unanswered: list[tuple[float, dict[str, str]]] = []

    def record_sent(self, witnesses: dict[str, str]) -> None:
        """Record the witnesses of a heartbeat that is about to be sent.

        Args:
            witnesses: Their processes, by host.
        """
        now_s = clocks.elapsed_s()
        self._unanswered = [
            (sent_s, found)
            for sent_s, found in self._unanswered
            if now_s - sent_s < LATE_WRITE_S
        ]
        self._unanswered.append((now_s, witnesses))

    def record_answered(self) -> None:
        """Record that the store has the heartbeat that was sent last."""
        _sent_s, self._acknowledged = self._unanswered.pop()

    def needed(self) -> dict[str, list[str]]:
        """Return the processes that have to confirm a hold, by host.

        It is empty if no confirmation counts, since a heartbeat that may be
        in the store names no witness.
        """
        now_s = clocks.elapsed_s()
        unanswered = [
            witnesses
            for sent_s, witnesses in self._unanswered
            if now_s - sent_s < LATE_WRITE_S
        ]
        found: dict[str, list[str]] = {}
        for witnesses in (self._acknowledged, *unanswered):
            if not witnesses:
                return {}
            for host, process in witnesses.items():
                processes = found.setdefault(host, [])
                if process not in processes:
                    processes.append(process)
        return found


class HoldTerm:
    """Until when the holder of a cell may let leases run.

    Args:
        claimed_s: Time at which its claim was sent.
        signs: Signs of life of the host.
        witness_sets: Witnesses of the host.
        claims_read_s: Returns the time as of which the claims are known.

    Attributes:
        checked_s: Time at which the last check of the claim was sent.
    """

    __slots__ = (
        "_claimed_s",
        "_claims_read_s",
        "_confirmed_s",
        "_signs",
        "_witness_sets",
        "checked_s",
    )

    def __init__(
        self,
        *,
        claimed_s: float,
        signs: Signs,
        witness_sets: WitnessSets,
        claims_read_s: typing.Callable[[], float],
    ):
        self._claimed_s = claimed_s
        self._signs = signs
        self._witness_sets = witness_sets
        self._claims_read_s = claims_read_s
        # Times at which questions were sent that processes of witnesses have
        # confirmed.
        self._confirmed_s: dict[tuple[str, str], float] = {}
        self.checked_s = claimed_s

    def needs_check(self) -> bool:
        """Return whether signs count only after a check of the claim."""
        signs = self._signs
        return (
            signs.chain_sent_s - self._claimed_s > SIGN_GAP_S
            and self.checked_s < signs.chain_answered_s
        )

    def record_check(self, sent_s: float) -> None:
        """Record that nobody else had claimed the cell.

        Args:
            sent_s: Time at which the check was sent.
        """
        self.checked_s = max(self.checked_s, sent_s)

    def record_confirmation(
        self, host: str, process: str, sent_s: float
    ) -> None:
        """Record that a witness knows no newer claim.

        Args:
            host: Name of the witness.
            process: Its process.
            sent_s: Time at which it was asked.
        """
        key = (host, process)
        self._confirmed_s[key] = max(
            sent_s, self._confirmed_s.get(key, -math.inf)
        )

    def _witnessed_s(self) -> float:
        needed = self._witness_sets.needed()
        if not needed or any(len(found) > 1 for found in needed.values()):
            # One host can't have two processes that confirm.
            return -math.inf
        return min(
            self._confirmed_s.get((host, processes[0]), -math.inf)
            for host, processes in needed.items()
        )

    def sign_s(self) -> float:
        """Return the time of the last sign that counts."""
        if self.needs_check():
            return self._claimed_s
        return max(self._claimed_s, self._signs.last_s)

    def basis_s(self) -> float:
        """Return the last time at which this certainly was the holder."""
        last_s = max(self.sign_s(), self._witnessed_s())
        return min(last_s, self._claims_read_s() + RENEW_WITHOUT_STORE_S)

    def left_s(self, length_s: float) -> float:
        """Return the longest lease that may be granted now.

        Args:
            length_s: Duration of a lease from the basis.

        Returns:
            Its duration in seconds, at most `length_s`; 0 or less for none.
        """
        return min(length_s, self.basis_s() + length_s - clocks.elapsed_s())

    def needs_witnesses(self) -> bool:
        """Return whether the last sign is so old that witnesses are asked."""
        return clocks.elapsed_s() - self.sign_s() > ASK_WITNESSES_S
