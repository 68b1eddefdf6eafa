"""How much fillers disturb serving tasks, learned from the tails.

The tail of a serving task grows as the wait in a queue does: by 1 / (1 -
load). The load is the sum of its own, which its callers make, and of what
the fillers on the same worker add: each adds its share of the worker's
processor times a weight, which depends on the images of both. Each report
of a tail tells one such sum. What it differs from the expected one is
divided between the own load and the weights in proportion to how uncertain
each of them is, as a Kalman filter does.
"""

import math
import typing

# Strain of an idle task: its tail as a share of its bound. It only sets
# the scale of loads, since load and weights shrink alike if it is wrong.
IDLE_STRAIN = 0.2
# Load at which a tail is at its bound.
BOUND_LOAD = 1.0 - IDLE_STRAIN
# Loads above are alike: the tail of a full queue says little.
MAX_LOAD = 0.95
# Own load of a serving task, before its first report.
PRIOR_OWN = 0.48
PRIOR_OWN_VARIANCE = 0.04
# Variance that an own load gains in a second, as callers come and go.
DRIFT_VARIANCE_PER_S = 0.012
# Rise of an own load within a second that placement reckons with.
RISE_PER_S = 0.08
# Highest own load that is expected before an image has been watched.
PRIOR_PEAK = 0.6
# Part of its distance that an image's peak moves up to a higher load with
# each report, and down to a lower one.
PEAK_RISE = 0.2
PEAK_DECAY = 0.001
# Error of one report, and of the law that it is read by.
REPORT_VARIANCE = 0.004
# Weight of a pair of images of which nothing is known.
PRIOR_WEIGHT = 0.6
PRIOR_WEIGHT_VARIANCE = 1.4
# A weight stays this uncertain, so that it can still change.
MIN_WEIGHT_VARIANCE = 0.003
MAX_WEIGHT = 12.0
# Standard deviations that placement adds to a weight for caution.
CAUTION = 0.15
# Weight from which a filler image counts as heavy beside a serving image:
# two or three usual fillers alone take it past its bound.
HEAVY_WEIGHT = 0.8
# Standard deviation above which a pair counts as not known yet.
UNKNOWN_DEVIATION = 0.6
# Changes of the book after which sets of heavy fillers are made anew.
HEAVY_CHANGES = 64
# Pairs told to other hosts; bounds the heartbeat.
MAX_TOLD = 200
# Least variance that another cell's word is given.
MIN_TOLD_VARIANCE = 0.001
# Share of the prior variance from which a pair is worth telling.
TOLD_SHARE = 0.7

Shares = dict[str, float]


def load_of(strain: float) -> float:
    """Return the load that causes a strain.

    Args:
        strain: A tail as a share of its bound, above 0.
    """
    load = 1.0 - IDLE_STRAIN / max(strain, IDLE_STRAIN)
    return min(load, MAX_LOAD)


class OwnLoad:
    """What is known of the load that a serving task's callers make.

    Attributes:
        mean: The load.
        variance: How uncertain it is.
        read_at_s: Monotonic time of the newest report; 0 before.
    """

    __slots__ = ("mean", "read_at_s", "variance")

    def __init__(self):
        self.mean = PRIOR_OWN
        self.variance = PRIOR_OWN_VARIANCE
        self.read_at_s = 0.0

    def drift(self, now_s: float) -> None:
        """Become less certain as time passes.

        Args:
            now_s: Monotonic time.
        """
        if self.read_at_s:
            gained = DRIFT_VARIANCE_PER_S * (now_s - self.read_at_s)
            self.variance = min(self.variance + gained, PRIOR_OWN_VARIANCE)
        self.read_at_s = now_s


class Pair:
    """What is known of a serving image beside a filler image.

    Attributes:
        weight: Load for each share of the worker's processor.
        variance: How uncertain the weight is.
    """

    __slots__ = ("variance", "weight")

    def __init__(
        self,
        *,
        weight: float = PRIOR_WEIGHT,
        variance: float = PRIOR_WEIGHT_VARIANCE,
    ):
        self.weight = weight
        self.variance = variance


