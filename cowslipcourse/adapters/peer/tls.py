"""Mutual TLS between daemons, with files that may be replaced at any time."""

from pathlib import Path
from typing import NamedTuple

import grpc

__all__ = ["TlsFiles", "client_credentials", "server_credentials"]


class TlsFiles(NamedTuple):
    """PEM files of a daemon's certificate.

    :param certificate: certificate of this daemon.
    :param key: private key of this daemon.
    :param authority: certificate of the authority that signs all daemons.
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
    """Return server credentials that reload the files when they change.

    :param files: :class:`TlsFiles`
    """
    last_contents = files.read()

    def certificate_configuration(contents):
        key, certificate, authority = contents
        return grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authority
        )

    def fetch_changed_configuration():
        nonlocal last_contents
        current_contents = files.read()
        if current_contents == last_contents:
            return None
        last_contents = current_contents
        return certificate_configuration(current_contents)

    return grpc.dynamic_ssl_server_credentials(
        certificate_configuration(last_contents),
        fetch_changed_configuration,
        require_client_authentication=True,
    )


def client_credentials(files):
    """Return channel credentials from the current contents of the files.

    :param files: :class:`TlsFiles`
    """
    key, certificate, authority = files.read()
    return grpc.ssl_channel_credentials(authority, key, certificate)
