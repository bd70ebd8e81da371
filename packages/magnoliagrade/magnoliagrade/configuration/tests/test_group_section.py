from magnoliagrade.configuration import InvalidDocument, parse_configuration


def _problems(text):
    try:
        parse_configuration(text, revision=1)
    except InvalidDocument as exc:
        return [str(p) for p in exc.problems]
    return []


def test_every_problem_of_a_group_section_is_reported():
    text = """
[group experts]
ranks = 2
experts = 9
slots_per_rank = 4
rebalancing = best
option.interval_s = soon
option.colour = red
"""
    problems = "\n".join(_problems(text))
    for name in ("slots_per_rank", "rebalancing", "option.interval_s", "colour"):
        assert name in problems
