"""Model of how long an absent VM is likely to stay absent.

Absences are a mixture: short pauses, after which the weights are still loaded,
restarts, after which they are not, and failures. The longer a VM has been absent, the
less likely it is a pause.
"""

import math
from typing import NamedTuple

__all__ = ["DEFAULT_ABSENCES", "AbsenceKind", "AbsenceModel"]


class AbsenceKind(NamedTuple):
    """One kind of absence.

    :param share: fraction of absences that are of this kind.
    :param mean_s: mean duration in seconds; durations are taken as exponential.
    :param keeps_weights: whether the weights are still loaded afterwards.
    """

    share: float
    mean_s: float
    keeps_weights: bool


class AbsenceModel(NamedTuple):
    """A mixture of kinds of absence.

    :param kinds: the kinds; their shares add up to one.
    """

    kinds: tuple[AbsenceKind, ...]

    def posterior(self, absent_s):
        """Return the probability of each kind for a VM still absent.

        :param absent_s: seconds since the VM was last seen.
        """
        scaled = [
            math.log(kind.share) - absent_s / kind.mean_s
            for kind in self.kinds
            if kind.share > 0
        ]
        top = max(scaled)
        weights = [math.exp(value - top) for value in scaled]
        total = sum(weights)
        return [weight / total for weight in weights]

    def expected_return_s(self, absent_s, load_s):
        """Return the expected seconds until the VM is back with weights loaded.

        :param absent_s: seconds since the VM was last seen.
        :param load_s: seconds that loading the weights takes.
        """
        kinds = [kind for kind in self.kinds if kind.share > 0]
        shares = self.posterior(absent_s)
        return sum(
            share * (kind.mean_s + (0.0 if kind.keeps_weights else load_s))
            for share, kind in zip(shares, kinds, strict=True)
        )

    def expected_absence_s(self, absent_s):
        """Return the expected seconds until the VM is back, loaded or not."""
        return self.expected_return_s(absent_s, 0.0)

    def return_rate(self, absent_s):
        """Return the chance per second that the VM comes back with its weights."""
        kinds = [kind for kind in self.kinds if kind.share > 0]
        shares = self.posterior(absent_s)
        return sum(
            share / kind.mean_s
            for share, kind in zip(shares, kinds, strict=True)
            if kind.keeps_weights
        )


DEFAULT_ABSENCES = AbsenceModel(
    (
        AbsenceKind(share=0.50, mean_s=8.0, keeps_weights=True),
        AbsenceKind(share=0.38, mean_s=240.0, keeps_weights=False),
        AbsenceKind(share=0.12, mean_s=14_400.0, keeps_weights=False),
    )
)
"""Default until a site has measured its own; restarts to failures are as 98 to 31."""
