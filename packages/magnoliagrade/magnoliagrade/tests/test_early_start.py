import socket
import tempfile

from magnoliagrade.early_start import open_listener


def test_callers_are_accepted_before_the_process_has_imported_anything():
    path = _settings("[listen]\ncaller_address = 127.0.0.1:0\n")
    listener = open_listener(path, section="listen", option="caller_address")
    with listener, socket.create_connection(listener.getsockname()[:2], timeout=5):
        pass


def test_mistakes_are_left_to_the_check_of_the_settings():
    for text in (
        "",
        "[listen]\n",
        "[listen]\ncaller_address = nowhere\n",
        "[listen]\ncaller_address = 127.0.0.1:99999\n",
        "no ini at all",
    ):
        path = _settings(text)
        assert open_listener(path, section="listen", option="caller_address") is None


def test_an_address_in_use_is_left_to_the_process():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        path = _settings(f"[listen]\ncaller_address = 127.0.0.1:{port}\n")
        assert open_listener(path, section="listen", option="caller_address") is None


def _settings(text):
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return file.name
