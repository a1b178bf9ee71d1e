from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest

from wigeonspool.gateway import headers


class TestEndToEnd:
    @pytest.mark.parametrize(
        ("fields", "forwarded"),
        [
            ([("A", "1"), ("B", "2"), ("a", "3")], ["A", "B", "a"]),
            ([("Host", "x"), ("TE", "x"), ("Keep-Alive", "x")], []),
            ([("Connection", "close"), ("A", "1")], ["A"]),
            ([("Connection", "Keep-Alive, a"), ("A", "1"), ("B", "2")], ["B"]),
            ([("A", "1"), ("Connection", "close"), ("Connection", "a")], []),
        ],
    )
    def test_hop_by_hop_fields_are_not_forwarded(
        self, fields: list[tuple[str, str]], forwarded: list[str]
    ) -> None:
        message = CIMultiDictProxy(CIMultiDict(fields))
        selected = headers.select_end_to_end(message).items()
        assert [name for name, _ in selected] == forwarded
