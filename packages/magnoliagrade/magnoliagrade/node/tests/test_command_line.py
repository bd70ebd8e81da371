from magnoliagrade.node.command_line import (
    command_help,
    find_problem,
    has_further_flags,
    split_arguments,
)


class Commands:
    """Example."""

    def __init__(self, *, store="", json=False):
        """Take flags."""

    def drain(self, name, kind="endpoint"):
        """Drain."""

    def label(self, name, *labels):
        """Label."""


def _problem(*arguments):
    return find_problem(Commands, list(arguments))


def test_arguments_that_match_the_signatures_are_accepted():
    for arguments in (
        ("drain", "a"),
        ("drain", "--name=a"),
        ("--store", "u", "drain", "a", "data_centre"),
        ("drain", "--json", "a", "--kind", "endpoint"),
        ("label", "a", "x=1", "y-"),
        ("label", "-1"),
    ):
        assert _problem(*arguments) == "", arguments


def test_each_invalid_argument_is_named_in_the_problem():
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


def test_value_of_a_flag_is_not_a_positional_argument():
    command, positional, flags = split_arguments(
        Commands, ["--store", "u", "drain", "a", "--json", "b"]
    )
    assert (command, positional, flags) == ("drain", ["a", "b"], ["store", "json"])


def test_command_with_further_flags_accepts_the_flags_of_its_targets():
    def plan(*, ranks=3, is_slow=False): ...

    class Commands:
        """Commands."""

        @has_further_flags(plan)
        def explore(self, seed=1, **bounds):
            """Explore."""

        @has_further_flags(find=lambda: [plan])
        def trial(self, name, **options):
            """Try."""

    assert not find_problem(Commands, ["explore", "--ranks=2", "--is-slow"])
    assert not find_problem(Commands, ["trial", "one", "--is-slow", "--ranks", "2"])
    assert "unknown flag --rank;" in find_problem(Commands, ["explore", "--rank=2"])
    assert "unexpected argument" in find_problem(Commands, ["trial", "one", "two"])
    shown = command_help(Commands, name="x", command="explore")
    assert "[--seed=1] [--ranks=3] [--is-slow]" in shown
    assert "bounds" not in shown
