"""Mutual TLS between daemons, from files that may be replaced at any time."""

from pathlib import Path
from typing import NamedTuple

import grpc

__all__ = ["TlsFiles", "client_credentials", "server_credentials"]


class TlsFiles(NamedTuple):
    """Files of one daemon's identity.

    :param certificate: PEM certificate of this daemon.
    :param key: PEM private key.
    :param authority: PEM certificate of the authority that signs all daemons.
    """

    certificate: Path
    key: Path
    authority: Path

    def read(self):
        """Return the contents of key, certificate and authority."""
        return tuple(
            Path(path).read_bytes()
            for path in (self.key, self.certificate, self.authority)
        )


def server_credentials(files):
    """Return server credentials that reread the files when they change.

    :param files: :class:`TlsFiles`
    """
    last = files.read()

    def configuration(contents):
        key, certificate, authority = contents
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )

    def fetch():
        nonlocal last
        current = files.read()
        if current == last:
            return None
        last = current
        return configuration(current)

    return grpc.dynamic_ssl_server_credentials(
        configuration(last), fetch, require_client_authentication=True
    )


def client_credentials(files):
    """Return channel credentials from the files as they are now.

    :param files: :class:`TlsFiles`
    """
    key, certificate, authority = files.read()
    return grpc.ssl_channel_credentials(authority, key, certificate)
