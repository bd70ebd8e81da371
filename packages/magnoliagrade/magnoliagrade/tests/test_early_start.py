import socket
import tempfile

from magnoliagrade.early_start import open_listener


def test_listener_accepts_connections_before_the_process_serves_them():
    path = _write_settings("[listen]\ncaller_address = 127.0.0.1:0\n")
    listener = open_listener(path, section="listen", option="caller_address")
    with listener, socket.create_connection(listener.getsockname()[:2], timeout=5):
        pass


def test_invalid_settings_give_no_listener():
    for text in (
        "",
        "[listen]\n",
        "[listen]\ncaller_address = nowhere\n",
        "[listen]\ncaller_address = 127.0.0.1:99999\n",
        "no ini at all",
    ):
        path = _write_settings(text)
        assert open_listener(path, section="listen", option="caller_address") is None


def test_address_in_use_gives_no_listener():
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        path = _write_settings(f"[listen]\ncaller_address = 127.0.0.1:{port}\n")
        assert open_listener(path, section="listen", option="caller_address") is None


def _write_settings(text):
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return file.name
