import asyncio
import pathlib
import re
import signal
import sys

SMALL = ("--data_centres=vernon", "--entries=1", "--engines=1", "--services=1")
STEP_TIMEOUT_S = 60


async def _start(*flags):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "magnoliagrade_standins", "demo", *SMALL, *flags),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


def _children(parent):
    found = set()
    for status in pathlib.Path("/proc").glob("[0-9]*/status"):
        try:
            text = status.read_text()
        except OSError:
            continue
        if re.search(rf"^PPid:\s+{parent}$", text, re.MULTILINE):
            found.add(status.parent)
    return found


def test_report_of_a_short_run():
    async def main():
        process = await _start("--duration_s=2", "--rate_per_s=15")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            out, progress = await process.communicate()
        text = out.decode()
        assert process.returncode == 0, text + progress.decode()
        assert "0 lost, 0 doubled, 0 run though refused" in text
        assert "verdict            all kept" in text
        assert re.search(r"first token +[\d.]+ ms / [\d.]+ ms / [\d.]+ ms", text)
        assert "skew               not measured" in text
        assert " s  sent " in progress.decode()

    asyncio.run(main())


def test_interrupt_stops_every_process():
    async def main():
        process = await _start("--duration_s=600")
        async with asyncio.timeout(STEP_TIMEOUT_S):
            url = None
            while b"s  sent" not in (line := await process.stderr.readline()):
                assert line, "the run ended early"
                if line.startswith(b"entry "):
                    url = line.split()[-1].decode()
            children = _children(process.pid)
            assert len(children) == 6, children
            process.send_signal(signal.SIGINT)
            await process.communicate()
        assert process.returncode == 130
        assert not any(child.exists() for child in children)
        host, _, port = url.removeprefix("http://").partition(":")
        try:
            await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return
        raise AssertionError(f"{url} is still listened on")

    asyncio.run(main())
