"""How much fillers disturb serving tasks, learned from the tails.

The strain of a serving task is its tail latency as a share of its bound.
A filler adds to it in proportion to its share of the worker's processor,
with a weight that depends on the images of both. Weights are learned from
each report by normalized least mean squares.
"""

import typing

# Weight of a pair of images of which nothing is known: a usual filler of
# a tenth of a worker adds as much as a quarter of the bound.
PRIOR_WEIGHT = 2.5
MAX_WEIGHT = 60.0
# Strain of a serving task alone, before anything is known.
PRIOR_BASE = 0.4
MIN_BASE = 0.05
MAX_BASE = 0.8
# Part of an error that one report corrects.
WEIGHT_RATE = 0.35
BASE_RATE = 0.03
# Keeps small shares from being blamed for noise.
SHARE_FLOOR = 0.0015
# Strains above are alike; one heavy filler reaches them already.
MAX_STRAIN = 4.0
# Weight from which a filler image counts as heavy beside a serving image:
# a usual filler alone takes it past its bound.
HEAVY_WEIGHT = 5.0
# Pairs told to other hosts; bounds the heartbeat.
MAX_TOLD = 120

Shares = dict[str, float]


class Pair:
    """What is known of a serving image beside a filler image.

    Attributes:
        weight: Strain for each share of the worker's processor.
        samples: Reports that it was learned from.
    """

    __slots__ = ("samples", "weight")

    def __init__(self):
        self.weight = PRIOR_WEIGHT
        self.samples = 0


class PressureBook:
    """The weights of all pairs of images."""

    __slots__ = ("_bases", "_pairs")

    def __init__(self):
        self._bases: dict[str, float] = {}
        self._pairs: dict[tuple[str, str], Pair] = {}

    def weight(self, serving: str, filler: str) -> float:
        """Return the weight of a pair.

        Args:
            serving: Image of the serving task.
            filler: Image of the filler.
        """
        pair = self._pairs.get((serving, filler))
        return pair.weight if pair else PRIOR_WEIGHT

    def strain(self, serving: str, shares: Shares) -> float:
        """Return the strain that a serving task is expected to have.

        Args:
            serving: Its image.
            shares: Share of the processor of the fillers beside it, by
                image.
        """
        added = sum(
            self.weight(serving, filler) * share
            for filler, share in shares.items()
        )
        return self._bases.get(serving, PRIOR_BASE) + added

    def heavy_fillers(self, serving: str) -> frozenset[str]:
        """Return the filler images that a serving image can't bear.

        Args:
            serving: Image of the serving task.
        """
        return frozenset(
            filler
            for (image, filler), pair in self._pairs.items()
            if image == serving and pair.weight >= HEAVY_WEIGHT
        )

    def learn(self, serving: str, shares: Shares, strain: float) -> None:
        """Learn from the strain of a serving task.

        Args:
            serving: Its image.
            shares: Shares of the fillers beside it, by image.
            strain: What was reported.
        """
        expected = self.strain(serving, shares)
        strain = min(strain, MAX_STRAIN)
        if strain >= MAX_STRAIN and expected >= MAX_STRAIN:
            return
        error = strain - expected
        base = self._bases.get(serving, PRIOR_BASE) + BASE_RATE * error
        self._bases[serving] = min(max(base, MIN_BASE), MAX_BASE)
        scale = sum(share * share for share in shares.values()) + SHARE_FLOOR
        for filler, share in shares.items():
            pair = self._pairs.setdefault((serving, filler), Pair())
            pair.samples += 1
            weight = pair.weight + WEIGHT_RATE * error * share / scale
            pair.weight = min(max(weight, 0.0), MAX_WEIGHT)

    def tell(self) -> dict[str, list[float]]:
        """Return the best-known pairs, for the holders of other cells."""
        best = sorted(self._pairs.items(), key=lambda item: -item[1].samples)[
            :MAX_TOLD
        ]
        return {
            f"{serving}|{filler}": [round(pair.weight, 2), pair.samples]
            for (serving, filler), pair in best
        }

    def hear(self, told: dict[str, typing.Sequence[float]]) -> None:
        """Take over pairs that another holder knows better.

        Args:
            told: What it told.
        """
        for name, (weight, samples) in told.items():
            serving, _bar, filler = name.partition("|")
            pair = self._pairs.setdefault((serving, filler), Pair())
            if samples > pair.samples:
                pair.weight = float(weight)
                pair.samples = int(samples)
