from magnoliagrade.algorithms import hash64, rendezvous_order


def test_text_and_its_bytes_have_the_same_hash():
    assert hash64("linen") == hash64(b"linen")


def test_removing_a_name_moves_only_the_keys_placed_on_it():
    names = ["a", "b", "c", "d"]
    for key in range(200):
        before = rendezvous_order(key, names)[0]
        after = rendezvous_order(key, ["a", "b", "c"])[0]
        assert before in ("d", after)
