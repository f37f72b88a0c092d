"""Creates TLS contexts from settings."""

import ssl

from fescuecrank_daemon.settings import ClientTls, ListenerTls


def listener_context(tls: ListenerTls | None) -> ssl.SSLContext | None:
    """Return the context of a listener, or None for plain connections.

    Raises `OSError` if a file is missing or unusable.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.cert_file, tls.key_file)
    if tls.client_ca_file:
        context.load_verify_locations(tls.client_ca_file)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: ClientTls | None) -> ssl.SSLContext | None:
    """Return the context of outgoing connections, or None for plain ones.

    Raises `OSError` if a file is missing or unusable.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(tls.ca_file)
    if tls.cert_file:
        context.load_cert_chain(tls.cert_file, tls.key_file or None)
    return context
