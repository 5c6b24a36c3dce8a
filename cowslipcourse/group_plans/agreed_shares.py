"""The row in which coordinators agree on the models' shares."""

import math
from typing import Annotated, NamedTuple

import msgspec

from cowslipcourse.decoding import decode_untrusted
from cowslipcourse.exceptions import MalformedResponse

__all__ = ["AgreedShares", "decode_shares", "encode_shares"]

MAX_NAME_LENGTH = 200
_Shares = dict[Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)], float]


class AgreedShares(NamedTuple):
    """Shares of a service's models.

    :param declared: declared shares by model for which these were agreed.
    :param shares: agreed shares by model.
    :param version: store version of the row.
    """

    declared: dict[str, float]
    shares: dict[str, float]
    version: int = 0

    def is_for(self, models):
        """Whether these were agreed for models as they are declared.

        :param models: iterable of :class:`~cowslipcourse.routes.EngineModel` with their
            declared shares.
        """
        return self.declared == {model.name: model.share for model in models}


class _Row(msgspec.Struct):
    declared: _Shares
    shares: _Shares


_decoder = msgspec.json.Decoder(_Row)


def encode_shares(agreed):
    """Return the bytes of a row.

    :param agreed: :class:`AgreedShares`
    """
    return msgspec.json.encode(_Row(agreed.declared, agreed.shares))


def decode_shares(service, content, version):
    """Return the :class:`AgreedShares` in a row.

    :raises MalformedResponse: it cannot be read, or a share is not positive.
    """
    row = decode_untrusted(_decoder, content, f"shares of {service}")
    if row.shares.keys() != row.declared.keys() or not row.shares:
        raise MalformedResponse(f"shares of {service}: other models")
    if not all(math.isfinite(share) and share > 0 for share in row.shares.values()):
        raise MalformedResponse(f"shares of {service}: a share is not positive")
    return AgreedShares(row.declared, row.shares, version)
