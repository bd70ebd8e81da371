from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliagrade_agent.capacity import Completion, EvidenceLimit


def _completion(ended_at=0.0, *, tokens=100, token_s=0.005, first=0.02, used=True):
    return Completion(
        tokens=tokens,
        first_byte_s=first,
        token_s=token_s,
        was_in_use=used,
        ended_at=ended_at,
    )


def _policy(**options):
    policy = EvidenceLimit()
    policy.configure(cold_limit=600, full_limit=6000, options=options)
    return policy


def test_limit_grows_only_while_at_least_half_used():
    policy = _policy()
    policy.on_completion(_completion(used=False))
    assert policy.limit == 600
    policy.on_completion(_completion())
    assert policy.limit == 600 + 100 / 1.5


def test_option_sets_the_tokens_that_raise_the_limit_to_full():
    policy = _policy(**{"option.limit.tokens_to_full": "1000"})
    for _ in range(10):
        policy.on_completion(_completion())
    assert policy.limit == 6000


def test_growth_halves_after_cold_and_doubles_at_the_full_limit():
    policy = _policy()
    policy.on_completion(_completion(tokens=150))
    assert policy.limit == 700
    policy.on_cold()
    policy.on_completion(_completion(tokens=150))
    assert policy.limit == 650
    # Reaching the full limit doubles the growth again, and the next cold halves it.
    policy.on_completion(_completion(tokens=10**6))
    policy.on_cold()
    policy.on_completion(_completion(tokens=150))
    assert policy.limit == 650


def test_risen_token_latency_shrinks_the_limit_once_a_second():
    policy = _policy()
    for i in range(400):
        policy.on_completion(_completion(i))
    assert policy.limit == 6000
    for i in range(20):
        policy.on_completion(_completion(500 + i / 100, token_s=0.05))
    assert policy.limit == 0.7 * 6000
    assert policy.on_completion(_completion(600, token_s=0.05)) == "latency"


def test_three_late_first_tokens_in_a_row_reset_the_limit():
    policy = _policy()
    for i in range(400):
        policy.on_completion(_completion(i))
    reasons = [policy.on_completion(_completion(401, first=2.0)) for _ in range(3)]
    assert reasons[-1] == "first-token-far-off" and policy.limit == 600


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(1, 500),
            st.floats(0.001, 1.0),
            st.floats(0.001, 5.0),
        ),
        max_size=80,
    )
)
def test_limit_stays_within_bounds_and_below_the_tokens_generated(steps):
    policy = _policy()
    tokens_since_cold = 0
    for i, (kind, tokens, token_s, first) in enumerate(steps):
        if kind == 3:
            policy.on_cold()
            tokens_since_cold = 0
            assert policy.limit == 600
            continue
        tokens_since_cold += tokens
        policy.on_completion(
            _completion(i, tokens=tokens, token_s=token_s, first=first, used=kind)
        )
        assert 600 <= policy.limit <= min(6000, 600 + tokens_since_cold / 1.5 + 1e-6)
