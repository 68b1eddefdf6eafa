"""Estimates from tail latencies how much fillers slow serving tasks.

A serving task is a task with a bound on its tail latency (tail_target_ms).

The tail latency of a serving task grows like the waiting time in a queue, in
proportion to 1 / (1 - load). The load is the sum of a baseline, which the
requests of the task's callers cause, and of the load that the fillers on the
same worker add: each adds its share of the worker's CPU times a weight, which
depends on the images of both tasks. Each reported tail latency is one
measurement of this sum. A Kalman filter attributes the difference between the
measured and the expected sum to the baseline and the weights, in proportion
to their uncertainty.
"""

import math
import typing

# Latency ratio of a task without load: its tail latency divided by its bound.
# It only sets the scale of loads: an error scales loads and weights alike.
IDLE_LATENCY_RATIO = 0.2
# Load at which a tail latency reaches its bound.
BOUND_LOAD = 1.0 - IDLE_LATENCY_RATIO
# Highest load that a tail latency can show; above it, queues are full and
# loads can't be told apart.
MAX_LOAD = 0.95
# Baseline load of a serving task before its first report.
PRIOR_BASELINE = 0.48
PRIOR_BASELINE_VARIANCE = 0.04
# Variance that a baseline load gains per second, as callers come and go.
BASELINE_DRIFT_VARIANCE_PER_S = 0.012
# Rise of a baseline load per second that placement allows for.
MAX_BASELINE_RISE_PER_S = 0.08
# Highest baseline load expected of an image without reports.
PRIOR_BASELINE_PEAK = 0.6
# The peak of an image follows the estimated baseline loads of its tasks: each
# estimate moves the peak towards it by this fraction of the difference. The
# first value is for estimates above the peak, the second for those below.
PEAK_RISE_RATE = 0.2
PEAK_DECAY_RATE = 0.001
# Variance of one measurement, including the error of the queueing formula.
MEASUREMENT_VARIANCE = 0.004
# Weight of a pair of images without reports.
PRIOR_WEIGHT = 0.6
PRIOR_WEIGHT_VARIANCE = 1.4
# Lower bound of a weight's variance, so that the weight can still change.
MIN_WEIGHT_VARIANCE = 0.003
MAX_WEIGHT = 12.0
# Standard deviations that conservative estimates add to a weight.
CONSERVATIVE_DEVIATIONS = 0.15
# Weight from which a filler image counts as incompatible with a serving image:
# two or three fillers of usual size then suffice to exceed the bound.
MIN_INCOMPATIBLE_WEIGHT = 0.8
# Standard deviation above which the weight of a pair counts as unknown.
MAX_KNOWN_DEVIATION = 0.6
# Updates after which cached sets of incompatible fillers are computed again.
INCOMPATIBLE_CACHE_UPDATES = 64
# Most pairs shared with other cells; bounds the size of the shared row.
MAX_SHARED_PAIRS = 200
# Lower bound of the variance of a weight that another cell shared.
MIN_SHARED_VARIANCE = 0.001
# Pairs are shared if their variance is below this fraction of the prior's.
MAX_SHARED_VARIANCE_RATIO = 0.7

Shares = dict[str, float]


def load_from_latency_ratio(latency_ratio: float) -> float:
    """Return the load at which a tail latency is expected.

    Args:
        latency_ratio: Tail latency divided by its bound, above 0.
    """
    load = 1.0 - IDLE_LATENCY_RATIO / max(latency_ratio, IDLE_LATENCY_RATIO)
    return min(load, MAX_LOAD)


class BaselineLoad:
    """Estimate of the load that a serving task's callers cause.

    Attributes:
        mean: Estimated load.
        variance: Variance of the estimate.
        updated_at_s: Monotonic time of the newest report; 0 before the first.
    """

    __slots__ = ("mean", "updated_at_s", "variance")

    def __init__(self):
        self.mean = PRIOR_BASELINE
        self.variance = PRIOR_BASELINE_VARIANCE
        self.updated_at_s = 0.0

    def predict(self, now_s: float) -> None:
        """Increase the variance for the time since the last report.

        Args:
            now_s: Monotonic time.
        """
        if self.updated_at_s:
            gained = BASELINE_DRIFT_VARIANCE_PER_S * (
                now_s - self.updated_at_s
            )
            self.variance = min(
                self.variance + gained, PRIOR_BASELINE_VARIANCE
            )
        self.updated_at_s = now_s


