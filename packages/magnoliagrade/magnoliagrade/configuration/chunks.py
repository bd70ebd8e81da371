"""Cutting a configuration into chunks and putting chunks together."""

import hashlib

from magnoliagrade.algorithms import hash64
from magnoliagrade.configuration.document import Configuration
from magnoliagrade.configuration.ini import check_references, parse_configuration
from magnoliagrade.configuration.ini_writer import format_sections, section_writers
from magnoliagrade.configuration.problems import InvalidDocument, Problem
from magnoliagrade.errors import ErrorKind

__all__ = [
    "ParsedChunks",
    "chunk_digest",
    "chunk_kind",
    "join_chunks",
    "join_parsed_chunks",
    "parse_chunk",
    "split_configuration",
]

SECTIONS_PER_CHUNK = 48
DIGEST_BYTES = 16


def split_configuration(configuration):
    r"""Return the contents of all chunks of a configuration, by name of chunk.

    Parameters
    ----------
    configuration : Configuration
        A valid configuration.

    Returns
    -------
    content_by_name : dict of str to str
        INI texts. A name is `KIND/COUNT/INDEX`.

    Notes
    -----
    A section goes to the chunk that the hash of its name gives, out of a power of
    two of chunks, so that a change of one section changes one chunk. Only when the
    number of sections of a kind crosses a power of two do all its chunks change.

    Examples
    --------
    >>> c = parse_configuration("[endpoint e]\nlabels = a=1")
    >>> sorted(split_configuration(c))
    ['endpoint/1/0']
    """
    content_by_name = {}
    for kind in section_writers.names():
        text_by_name = format_sections(configuration, kind)
        count = _chunk_count(len(text_by_name))
        texts_by_index = {}
        for name in sorted(text_by_name):
            index = hash64(name) % count
            texts_by_index.setdefault(index, []).append(text_by_name[name])
        for index, texts in texts_by_index.items():
            content_by_name[f"{kind}/{count}/{index}"] = "".join(texts)
    return content_by_name


def join_chunks(content_by_name):
    """Return the text of a whole configuration from its chunks."""
    return "".join(content_by_name[name] for name in sorted(content_by_name))


def chunk_digest(content):
    """Return the digest of a chunk's content as hexadecimal text."""
    return hashlib.blake2b(content.encode(), digest_size=DIGEST_BYTES).hexdigest()


def chunk_kind(name):
    """Return the kind of section that a chunk holds.

    Examples
    --------
    >>> chunk_kind("organisation/128/5")
    'organisation'
    """
    return name.partition("/")[0]


def parse_chunk(name, content):
    """Return the part of a configuration that a chunk describes.

    Raises
    ------
    InvalidDocument
        If it cannot be read.
    """
    return parse_configuration(content, file=name, is_whole=False)


def join_parsed_chunks(parts, *, revision):
    """Return the configuration that parsed chunks make up.

    Parameters
    ----------
    parts : iterable of Configuration
        One for each chunk.
    revision : int
        Revision of the result.

    Raises
    ------
    InvalidDocument
        If a name is used that no chunk defines.
    """
    whole = Configuration(revision=revision)
    for part in parts:
        for attribute in _collections():
            getattr(whole, attribute).update(getattr(part, attribute))
    problems = []
    check_references(
        whole,
        lambda section, key, allowed: problems.append(
            Problem(section=section, key=key, allowed=allowed)
        ),
    )
    if problems:
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, problems)
    whole.index()
    return whole


class ParsedChunks:
    """Parsed chunks by digest, so that a change parses only what it changed.

    Parameters
    ----------
    skipped_kinds : sequence of str
        Kinds of sections that this process has no use for.
    """

    __slots__ = ("_part_by_digest", "_skipped_kinds")

    def __init__(self, *, skipped_kinds=()):
        self._part_by_digest = {}
        self._skipped_kinds = frozenset(skipped_kinds)

    def needs(self, name):
        """Return whether a chunk is parsed here at all."""
        return chunk_kind(name) not in self._skipped_kinds

    def missing(self, stored):
        """Return the names of chunks of a stored configuration not parsed yet."""
        return [
            name
            for name, reference in stored.root.chunk_by_name.items()
            if self.needs(name) and reference.digest not in self._part_by_digest
        ]

    def parse(self, stored, name):
        """Parse one chunk of a stored configuration."""
        digest = stored.root.chunk_by_name[name].digest
        self._part_by_digest[digest] = parse_chunk(
            name, stored.content_by_digest[digest]
        )

    def join(self, stored):
        """Return a stored configuration as objects; forget all other chunks.

        Raises
        ------
        InvalidDocument
            If it cannot be parsed.
        """
        for name in self.missing(stored):
            self.parse(stored, name)
        digests = [
            reference.digest
            for name, reference in sorted(stored.root.chunk_by_name.items())
            if self.needs(name)
        ]
        kept = {digest: self._part_by_digest[digest] for digest in digests}
        whole = join_parsed_chunks(kept.values(), revision=stored.revision)
        self._part_by_digest = kept
        return whole


def _chunk_count(sections):
    count = 1
    while count * SECTIONS_PER_CHUNK < sections:
        count *= 2
    return count


def _collections():
    names = Configuration.__dataclass_fields__
    return [n for n in names if n.endswith("_by_name")]
