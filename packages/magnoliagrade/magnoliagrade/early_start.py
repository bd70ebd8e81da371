"""Steps that a process takes before it imports its libraries.

The imports take most of the start-up time.

Load pattern: many processes are killed at once. A caller whose connection is refused
retries immediately, and only once. A restarted process therefore listens before its
imports: connections wait in the backlog until the process accepts them.
"""

import configparser
import os
import signal
import socket

__all__ = ["ignore_reloads", "open_listener", "skip_ca_certificates"]

# Connections that wait for the process: about 1 s of new connections at a busy entry.
LISTEN_BACKLOG_CONNECTIONS = 128


def ignore_reloads():
    """Ignore SIGHUP, which would end the process, until its handler is set.

    The settings file is read later.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def open_listener(file, *, section, option):
    """Return a socket that listens on the address in a settings file, or None.

    Parameters
    ----------
    file : str
        Path of the settings file, in INI format.
    section, option : str
        Section and option that have the `host:port`.

    Notes
    -----
    Returns None if the file has an error or the address is in use. The process
    reports the error later, when it reads its settings and listens.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(file)
        host, _, port = parser[section][option].rpartition(":")
        return socket.create_server(
            (host, int(port)), backlog=LISTEN_BACKLOG_CONNECTIONS
        )
    except (configparser.Error, KeyError, OSError, OverflowError, ValueError):
        return None


def skip_ca_certificates():
    """Prevent the HTTP library from loading the CA certificates when it is imported.

    The direct entries and their agents don't use TLS, and loading the certificates
    takes a fifth of the start-up time.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