class PressureBook:
    """The weights of all pairs of images.

    What the holder of a cell learned itself stays apart from what others
    tell, so that nothing is counted twice; decisions use both together.
    """

    __slots__ = (
        "_changes",
        "_fillers",
        "_heavy",
        "_joined",
        "_pairs",
        "_peaks",
        "_told",
    )

    def __init__(self):
        self._pairs: dict[tuple[str, str], Pair] = {}
        self._peaks: dict[str, float] = {}
        self._told: dict[str, dict[tuple[str, str], Pair]] = {}
        self._joined: dict[tuple[str, str], Pair] = {}
        self._changes = 0
        self._heavy: dict[str, frozenset[str]] = {}
        self._fillers: set[str] = set()

    def _note_change(self) -> None:
        self._changes += 1
        if self._changes >= HEAVY_CHANGES:
            self._changes = 0
            self._heavy.clear()

    def _pair(self, serving: str, filler: str) -> Pair:
        """Return what is known of a pair from all cells together."""
        name = (serving, filler)
        found = self._joined.get(name)
        if found is None:
            parts = [book.get(name) for book in self._told.values()]
            parts.append(self._pairs.get(name))
            found = _join([part for part in parts if part is not None])
            self._joined[name] = found
        return found

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        return self._pair(serving, filler).weight

    def cautious_weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair that placement reckons with.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        pair = self._pair(serving, filler)
        return pair.weight + CAUTION * math.sqrt(pair.variance)

    def is_known(self, serving: str, filler: str) -> bool:
        """Tell whether reports have shown the weight of a pair.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        return self._pair(serving, filler).variance <= UNKNOWN_DEVIATION**2

    def added_load(self, serving: str, shares: Shares) -> float:
        """Return what fillers add to the load of a serving task.

        Args:
            serving: Its image.
            shares: Share of the processor of the fillers beside it, by
                image.
        """
        return sum(
            self.weight(serving, filler) * share
            for filler, share in shares.items()
        )

    def cautious_load(self, serving: str, shares: Shares) -> float:
        """Return what fillers may add, as placement reckons with it.

        Args:
            serving: Image of the serving task.
            shares: Shares of the fillers beside it, by image.
        """
        return sum(
            self.cautious_weight(serving, filler) * share
            for filler, share in shares.items()
        )

    def own_ahead(self, serving: str, own: OwnLoad, ahead_s: float) -> float:
        """Return how high the own load of a task may be soon.

        Args:
            serving: Its image.
            own: What is known of it now.
            ahead_s: How far ahead.
        """
        peak = max(self._peaks.get(serving, PRIOR_PEAK), own.mean)
        return min(peak, own.mean + RISE_PER_S * ahead_s)

    def filler_count(self) -> int:
        """Return how many filler images are known, at least 1."""
        return max(1, len(self._fillers))

    def heavy_fillers(self, serving: str) -> frozenset[str]:
        """Return the filler images that a serving image can't bear.

        Args:
            serving: Image of the serving task.
        """
        found = self._heavy.get(serving)
        if found is None:
            found = frozenset(
                filler
                for filler in self._fillers
                if self._pair(serving, filler).weight >= HEAVY_WEIGHT
                and self.is_known(serving, filler)
            )
            self._heavy[serving] = found
        return found

    def learn(
        self,
        serving: str,
        own: OwnLoad,
        shares: Shares,
        strain: float,
        now_s: float,
    ) -> None:
        """Learn from the tail of a serving task.

        Args:
            serving: Its image.
            own: What is known of its own load.
            shares: Shares of the fillers beside it, by image.
            strain: Its tail as a share of its bound.
            now_s: Monotonic time of the report.
        """
        own.drift(now_s)
        load = load_of(strain)
        expected = own.mean + self.added_load(serving, shares)
        if load >= MAX_LOAD and expected >= MAX_LOAD:
            return
        pairs = [
            (share, self._pairs.setdefault((serving, filler), Pair()))
            for filler, share in shares.items()
        ]
        variance = own.variance + REPORT_VARIANCE
        variance += sum(pair.variance * share**2 for share, pair in pairs)
        error = (load - expected) / variance
        for share, pair in pairs:
            gain = pair.variance * share
            pair.weight += gain * error
            pair.weight = min(max(pair.weight, 0.0), MAX_WEIGHT)
            pair.variance -= gain * gain / variance
            pair.variance = max(pair.variance, MIN_WEIGHT_VARIANCE)
        for filler in shares:
            self._joined.pop((serving, filler), None)
        self._fillers.update(shares)
        self._note_change()
        own.mean = min(max(own.mean + own.variance * error, 0.0), MAX_LOAD)
        own.variance -= own.variance**2 / variance
        self._note_peak(serving, own.mean)

    def _note_peak(self, serving: str, load: float) -> None:
        peak = self._peaks.get(serving)
        if peak is None:
            peak = PRIOR_PEAK
        rate = PEAK_RISE if load > peak else PEAK_DECAY
        self._peaks[serving] = peak + rate * (load - peak)

    def tell(self) -> dict[str, list[float]]:
        """Return the best-known pairs, for the holders of other cells."""
        best = sorted(
            (
                item
                for item in self._pairs.items()
                if item[1].variance < PRIOR_WEIGHT_VARIANCE * TOLD_SHARE
            ),
            key=lambda item: item[1].variance,
        )
        return {
            f"{serving}|{filler}": [
                round(pair.weight, 2),
                round(pair.variance, 3),
            ]
            for (serving, filler), pair in best[:MAX_TOLD]
        }

    def hear(self, cell: str, told: dict[str, typing.Sequence[float]]) -> None:
        """Take in what the holder of another cell learned.

        Args:
            cell: Name of the cell.
            told: What it told.
        """
        heard = self._told.setdefault(cell, {})
        for name, (weight, variance) in told.items():
            serving, _bar, filler = name.partition("|")
            at = (serving, filler)
            known = heard.get(at)
            if known and known.weight == weight and known.variance == variance:
                continue
            heard[at] = Pair(
                weight=float(weight),
                variance=max(float(variance), MIN_TOLD_VARIANCE),
            )
            self._joined.pop(at, None)
            self._fillers.add(filler)
            self._heavy.clear()


def _join(parts: list[Pair]) -> Pair:
    """Return what several cells know together, each from its own reports."""
    precision = 1.0 / PRIOR_WEIGHT_VARIANCE
    total = PRIOR_WEIGHT * precision
    prior, prior_total = precision, total
    for part in parts:
        precision += 1.0 / part.variance - prior
        total += part.weight / part.variance - prior_total
    return Pair(weight=max(0.0, total / precision), variance=1.0 / precision)
