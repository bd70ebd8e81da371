"""Splitting of a configuration into chunks, and joining of chunks."""

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

# Upper limit on the average number of sections in the chunks of one kind.
MAX_MEAN_SECTIONS_PER_CHUNK = 48
# Size of the BLAKE2b digest that identifies the content of a chunk.
CHUNK_DIGEST_BYTES = 16


def split_configuration(configuration):
    r"""Return the contents of all chunks of a configuration, by chunk name.

    Parameters
    ----------
    configuration : Configuration
        A valid configuration.

    Returns
    -------
    content_by_name : dict of str to str
        INI text of each chunk; the name of a chunk is `KIND/COUNT/INDEX`.

    Notes
    -----
    The number of chunks of a kind is a power of two, and the hash of a section's name
    selects its chunk, so that a change of one section changes one chunk. All chunks
    of a kind change only when its number of chunks doubles or halves.

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
    """Return the text of the complete configuration that chunks make up."""
    return "".join(content_by_name[name] for name in sorted(content_by_name))


def chunk_digest(content):
    """Return the BLAKE2b digest of a chunk's content, in hexadecimal."""
    return hashlib.blake2b(content.encode(), digest_size=CHUNK_DIGEST_BYTES).hexdigest()


def chunk_kind(name):
    """Return the kind of section that a chunk holds.

    Examples
    --------
    >>> chunk_kind("organisation/128/5")
    'organisation'
    """
    return name.partition("/")[0]


def parse_chunk(name, content):
    """Return the part of a configuration that one chunk describes.

    Raises
    ------
    InvalidDocument
        If the content of the chunk is invalid.
    """
    return parse_configuration(content, file=name, is_complete=False)


def join_parsed_chunks(parts, *, revision):
    """Return the configuration that parsed chunks make up.

    Parameters
    ----------
    parts : iterable of Configuration
        Parsed content of each chunk.
    revision : int
        Revision of the result.

    Raises
    ------
    InvalidDocument
        If a name is undefined, or two organisations share an API key.
    """
    joined = Configuration(revision=revision)
    for part in parts:
        for attribute in _collection_names():
            getattr(joined, attribute).update(getattr(part, attribute))
    problems = []
    check_references(
        joined,
        lambda section, key, allowed: problems.append(
            Problem(section=section, key=key, allowed=allowed)
        ),
    )
    if problems:
        raise InvalidDocument(ErrorKind.CONFIGURATION_INVALID, problems)
    joined.index()
    return joined


class ParsedChunks:
    """Cache of parsed chunks by digest, so that only changed chunks are parsed.

    Parameters
    ----------
    skipped_kinds : sequence of str
        Kinds of sections that are not parsed.
    """

    __slots__ = ("_part_by_digest", "_skipped_kinds")

    def __init__(self, *, skipped_kinds=()):
        self._part_by_digest = {}
        self._skipped_kinds = frozenset(skipped_kinds)

    def needs(self, name):
        """Return whether a chunk is of a kind that is parsed."""
        return chunk_kind(name) not in self._skipped_kinds

    def missing(self, stored):
        """Return the names of a configuration's chunks that are not yet cached."""
        return [
            name
            for name, reference in stored.root.chunk_by_name.items()
            if self.needs(name) and reference.digest not in self._part_by_digest
        ]

    def parse(self, stored, name):
        """Parse one chunk of a stored configuration into the cache."""
        digest = stored.root.chunk_by_name[name].digest
        self._part_by_digest[digest] = parse_chunk(
            name, stored.content_by_digest[digest]
        )

    def join(self, stored):
        """Return a stored configuration as objects; keep only its chunks in the cache.

        Raises
        ------
        InvalidDocument
            If the stored configuration is invalid.
        """
        for name in self.missing(stored):
            self.parse(stored, name)
        digests = [
            reference.digest
            for name, reference in sorted(stored.root.chunk_by_name.items())
            if self.needs(name)
        ]
        kept = {digest: self._part_by_digest[digest] for digest in digests}
        joined = join_parsed_chunks(kept.values(), revision=stored.revision)
        self._part_by_digest = kept
        return joined


def _chunk_count(sections):
    count = 1
    while count * MAX_MEAN_SECTIONS_PER_CHUNK < sections:
        count *= 2
    return count


def _collection_names():
    names = Configuration.__dataclass_fields__
    return [n for n in names if n.endswith("_by_name")]
