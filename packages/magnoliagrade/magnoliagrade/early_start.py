"""What a process does before it imports its libraries, which takes most of its start.

Load pattern: many processes are killed at once. Callers whose connections are refused
come back at once, and only once; connections that are accepted wait for the process.
"""

import configparser
import os
import socket

__all__ = ["open_listener", "skip_ca_certificates"]

# Connections that wait for the process: about a second of a busy entry's callers.
BACKLOG_CONNECTIONS = 128


def open_listener(file, *, section, option):
    """Return a socket that listens on an address of a settings file, or None.

    Parameters
    ----------
    file : str
        Settings in INI.
    section, option : str
        Where the `host:port` stands.

    Notes
    -----
    Mistakes in the file, and an address that is in use, are reported by the process
    itself once it reads its settings and listens; here they give None.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(file)
        host, _, port = parser[section][option].rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG_CONNECTIONS)
    except (configparser.Error, KeyError, OSError, OverflowError, ValueError):
        return None


def skip_ca_certificates():
    """Spare the HTTP library the certificates that it would load when it is imported.

    The direct processes speak no TLS, and the certificates take a fifth of a start.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
