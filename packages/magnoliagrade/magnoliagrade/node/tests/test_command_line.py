from magnoliagrade.node.command_line import problem_with, split_arguments


class Commands:
    """Example."""

    def __init__(self, *, store="", json=False):
        """Take flags."""

    def drain(self, name, kind="endpoint"):
        """Drain."""

    def label(self, name, *labels):
        """Label."""


def _problem(*arguments):
    return problem_with(Commands, list(arguments))


def test_what_the_signatures_allow_passes():
    for arguments in (
        ("drain", "a"),
        ("drain", "--name=a"),
        ("--store", "u", "drain", "a", "data_centre"),
        ("drain", "--json", "a", "--kind", "endpoint"),
        ("label", "a", "x=1", "y-"),
        ("label", "-1"),
    ):
        assert _problem(*arguments) == "", arguments


def test_each_misuse_is_named():
    for arguments, word in (
        ((), "a command is required"),
        (("drian", "a"), "'drian'"),
        (("drain",), "NAME is required"),
        (("drain", "a", "b", "c"), "unexpected argument 'c'"),
        (("drain", "a", "--wiat"), "unknown flag --wiat"),
        (("drain", "a", "-x"), "unknown flag --x"),
        (("_private",), "'_private'"),
    ):
        assert word in _problem(*arguments), arguments


def test_value_of_a_flag_is_no_positional_argument():
    command, positional, flags = split_arguments(
        Commands, ["--store", "u", "drain", "a", "--json", "b"]
    )
    assert (command, positional, flags) == ("drain", ["a", "b"], ["store", "json"])