class PairEstimate:
    """Estimate of how much a filler image slows a serving image.

    Attributes:
        weight: Added load if the filler uses the worker's whole CPU.
        variance: Variance of the weight.
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


class InterferenceModel:
    """Interference weights of all pairs of serving and filler images.

    Estimates from this cell's own reports are kept apart from those that
    other cells share, so that no report is counted twice. Decisions use the
    combination of both.
    """

    __slots__ = (
        "_combined",
        "_fillers",
        "_incompatible_cache",
        "_local_pairs",
        "_peaks",
        "_remote_pairs",
        "_updates_since_clear",
    )

    def __init__(self):
        self._local_pairs: dict[tuple[str, str], PairEstimate] = {}
        self._peaks: dict[str, float] = {}
        self._remote_pairs: dict[str, dict[tuple[str, str], PairEstimate]] = {}
        self._combined: dict[tuple[str, str], PairEstimate] = {}
        self._updates_since_clear = 0
        self._incompatible_cache: dict[str, frozenset[str]] = {}
        self._fillers: set[str] = set()

    def _count_update(self) -> None:
        self._updates_since_clear += 1
        if self._updates_since_clear >= INCOMPATIBLE_CACHE_UPDATES:
            self._updates_since_clear = 0
            self._incompatible_cache.clear()

    def _pair(self, serving: str, filler: str) -> PairEstimate:
        """Return the combined estimate of all cells for a pair."""
        name = (serving, filler)
        found = self._combined.get(name)
        if found is None:
            parts = [pairs.get(name) for pairs in self._remote_pairs.values()]
            parts.append(self._local_pairs.get(name))
            found = _combine([part for part in parts if part is not None])
            self._combined[name] = found
        return found

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        return self._pair(serving, filler).weight

    def conservative_weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair, increased for its uncertainty.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        pair = self._pair(serving, filler)
        return pair.weight + CONSERVATIVE_DEVIATIONS * math.sqrt(pair.variance)

    def mean_conservative_weight(self, filler: str) -> float:
        """Return the mean weight of a filler, increased for its uncertainty.

        Args:
            filler: Image of the filler.

        Returns:
            The mean over all serving images that have reported here; 0 if
            none has.
        """
        if not self._peaks:
            return 0.0
        weights = (
            self.conservative_weight(serving, filler)
            for serving in self._peaks
        )
        return sum(weights) / len(self._peaks)

    def is_known(self, serving: str, filler: str) -> bool:
        """Return whether the weight of a pair is known well enough.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        return self._pair(serving, filler).variance <= MAX_KNOWN_DEVIATION**2

    def added_load(self, serving: str, shares: Shares) -> float:
        """Return the load that fillers add to a serving task.

        Args:
            serving: Image of the serving task.
            shares: CPU shares of the fillers on the same worker, by image.
        """
        return sum(
            self.weight(serving, filler) * share
            for filler, share in shares.items()
        )

    def conservative_load(self, serving: str, shares: Shares) -> float:
        """Return a conservative estimate of the load that fillers add.

        Args:
            serving: Image of the serving task.
            shares: CPU shares of the fillers on the same worker, by image.
        """
        return sum(
            self.conservative_weight(serving, filler) * share
            for filler, share in shares.items()
        )

    def projected_baseline(
        self, serving: str, baseline: BaselineLoad, lookahead_s: float
    ) -> float:
        """Return the highest baseline load expected within lookahead_s.

        Args:
            serving: Image of the serving task.
            baseline: Current estimate of the task's baseline load.
            lookahead_s: How far to look ahead, in seconds.
        """
        peak = max(
            self._peaks.get(serving, PRIOR_BASELINE_PEAK), baseline.mean
        )
        return min(peak, baseline.mean + MAX_BASELINE_RISE_PER_S * lookahead_s)

    def filler_count(self) -> int:
        """Return the number of known filler images, at least 1."""
        return max(1, len(self._fillers))

    def incompatible_fillers(self, serving: str) -> frozenset[str]:
        """Return the filler images known to be incompatible with an image.

        Args:
            serving: Image of the serving task.
        """
        found = self._incompatible_cache.get(serving)
        if found is None:
            found = frozenset(
                filler
                for filler in self._fillers
                if self._pair(serving, filler).weight
                >= MIN_INCOMPATIBLE_WEIGHT
                and self.is_known(serving, filler)
            )
            self._incompatible_cache[serving] = found
        return found

    def learn(
        self,
        serving: str,
        baseline: BaselineLoad,
        shares: Shares,
        latency_ratio: float,
        now_s: float,
    ) -> None:
        """Update the estimates from the tail latency of a serving task.

        Args:
            serving: Image of the serving task.
            baseline: Estimate of its baseline load; updated in place.
            shares: CPU shares of the fillers on the same worker, by image.
            latency_ratio: Tail latency divided by its bound.
            now_s: Monotonic time of the report.
        """
        baseline.predict(now_s)
        load = load_from_latency_ratio(latency_ratio)
        expected = baseline.mean + self.added_load(serving, shares)
        if load >= MAX_LOAD and expected >= MAX_LOAD:
            # Above MAX_LOAD, measured and expected load can't be compared.
            return
        pairs = [
            (
                share,
                self._local_pairs.setdefault(
                    (serving, filler), PairEstimate()
                ),
            )
            for filler, share in shares.items()
        ]
        variance = baseline.variance + MEASUREMENT_VARIANCE
        variance += sum(pair.variance * share**2 for share, pair in pairs)
        error = (load - expected) / variance
        for share, pair in pairs:
            gain = pair.variance * share
            pair.weight += gain * error
            pair.weight = min(max(pair.weight, 0.0), MAX_WEIGHT)
            pair.variance -= gain * gain / variance
            pair.variance = max(pair.variance, MIN_WEIGHT_VARIANCE)
        for filler in shares:
            self._combined.pop((serving, filler), None)
        self._fillers.update(shares)
        self._count_update()
        baseline.mean = min(
            max(baseline.mean + baseline.variance * error, 0.0), MAX_LOAD
        )
        baseline.variance -= baseline.variance**2 / variance
        self._update_peak(serving, baseline.mean)

    def _update_peak(self, serving: str, load: float) -> None:
        peak = self._peaks.get(serving)
        if peak is None:
            peak = PRIOR_BASELINE_PEAK
        rate = PEAK_RISE_RATE if load > peak else PEAK_DECAY_RATE
        self._peaks[serving] = peak + rate * (load - peak)

    def export_pairs(self) -> dict[str, list[float]]:
        """Return the pairs with least variance, to share with other cells."""
        best = sorted(
            (
                item
                for item in self._local_pairs.items()
                if item[1].variance
                < PRIOR_WEIGHT_VARIANCE * MAX_SHARED_VARIANCE_RATIO
            ),
            key=lambda item: item[1].variance,
        )
        return {
            f"{serving}|{filler}": [
                round(pair.weight, 2),
                round(pair.variance, 3),
            ]
            for (serving, filler), pair in best[:MAX_SHARED_PAIRS]
        }

    def import_pairs(
        self, cell: str, shared: dict[str, typing.Sequence[float]]
    ) -> None:
        """Merge the estimates that another cell shared.

        Args:
            cell: Name of the cell.
            shared: Weight and variance, by "serving image|filler image".
        """
        received = self._remote_pairs.setdefault(cell, {})
        for name, (weight, variance) in shared.items():
            serving, _bar, filler = name.partition("|")
            pair = (serving, filler)
            known = received.get(pair)
            if known and known.weight == weight and known.variance == variance:
                continue
            received[pair] = PairEstimate(
                weight=float(weight),
                variance=max(float(variance), MIN_SHARED_VARIANCE),
            )
            self._combined.pop(pair, None)
            self._fillers.add(filler)
            self._incompatible_cache.clear()


def _combine(parts: list[PairEstimate]) -> PairEstimate:
    """Combine the independent estimates of several cells for one pair.

    Each estimate includes the same prior, which must count only once.
    """
    precision = 1.0 / PRIOR_WEIGHT_VARIANCE
    total = PRIOR_WEIGHT * precision
    prior, prior_total = precision, total
    for part in parts:
        precision += 1.0 / part.variance - prior
        total += part.weight / part.variance - prior_total
    return PairEstimate(
        weight=max(0.0, total / precision), variance=1.0 / precision
    )
